// Command longline plays servers that break off in the middle of an event whose first line of data fills the proxy's read buffer exactly.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
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
	service   = "huvo11a"
	events    = 6
	cutEvent  = 3
	lineBytes = 4096
	perSecond = 5
	deadline  = 4 * time.Second
)

// event returns an event of a stream: its id and two lines of data, the first of lineBytes bytes.
func event(id string, number int) string {
	first := "data: " + strings.Repeat(id, lineBytes/len(id)+1)
	return fmt.Sprintf("id: %d\n%s\ndata: end of %d\n\n", number, first[:lineBytes], number)
}

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
	for i := range 6 {
		server, err := fleet.NewServer(i, service)
		if err != nil {
			record.Say("not played: %v", err)
			return 2
		}
		breaksOff := i == 0 // a share of 0.17
		server.Handle = func(s *rig.Server, w http.ResponseWriter, r *http.Request, id string, _ []byte) {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			w.Header().Set("Hazelwheel-Response-Stamp", s.ID+"."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			for number := last + 1; number <= events; number++ {
				text := event(id, number)
				if trouble && breaksOff && number == cutEvent {
					_, _ = io.WriteString(w, text[:strings.Index(text, "\ndata: end")+1])
					_ = http.NewResponseController(w).Flush()
					record.Write("server %s breaks off in the middle of event %d of %s", s.ID, number, id)
					time.Sleep(20 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, text)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
			}
			record.Write("server %s has sent %s from event %d to its end", s.ID, id, last+1)
		}
	}
	route := rig.Route("r-1", host, prefix, "streaming", service, int(deadline.Milliseconds()))
	route["Resumable"], route["MaxAttempts"] = true, 2
	if status := fleet.Put(rig.Config(5, []map[string]any{route}, service), 0, 10*time.Second); status != http.StatusOK {
		record.Say("not played: the first configuration got %d", status)
		return 2
	}
	if err := fleet.AwaitReady(10 * time.Second); err != nil {
		record.Say("not played: %v", err)
		return 2
	}
	time.Sleep(3 * time.Second) // ContactMs
	var clients sync.WaitGroup
	var mu sync.Mutex
	complete, wrong, sent := 0, 0, 0
	started := time.Now()
	for i := 0; time.Since(started) < 15*time.Second; i++ {
		clients.Go(func() {
			isComplete, fault := follow(fleet, record, i%rig.Edges)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if isComplete {
				complete++
			}
			if fault != "" {
				wrong++
				record.Write("%s", fault)
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	record.Say("%d of %d streams ended as complete", complete, sent)
	if wrong > 0 {
		record.Say("ORDER: %d streams that ended as complete lack a part of an event", wrong)
		return 1
	}
	return 0
}

// follow sends a request and reads its stream. It returns whether the stream ended as complete, and what was wrong with it then.
func follow(fleet *rig.Fleet, record *rig.Record, edge int) (complete bool, fault string) {
	id := rig.RandomHex(8)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	address := net.JoinHostPort(rig.EdgeIP(edge), strconv.Itoa(fleet.FrontPort))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+prefix+"2f", strings.NewReader("a prompt"))
	if err != nil {
		return false, ""
	}
	request.Host, request.Close = host, true
	request.Header.Set("Hazelwheel-Request-Id", id)
	request.Header.Set("Hazelwheel-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	record.Write("client sends request %s to edge-%d", id, edge+1)
	response, err := (&http.Transport{DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return false, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	record.Write("client got status %d and %d bytes for %s, error %v", response.StatusCode, len(data), id, err)
	if err != nil || response.StatusCode != http.StatusOK {
		return false, ""
	}
	want := ""
	for number := range events {
		want += event(id, number+1)
	}
	if string(data) == want {
		return true, ""
	}
	missing := ""
	for number := range events {
		if !strings.Contains(string(data), event(id, number+1)) {
			missing += fmt.Sprintf(" %d", number+1)
		}
	}
	return true, fmt.Sprintf("stream %s ended as complete without these whole events:%s", id, missing)
}
