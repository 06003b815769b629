// Command large plays a release of a service whose new version gives longer answers than the old one.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	host      = "ficu95.example"
	prefix    = "/lohu930/"
	service   = "wuno96b"
	servers   = 6
	replaced  = 2 // of the servers: a share of 0.45 at most
	oldBytes  = 800
	newBytes  = 20 << 20
	perSecond = 8
	deadline  = 8 * time.Second
	drainTime = 4500 * time.Millisecond // DrainMs and a little more
)

// answer is the body with which a server answers a request.
func answer(id string, size int) string { return strings.Repeat(id, size/len(id)) }

func main() { os.Exit(run()) }

func run() int {
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
	var mu sync.Mutex
	whole := map[string]int{} // sizes of the servers' whole answers, by request
	startServer := func(i, size int) (*rig.Server, error) {
		server, err := fleet.NewServer(i, service)
		if err != nil {
			return nil, err
		}
		server.Handle = func(s *rig.Server, w http.ResponseWriter, _ *http.Request, id string, _ []byte) {
			time.Sleep(15 * time.Millisecond)
			body := answer(id, size)
			w.Header().Set("Hazelwheel-Response-Stamp", s.ID+"."+id)
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			mu.Lock()
			whole[id] = len(body)
			mu.Unlock()
			n, err := io.WriteString(w, body)
			record.Write("server %s has answered %s with %d bytes of %d, error %v", s.ID, id, n, len(body), err)
		}
		return server, nil
	}
	var old []*rig.Server
	for i := range servers {
		server, err := startServer(i, oldBytes)
		if err != nil {
			record.Say("not played: %v", err)
			return 2
		}
		old = append(old, server)
	}
	route := rig.Route("r-1", host, prefix, "non_idempotent", service, int(deadline.Milliseconds()))
	if status := fleet.Put(rig.Config(5, []map[string]any{route}, service), 0, 10*time.Second); status != http.StatusOK {
		record.Say("not played: the first configuration got %d", status)
		return 2
	}
	if err := fleet.AwaitReady(10 * time.Second); err != nil {
		record.Say("not played: %v", err)
		return 2
	}
	time.Sleep(3 * time.Second) // ContactMs
	stop := make(chan struct{})
	go fleet.EnforceMemory(stop)
	var clients sync.WaitGroup
	if os.Getenv("TROUBLE") != "0" {
		clients.Go(func() {
			for i := range replaced {
				time.Sleep(time.Second)
				server, err := startServer(servers+i, newBytes)
				if err != nil {
					return
				}
				record.Write("platform: server %s starts, %s drains", server.ID, old[i].ID)
				fleet.Platform.SetDraining(old[i])
				time.AfterFunc(drainTime, func() { fleet.Platform.Remove(old[i]) })
			}
		})
	}
	var answers []rig.Answer
	started := time.Now()
	for i := 0; time.Since(started) < 20*time.Second; i++ {
		clients.Go(func() {
			answer := fleet.Send(i%rig.Edges, host, prefix+"2f", deadline, []byte("the readings of the day"))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	close(stop)
	short, example := 0, ""
	for _, got := range answers {
		if got.Status == http.StatusOK && got.Body != answer(got.ID, whole[got.ID]) {
			short++
			example = fmt.Sprintf("request %s: the server's body has %d bytes, the client got 200, stamp %s and %d bytes as a complete answer", got.ID,
				whole[got.ID], got.Stamp, len(got.Body))
			record.Write("%s", example)
		}
	}
	record.Say("%d requests answered", len(answers))
	if short > 0 {
		record.Say("MIXED: %d clients got a success without the server's whole body; the last: %s", short, example)
		return 1
	}
	return 0
}
