// Command hostcase plays an operator who sends an invalid configuration: two routes share host and prefix, with the host in other letters.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	host      = "ficu95.example"
	sameHost  = "Ficu95.example" // the names of hosts don't distinguish letter case
	prefix    = "/lohu930/"
	right     = "wuno96b"
	other     = "huvo11a"
	perSecond = 20
	deadline  = 1500 * time.Millisecond
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
	var mu sync.Mutex
	ranBy := map[string]string{} // services that ran the requests, by id
	for i := range 6 {
		service := right
		if i >= 3 {
			service = other
		}
		server, err := fleet.NewServer(i, service)
		if err != nil {
			record.Say("not played: %v", err)
			return 2
		}
		server.OnRun = func(s *rig.Server, _ *http.Request, id string) {
			mu.Lock()
			defer mu.Unlock()
			ranBy[id] = s.Service
		}
	}
	first := rig.Route("r-1", host, prefix, "non_idempotent", right, 1500)
	second := rig.Route("r-2", host, "/pufi791/", "non_idempotent", other, 1500)
	if status := fleet.Put(rig.Config(5, []map[string]any{first, second}, right, other), 0, 10*time.Second); status != http.StatusOK {
		record.Say("not played: the first configuration got %d", status)
		return 2
	}
	if err := fleet.AwaitReady(10 * time.Second); err != nil {
		record.Say("not played: %v", err)
		return 2
	}
	time.Sleep(3 * time.Second) // ContactMs
	started := time.Now()
	var clients sync.WaitGroup
	var answers []rig.Answer
	var acknowledgedAt atomic.Pointer[time.Time]
	if os.Getenv("TROUBLE") != "0" {
		clients.Go(func() {
			time.Sleep(4 * time.Second)
			invalid := rig.Route("r-3", sameHost, prefix, "non_idempotent", other, 1500)
			status := fleet.Put(rig.Config(7, []map[string]any{first, second, invalid}, right, other), 5, 4*time.Second)
			if now := time.Now(); status == http.StatusOK {
				acknowledgedAt.Store(&now)
			}
		})
	}
	for i := 0; time.Since(started) < 14*time.Second; i++ {
		clients.Go(func() {
			answer := fleet.Send(i%rig.Edges, host, prefix+"2f", deadline, []byte("raise the alert"))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	wrong, foreign := 0, 0
	for _, answer := range answers {
		if ranBy[answer.ID] == other {
			wrong++
			if answer.Status == http.StatusOK && strings.Contains(answer.Body, other) {
				foreign++
			}
		}
	}
	record.Say("%d requests to %s%s, whose route goes to %s; %d were run by %s, and %d clients got its answer", len(answers), host, prefix, right, wrong,
		other, foreign)
	if at := acknowledgedAt.Load(); at != nil && wrong > 0 {
		record.Say("CONFIG: the invalid configuration was acknowledged, and is in force")
		return 1
	}
	return 0
}
