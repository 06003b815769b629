// Package health answers the operators' questions after an instance on a port beside the one that it serves at, with
// reasons. It must answer while the event loop stalls: it runs on goroutines of its own and reads what the loop has
// last said.
package health

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

// Settings are the port and the thresholds; without a port there is no health beside the platform's own.
type Settings struct {
	Port         int
	MaxListAgeMS float64
	MinUsable    int
	MaxInflight  int
}

// IsEnabled tells whether there is a side port.
func (s *Settings) IsEnabled() bool { return s.Port != 0 }

const (
	// mostConnections bounds those at the side port; further ones wait until one of them has its answer.
	mostConnections = 8
	// Descriptors is what the side port may hold, with its listener.
	Descriptors = mostConnections + 1
	// connectionS bounds how long a connection may take for its question and its answer.
	connectionS = 2
	// mostStallMS is how long the loop may be silent.
	mostStallMS = 1000
)

// Snapshot is what the event loop says of itself at one of its beats.
type Snapshot struct {
	TakenAt       float64 // the time of the beat
	ListReadAt    float64 // when anything was last read from discovery; before that, the program's start
	Started       bool    // a list has been loaded
	Draining      bool
	UsableServers int // servers
	Inflight      int // requests
}

// Server answers at the side port.
type Server struct {
	settings Settings
	now      func() float64 // on the clock of the snapshots
	last     atomic.Pointer[Snapshot]
	http     http.Server
}

// New returns a server that does not listen yet. The loop counts as beating from now on.
func New(s Settings, now func() float64, log *slog.Logger) *Server {
	h := &Server{settings: s, now: now}
	h.Publish(Snapshot{TakenAt: now(), ListReadAt: now()})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /alive", h.alive)
	mux.HandleFunc("GET /ready", h.ready)
	mux.HandleFunc("GET /started", h.started)
	h.http = http.Server{Handler: mux, ReadTimeout: connectionS * time.Second, WriteTimeout: connectionS * time.Second,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	h.http.SetKeepAlivesEnabled(false) // who asks rarely must not hold one of the few connections
	return h
}

// Publish takes a new snapshot. It does not wait for readers.
func (h *Server) Publish(s Snapshot) { h.last.Store(&s) }

// Listen begins to answer at the side port of a host.
func (h *Server) Listen(host string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(h.settings.Port)))
	if err != nil {
		return fmt.Errorf("health.port: %w", err)
	}
	go h.http.Serve(netutil.LimitListener(l, mostConnections)) // ends with the process
	return nil
}

// reasons collects what speaks against a claim.
type reasons []string

func (r *reasons) above(name string, v, most float64) {
	if v > most {
		*r = append(*r, fmt.Sprintf("%s %v > %v", name, v, most))
	}
}

func (r *reasons) below(name string, v, least float64) {
	if v < least {
		*r = append(*r, fmt.Sprintf("%s %v < %v", name, v, least))
	}
}

// ageMS is how long ago something was, in whole milliseconds.
func (h *Server) ageMS(at float64) float64 { return max(math.Round((h.now()-at)*1000), 0) }

func (h *Server) alive(w http.ResponseWriter, _ *http.Request) {
	stall, why := h.ageMS(h.last.Load().TakenAt), reasons{}
	why.above("loop_stall_ms", stall, mostStallMS)
	answer(w, len(why) == 0, struct {
		Alive   bool    `json:"alive"`
		Reasons reasons `json:"reasons"`
		Stall   float64 `json:"loop_stall_ms"`
	}{len(why) == 0, why, stall})
}

func (h *Server) ready(w http.ResponseWriter, _ *http.Request) {
	s, why := h.last.Load(), reasons{}
	age := h.ageMS(s.ListReadAt)
	why.above("list_age_ms", age, h.settings.MaxListAgeMS)
	why.below("servers_usable", float64(s.UsableServers), float64(h.settings.MinUsable))
	why.above("inflight", float64(s.Inflight), float64(h.settings.MaxInflight))
	why.above("loop_stall_ms", h.ageMS(s.TakenAt), mostStallMS)
	if s.Draining {
		why = append(why, "draining")
	}
	answer(w, len(why) == 0, struct {
		Ready    bool    `json:"ready"`
		Reasons  reasons `json:"reasons"`
		ListAge  float64 `json:"list_age_ms"`
		Usable   int     `json:"servers_usable"`
		Inflight int     `json:"inflight"`
	}{len(why) == 0, why, age, s.UsableServers, s.Inflight})
}

func (h *Server) started(w http.ResponseWriter, _ *http.Request) {
	s, why := h.last.Load(), reasons{}
	if !s.Started {
		why = append(why, "no list loaded")
	}
	answer(w, s.Started, struct {
		Started bool    `json:"started"`
		Reasons reasons `json:"reasons"`
	}{s.Started, why})
}

// answer writes a body with the status that it stands for.
func answer(w http.ResponseWriter, good bool, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if !good {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false) // the reasons are read by people
	_ = e.Encode(body)     // fails only if nobody is there to read it
}
