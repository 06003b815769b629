// Command surplus plays a busy service whose servers, for a while, give some of their answers a second time, a little late.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	host         = "ficu95.example"
	prefix       = "/lohu930/"
	service      = "wuno96b"
	edges        = 6
	servers      = 2
	connections  = 12 // MaxConnections of a server
	slots        = 4
	queue        = 2
	meanWork     = 15 * time.Millisecond
	deadline     = 1500 * time.Millisecond
	perSecond    = 470
	spoilShare   = 0.6  // of the servers
	spoilPart    = 0.03 // of their answers
	spoilFor     = 5 * time.Second
	spoilEvery   = 7 * time.Second
	lengthOfDay  = 85 * time.Second
	healthHolds  = time.Millisecond
	idleTimeout  = time.Second
	notExecuted  = "Hazelwheel-Not-Executed: 1\r\n"
	latestAnswer = 10 * time.Millisecond
)

var (
	spoiling atomic.Bool
	spoiled  atomic.Int64
	mu       sync.Mutex
	runs     = map[string]int{} // by request
)

// server is a stand-in server. It works on slots requests at once, queues a few more and rejects the rest; health checks as well.
type server struct {
	id, address string
	mayspoil    bool
	record      *rig.Record

	mu       sync.Mutex
	running  int
	waiting  []chan struct{}
	accepted int // open connections
}

// enter waits for a slot, and returns false if the server is full.
func (s *server) enter() bool {
	s.mu.Lock()
	if s.running < slots {
		s.running++
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= queue {
		s.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	<-turn
	return true
}

// leave gives the slot to the next request.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}

func (s *server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		isBeyond := s.accepted > connections
		s.mu.Unlock()
		go func() {
			if !isBeyond {
				s.serveConn(conn)
			} else {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			s.mu.Lock()
			s.accepted--
			s.mu.Unlock()
		}()
	}
}

// serveConn serves one request after the other.
func (s *server) serveConn(conn net.Conn) {
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	write := func(answer string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(conn, answer)
	}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer, what := s.answer(request)
		write(answer)
		if s.mayspoil && spoiling.Load() && rand.Float64() < spoilPart {
			spoiled.Add(1)
			time.AfterFunc(rand.N(latestAnswer), func() {
				s.record.Write("server %s gives its answer to %s again", s.id, what)
				write(answer)
			})
		}
	}
}

// answer returns the answer to a request, after the request has run, and the name of the request.
func (s *server) answer(request *http.Request) (answer, what string) {
	id := request.Header.Get("Hazelwheel-Request-Id")
	head := "Hazelwheel-Instance-Id: " + s.id + "\r\nKeep-Alive: timeout=1\r\n"
	if id != "" {
		head += "Hazelwheel-Request-Id: " + id + "\r\n"
	}
	if expected := request.Header.Get("Hazelwheel-Expect-Instance"); expected != "" && expected != s.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n", id
	}
	isHealth := request.URL.Path == "/health"
	if isHealth {
		id = "a health check"
	}
	if !s.enter() {
		s.record.Write("server %s is full and rejects %s", s.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + notExecuted + head + "Content-Length: 0\r\n\r\n", id
	}
	defer s.leave()
	if isHealth {
		time.Sleep(healthHolds)
		return "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n", id
	}
	s.record.Write("server %s runs %s", s.id, id)
	mu.Lock()
	runs[id]++
	mu.Unlock()
	time.Sleep(time.Duration(float64(meanWork) * (0.5 + rand.Float64())))
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sHazelwheel-Response-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", head, s.id, id, len(body), body), id
}

func main() { os.Exit(run()) }

func run() int {
	rig.Edges, rig.MaxConnections = edges, connections
	record, err := rig.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	fleet, err := rig.New(os.Args[1], record)
	if err != nil {
		record.Say("not played: %v", err)
		return 2
	}
	defer fleet.Stop()
	if err := fleet.Start(); err != nil {
		record.Say("not played: %v", err)
		return 2
	}
	for i := range servers {
		listener, err := net.Listen("tcp4", rig.ServerIP(i)+":0")
		if err != nil {
			record.Say("not played: %v", err)
			return 2
		}
		s := &server{id: "i-" + rig.RandomHex(4), address: listener.Addr().String(), record: record, mayspoil: float64(i) < spoilShare*servers-0.5}
		go s.serve(listener)
		fleet.Platform.AddEntry(s.id, service, s.address, "marka-hall", slots)
	}
	route := rig.Route("r-1", host, prefix, "non_idempotent", service, int(deadline.Milliseconds()))
	if status := fleet.Put(rig.Config(5, []map[string]any{route}, service), 0, 10*time.Second); status != http.StatusOK {
		record.Say("not played: the first configuration got %d", status)
		return 2
	}
	if err := fleet.AwaitReady(15 * time.Second); err != nil {
		record.Say("not played: %v", err)
		return 2
	}
	time.Sleep(3 * time.Second) // ContactMs
	started := time.Now()
	if os.Getenv("TROUBLE") != "0" {
		go func() {
			for at := 3 * time.Second; at+spoilFor < lengthOfDay; at += spoilEvery {
				time.Sleep(time.Until(started.Add(at)))
				record.Write("servers begin to give some answers twice")
				spoiling.Store(true)
				time.Sleep(spoilFor)
				spoiling.Store(false)
				record.Write("servers give no more answers twice")
			}
		}()
	}
	var clients sync.WaitGroup
	statuses := map[int]int{}
	byID := map[string]rig.Answer{}
	for i := 0; time.Since(started) < lengthOfDay; i++ {
		clients.Go(func() {
			answer := fleet.Send(i%edges, host, prefix+"2f", deadline, []byte("raise the alert"))
			mu.Lock()
			defer mu.Unlock()
			statuses[answer.Status]++
			byID[answer.ID] = answer
		})
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / perSecond)))
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice, refused := 0, 0
	for id, count := range runs {
		if count > 1 {
			twice++
			record.Say("TWICE: request %s, not idempotent, has run %d times", id, count)
		}
		if status := byID[id].Status; status == 503 || status == 429 {
			refused++
			record.Say("REFUSED: request %s has run, and its client got %d", id, status)
		}
	}
	record.Say("answers by status: %v; %d answers given twice; %d requests ran twice, %d ran and were refused", statuses, spoiled.Load(), twice, refused)
	if twice+refused > 0 {
		return 1
	}
	return 0
}
