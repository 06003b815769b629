// Command encoded plays a change of the configuration that adds a route whose prefix has percent-encoded characters.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"review/rig"
)

const (
	host      = "ficu95.example"
	oldPrefix = "/lohu930/"
	newPrefix = "/%D8%B9%D9%85%D8%A7%D9%86/" // the name of a town, as it stands in the request line
	service   = "wuno96b"
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
	for i := range 3 {
		if _, err := fleet.NewServer(i, service); err != nil {
			record.Say("not played: %v", err)
			return 2
		}
	}
	first := rig.Route("r-1", host, oldPrefix, "non_idempotent", service, 1500)
	if status := fleet.Put(rig.Config(5, []map[string]any{first}, service), 0, 10*time.Second); status != http.StatusOK {
		record.Say("not played: the first configuration got %d", status)
		return 2
	}
	if err := fleet.AwaitReady(10 * time.Second); err != nil {
		record.Say("not played: %v", err)
		return 2
	}
	time.Sleep(3 * time.Second) // ContactMs
	paths := []string{oldPrefix}
	if os.Getenv("TROUBLE") != "0" {
		added := rig.Route("r-2", host, newPrefix, "non_idempotent", service, 1500)
		if status := fleet.Put(rig.Config(7, []map[string]any{first, added}, service), 5, 10*time.Second); status != http.StatusOK {
			record.Say("not acknowledged: %d", status)
			return 0
		}
		paths = append(paths, newPrefix)
		time.Sleep(rig.ConfigApply + 500*time.Millisecond)
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]map[int]int{}
	started := time.Now()
	for i := 0; time.Since(started) < 15*time.Second; i++ {
		path := paths[i/rig.Edges%len(paths)]
		clients.Go(func() {
			answer := fleet.Send(i%rig.Edges, host, path+"2f", deadline, []byte("raise the alert"))
			mu.Lock()
			defer mu.Unlock()
			if counts[path] == nil {
				counts[path] = map[int]int{}
			}
			counts[path][answer.Status]++
		})
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	for _, path := range paths {
		record.Say("requests to %s by status: %v", path, counts[path])
	}
	if refused := counts[newPrefix][http.StatusNotFound]; refused > 0 {
		record.Say("CONFIG: %d requests were refused with 404 though the route is there", refused)
		return 1
	}
	return 0
}
