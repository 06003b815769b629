package stub

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// heartbeatInterval is the time between two empty lines of a watch while nothing changes.
const heartbeatInterval = 2 * time.Second

// Discovery serves the list of servers at an address, to watches as well, until Close. It also serves the counts of each server at /lab/boxes, and sets a
// Fault by POST at /lab/trouble.
type Discovery struct {
	server  http.Server
	done    chan struct{}
	list    []Listed
	servers *Servers
}

// StartDiscovery starts the discovery service.
func StartDiscovery(address string, boxes *Servers) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{done: make(chan struct{}), list: boxes.settings.List(), servers: boxes}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serveList)
	mux.HandleFunc("GET /lab/boxes", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(boxes.Counts()) })
	mux.HandleFunc("POST /lab/trouble", func(w http.ResponseWriter, r *http.Request) {
		var t Fault
		err := json.NewDecoder(r.Body).Decode(&t)
		if err == nil {
			err = boxes.SetFault(t)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	d.server.Handler = mux
	go func() { _ = d.server.Serve(l) }() // returns when the server is closed
	return d, nil
}

// Close ends the watches and stops listening.
func (d *Discovery) Close() error {
	close(d.done)
	return d.server.Close()
}

// listIndex is the version of the list, which never changes.
const listIndex = 1

// serveList answers with the complete list; a watch goes on with empty lines.
func (d *Discovery) serveList(w http.ResponseWriter, r *http.Request) {
	follow := r.FormValue("follow") == "1"
	if !follow || r.FormValue("since") != "1" {
		if err := json.NewEncoder(w).Encode(map[string]any{"index": listIndex, "snapshot": true, "endpoints": d.list}); err != nil {
			return
		}
	}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for follow {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-d.done:
			return
		case <-tick.C:
			_, _ = w.Write([]byte("\n"))
		}
	}
}
