// Command garbage plays a service whose servers, for a while, spoil some of their answers with bytes that form no answer.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	host        = "ficu95.example"
	servers     = 6
	perSecond   = 40
	deadline    = 8 * time.Second
	spoilers    = 3    // of the servers: a share of 0.6 at most
	spoilPart   = 0.03 // of their answers
	spoilFor    = 5 * time.Second
	mbitPerS    = 400 // of one spoiled answer; the link of a machine carries 1,000
	chunkBytes  = 64 << 10
	lengthOfDay = 80 * time.Second
)

var (
	spoiling atomic.Bool
	spoiled  sync.Map // ids of requests whose answers were spoiled
)

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
	trouble := os.Getenv("TROUBLE") != "0"
	for i := range servers {
		server, err := fleet.NewServer(i, "huvo11a")
		if err != nil {
			record.Say("not played: %v", err)
			return 2
		}
		isSpoiler := i < spoilers
		server.Handle = func(s *rig.Server, w http.ResponseWriter, r *http.Request, id string, _ []byte) {
			if isSpoiler && spoiling.Load() && rand.Float64() < spoilPart {
				spoil(record, s, w, id)
				return
			}
			stream(s, w, id)
		}
	}
	route := rig.Route("r-1", host, "/lohu930/", "streaming", "huvo11a", int(deadline.Milliseconds()))
	if status := fleet.Put(rig.Config(1, []map[string]any{route}, "huvo11a"), 0, 10*time.Second); status != http.StatusOK {
		record.Say("not played: the first configuration got %d", status)
		return 2
	}
	if err := fleet.AwaitReady(10 * time.Second); err != nil {
		record.Say("not played: %v", err)
		return 2
	}
	stop := make(chan struct{})
	go fleet.EnforceMemory(stop)
	var clients sync.WaitGroup
	var sent, served, cut atomic.Int64
	started := time.Now()
	if trouble {
		go func() {
			for at := 5 * time.Second; at+spoilFor < lengthOfDay-10*time.Second; at += 12 * time.Second {
				time.Sleep(time.Until(started.Add(at)))
				record.Write("servers begin to spoil %v of their answers", spoilPart)
				spoiling.Store(true)
				time.Sleep(spoilFor)
				spoiling.Store(false)
				record.Write("servers spoil no further answers")
			}
		}()
	}
	for i := 0; time.Since(started) < lengthOfDay; i++ {
		clients.Go(func() {
			sent.Add(1)
			answer := fleet.Send(i%rig.Edges, host, "/lohu930/2f", deadline, []byte("a prompt"))
			_, isSpoiled := spoiled.Load(answer.ID)
			switch {
			case answer.Status == http.StatusOK:
				served.Add(1)
			case answer.Status == 0 && !isSpoiled:
				cut.Add(1)
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	close(stop)
	machines := 0
	for _, p := range fleet.Processes {
		all, over := p.Ends()
		record.Say("%s ended by itself %d times, %d of them over its memory limit", p.Name, all, over)
		if all >= 3 {
			machines++
		}
	}
	record.Say("served %d of %d requests; %d others, whose answers no server spoiled, got none or a part of one", served.Load(), sent.Load(), cut.Load())
	if machines >= 2 {
		record.Say("Fault: on %d machines processes ended by themselves three times", machines)
		return 1
	}
	return 0
}

func stream(s *rig.Server, w http.ResponseWriter, id string) {
	w.Header().Set("Hazelwheel-Response-Stamp", s.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 5 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// spoil sends bytes that form no answer, no faster than the link of a machine carries, until the connection closes.
func spoil(record *rig.Record, s *rig.Server, w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	spoiled.Store(id, true)
	record.Write("server %s spoils the answer to %s", s.ID, id)
	data := make([]byte, chunkBytes)
	started, total := time.Now(), 0
	for time.Since(started) < deadline {
		n, err := conn.Write(data)
		total += n
		if err != nil {
			break
		}
		time.Sleep(time.Until(started.Add(time.Duration(float64(total) * 8 / (mbitPerS * 1e6) * float64(time.Second)))))
	}
	record.Write("server %s has sent %d bytes that form no answer to %s", s.ID, total, id)
}
