package stub

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// quietEvery is how often a watch brings an empty line while nothing changes.
const quietEvery = 2 * time.Second

// Discovery lists boxes at an address, also to watches, until Close. Beside that it tells at /lab/boxes what each was
// asked, and takes at /lab/trouble a Trouble by POST.
type Discovery struct {
	server http.Server
	done   chan struct{}
	list   []Box
	boxes  *Boxes
}

// StartDiscovery begins to list.
func StartDiscovery(address string, boxes *Boxes) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{done: make(chan struct{}), list: boxes.settings.List(), boxes: boxes}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.tell)
	mux.HandleFunc("GET /lab/boxes", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(boxes.Counts()) })
	mux.HandleFunc("POST /lab/trouble", func(w http.ResponseWriter, r *http.Request) {
		var t Trouble
		err := json.NewDecoder(r.Body).Decode(&t)
		if err == nil {
			err = boxes.Trouble(t)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	d.server.Handler = mux
	go func() { _ = d.server.Serve(l) }() // returns when the server is closed
	return d, nil
}

// Close ends the watches and the listening.
func (d *Discovery) Close() error {
	close(d.done)
	return d.server.Close()
}

// listIndex is the version of the list, which never changes.
const listIndex = 1

// tell answers with the whole list, and goes on with empty lines where a watch is asked for.
func (d *Discovery) tell(w http.ResponseWriter, r *http.Request) {
	follow := r.FormValue("follow") == "1"
	if !follow || r.FormValue("since") != "1" {
		if err := json.NewEncoder(w).Encode(map[string]any{"index": listIndex, "snapshot": true, "endpoints": d.list}); err != nil {
			return
		}
	}
	tick := time.NewTicker(quietEvery)
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
