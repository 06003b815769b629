package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// endpointList stands in for the cloud API that lists servers, and runs the servers that it lists.
type endpointList struct {
	address     string // of the API
	servers     []*server
	httpServers []*http.Server // of the API and of all servers
}

// startEndpointList starts the servers and the API, which serve until close.
func startEndpointList(checker *Checker) (*endpointList, error) {
	l := &endpointList{}
	for i := range plainServers + modelServers {
		s := &server{instanceID: fmt.Sprintf("i-%02d", i), service: plainService, checker: checker}
		if i >= plainServers {
			s.service, s.stage = modelService, stageDecode
			if i%2 == 0 {
				s.stage = stagePrefill
			}
		}
		address, err := l.serve(s)
		if err != nil {
			return nil, err
		}
		s.address = address
		l.servers = append(l.servers, s)
	}
	address, err := l.serve(http.HandlerFunc(l.serveList))
	l.address = address
	return l, err
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (l *endpointList) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l.httpServers = append(l.httpServers, httpServer)
	go func() { _ = httpServer.Serve(listener) }() // returns ErrServerClosed after close
	return listener.Addr().String(), nil
}

// close closes all listeners and connections.
func (l *endpointList) close() {
	for _, httpServer := range l.httpServers {
		_ = httpServer.Close() // its listener is given up with the run
	}
}

// listedModel, listedInstance and listPage are the JSON of the API.
type listedModel struct {
	Name    string
	Version int
}

type listedInstance struct {
	ID      string `json:"Id"`
	Service string
	Address string
	Zone    string
	Slots   int
	State   string
	Stage   string        `json:",omitempty"`
	Models  []listedModel `json:",omitempty"`
}

type listPage struct {
	Instances     []listedInstance
	NextPageToken *string
}

// serveList answers with all servers on one page.
func (l *endpointList) serveList(w http.ResponseWriter, _ *http.Request) {
	var page listPage
	for i, s := range l.servers {
		s.mu.Lock()
		state := "ready"
		if s.isDraining {
			state = "draining"
		}
		page.Instances = append(page.Instances, listedInstance{ID: s.instanceID, Service: s.service, Address: s.address, Zone: fmt.Sprint("z", i%3),
			Slots: serverSlots, State: state, Stage: s.stage})
		s.mu.Unlock()
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(w).Encode(page) // an agent whose connection has failed repeats its request
}

// replaceServers replaces servers until ctx ends, one at a time, and returns how many: a server drains, then another instance has its
// address.
func (l *endpointList) replaceServers(ctx context.Context, rng *rand.Rand) (replaced int) {
	for {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanReplaceInterval)))
		s := l.servers[rng.IntN(len(l.servers))]
		s.setDraining(true)
		sleep(ctx, drainDuration)
		if ctx.Err() != nil {
			s.setDraining(false)
			return replaced
		}
		replaced++
		s.replaceInstance(fmt.Sprintf("%s-%d", s.currentInstanceID(), replaced))
	}
}
