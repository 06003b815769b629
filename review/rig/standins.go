package rig

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Platform is the stand-in of the list of servers.
type Platform struct {
	Address string

	mu      sync.Mutex
	entries []map[string]any
}

func newPlatform(record *Record) (*Platform, error) {
	listener, err := net.Listen("tcp4", network+".84.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Instances": p.entries, "NextPageToken": nil})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return p, nil
}

// Add lists a server.
func (p *Platform) Add(s *Server, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, map[string]any{"Id": s.ID, "Service": s.Service, "Address": s.Address, "Zone": zone, "Version": "v1",
		"Slots": 64, "State": "ready", "ColdRemainingMs": 0})
}

// AddEntry lists a server that a driver has started itself.
func (p *Platform) AddEntry(id, service, address, zone string, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, map[string]any{"Id": id, "Service": service, "Address": address, "Zone": zone, "Version": "v1",
		"Slots": slots, "State": "ready", "ColdRemainingMs": 0})
}

// SetDraining lists a server as draining.
func (p *Platform) SetDraining(s *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range p.entries {
		if entry["Id"] == s.ID {
			entry["State"] = "draining"
		}
	}
}

// Remove takes a server off the list.
func (p *Platform) Remove(s *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = slices.DeleteFunc(p.entries, func(entry map[string]any) bool { return entry["Id"] == s.ID })
}

// Server is a stand-in server. Handle answers the requests that it runs.
type Server struct {
	ID, Service, Address string
	record               *Record
	Handle               func(s *Server, w http.ResponseWriter, r *http.Request, id string, body []byte)
	OnRun                func(s *Server, r *http.Request, id string)
}

// NewServer starts a server and lists it.
func (f *Fleet) NewServer(i int, service string) (*Server, error) {
	listener, err := net.Listen("tcp4", ServerIP(i)+":0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: "i-" + RandomHex(4), Service: service, Address: listener.Addr().String(), record: f.Record, Handle: plainAnswer}
	go func() { _ = http.Serve(listener, s) }()
	f.Platform.Add(s, zones[i%3])
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Hazelwheel-Instance-Id", s.ID)
		return
	}
	id := r.Header.Get("Hazelwheel-Request-Id")
	w.Header().Set("Hazelwheel-Request-Id", id)
	if expected := r.Header.Get("Hazelwheel-Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.record.Write("server %s of %s runs request %s, host %s, %s %s", s.ID, s.Service, id, r.Host, r.Method, r.RequestURI)
	if s.OnRun != nil {
		s.OnRun(s, r, id)
	}
	s.Handle(s, w, r, id, body)
}

func plainAnswer(s *Server, w http.ResponseWriter, _ *http.Request, id string, _ []byte) {
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Hazelwheel-Response-Stamp", s.ID+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.Service, id)
}

// RandomHex returns n random bytes in hexadecimal digits.
func RandomHex(n int) string {
	data := make([]byte, n)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// IsReady asks a proxy whether it is ready, as the platform does.
func (f *Fleet) IsReady(edge int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(EdgeIP(edge), strconv.Itoa(f.ReadyPort))+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Put sends a configuration to the control processes in turn until a clear answer comes, unchanged each time. It returns the status.
func (f *Fleet) Put(config []byte, base int, timeout time.Duration) int {
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		address := net.JoinHostPort(ControlIP(i%Controls), strconv.Itoa(f.ControlPort))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/config", bytes.NewReader(config))
		if err != nil {
			cancel()
			return 0
		}
		request.Header.Set("If-Match", strconv.Itoa(base))
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			cancel()
			time.Sleep(200 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		cancel()
		f.Record.Write("operator: PUT /config on top of version %d at %s: %d %s", base, address, response.StatusCode, bytes.TrimSpace(text))
		if response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 {
			return response.StatusCode
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// Route returns a route of a configuration.
func Route(name, host, prefix, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{"Name": name, "Host": host, "PathPrefix": prefix, "RouteType": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": 300,
		"Priority": 1, "Service": service, "MaxAttempts": 1, "Sticky": false, "Resumable": false}
}

// MaxConnections is that of the services. A driver may change it before it calls Config.
var MaxConnections = 350

// Config returns a configuration.
func Config(version int, routes []map[string]any, services ...string) []byte {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": MaxConnections, "Protocol": "h1", "Tls": false})
	}
	data, _ := json.Marshal(map[string]any{"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	return data
}

// Answer is what a client got for a request.
type Answer struct {
	ID     string
	Status int // 0: none
	Stamp  string
	Body   string
	SentAt time.Time
}

// Send sends a request of a client to a proxy on a new connection, and records it.
func (f *Fleet) Send(edge int, host, path string, deadline time.Duration, body []byte) Answer {
	answer := Answer{ID: RandomHex(8), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	address := net.JoinHostPort(EdgeIP(edge), strconv.Itoa(f.FrontPort))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer
	}
	request.Host, request.Close = host, true
	request.Header.Set("Hazelwheel-Request-Id", answer.ID)
	request.Header.Set("Hazelwheel-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	f.Record.Write("client sends request %s to edge-%d, host %s, POST %s", answer.ID, edge+1, host, path)
	response, err := (&http.Transport{DisableCompression: true}).RoundTrip(request)
	if err != nil {
		f.Record.Write("client gets no answer to %s", answer.ID)
		return answer
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		f.Record.Write("client gets status %d for %s and no whole body", response.StatusCode, answer.ID)
		return answer
	}
	answer.Status, answer.Stamp, answer.Body = response.StatusCode, response.Header.Get("Hazelwheel-Response-Stamp"), string(data)
	f.Record.Write("client gets status %d for %s, stamp %q", answer.Status, answer.ID, answer.Stamp)
	return answer
}
