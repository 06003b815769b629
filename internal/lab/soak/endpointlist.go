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

// platform stands in for the list of servers.
type endpointList struct {
	address     string
	servers     []*server
	httpServers []*http.Server
}

func startEndpointList(checker *Checker) (*endpointList, error) {
	p := &endpointList{}
	for i := range plainServers + modelServers {
		s := &server{instanceID: fmt.Sprintf("i-%02d", i), service: plainService, checker: checker}
		if i >= plainServers {
			s.service, s.stage = modelService, stageDecode
			if i%2 == 0 {
				s.stage = stagePrefill
			}
		}
		address, err := p.serve(s)
		if err != nil {
			return nil, err
		}
		s.address = address
		p.servers = append(p.servers, s)
	}
	address, err := p.serve(http.HandlerFunc(p.serveList))
	p.address = address
	return p, err
}

func (p *endpointList) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", Error.Wrap(err)
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	p.httpServers = append(p.httpServers, httpServer)
	go func() { _ = httpServer.Serve(listener) }() // ends with close
	return listener.Addr().String(), nil
}

func (p *endpointList) close() {
	for _, httpServer := range p.httpServers {
		_ = httpServer.Close()
	}
}

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

func (p *endpointList) serveList(w http.ResponseWriter, _ *http.Request) {
	var page listPage
	for i, s := range p.servers {
		s.mu.Lock()
		state := "ready"
		if s.draining {
			state = "draining"
		}
		page.Instances = append(page.Instances, listedInstance{ID: s.instanceID, Service: s.service, Address: s.address, Zone: fmt.Sprint("z", i%3),
			Slots: serverSlots, State: state, Stage: s.stage})
		s.mu.Unlock()
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	_ = json.NewEncoder(w).Encode(page) // who asked and is gone asks again
}

// renew replaces servers until the context ends, one at a time: it drains, is gone, and another instance has its address.
func (p *endpointList) replaceServers(ctx context.Context, rng *rand.Rand) (replaced int) {
	for {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanReplaceInterval)))
		s := p.servers[rng.IntN(len(p.servers))]
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
