// Package health answers the platform's health checks of a sidecar over HTTP, on a port of its own, and gives the reasons for a negative
// answer. The paths are /alive, /ready and /started.
//
// It must answer even if the event loop stalls, so it runs on goroutines of its own and reads the snapshot that the loop published last.
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

// Settings are the port and the thresholds of readiness. Below a threshold that starts with Min, or above one that starts with Max, the
// sidecar is not ready.
type Settings struct {
	Port         int // 0: health checks are off
	MaxListAgeMS float64
	MinUsable    int // servers
	MaxInflight  int // requests
}

// IsEnabled reports whether there is a port for health checks.
func (s *Settings) IsEnabled() bool { return s.Port != 0 }

const (
	// maxConnections limits concurrent connections; further ones wait to be accepted.
	maxConnections = 8
	// Descriptors is how many descriptors must be reserved for a Server.
	Descriptors = maxConnections + 1
	// connectionTimeout limits how long a client may take to send its request, and to read the answer.
	connectionTimeout = 2 * time.Second
	// maxStallMS is how old the last snapshot may be before /alive and /ready fail.
	maxStallMS = 1000
)

// Snapshot is the state of the sidecar as its event loop publishes it. Times are in seconds, by the clock that New is given.
type Snapshot struct {
	TakenAt       float64
	ListReadAt    float64 // when discovery last sent anything; before that, when the process started
	Started       bool    // a server list has been loaded
	Draining      bool
	UsableServers int
	Inflight      int // requests
}

// Server answers health checks.
type Server struct {
	settings Settings
	now      func() float64
	snapshot atomic.Pointer[Snapshot]
	http     http.Server
}

// New returns a server that does not listen yet. It starts with a snapshot of the present time that is not started. now may be
// called from any goroutine.
func New(settings Settings, now func() float64, log *slog.Logger) *Server {
	s := &Server{settings: settings, now: now}
	s.Publish(Snapshot{TakenAt: now(), ListReadAt: now()})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /alive", s.serveAlive)
	mux.HandleFunc("GET /ready", s.serveReady)
	mux.HandleFunc("GET /started", s.serveStarted)
	s.http = http.Server{Handler: mux, ReadTimeout: connectionTimeout, WriteTimeout: connectionTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	s.http.SetKeepAlivesEnabled(false) // an idle client must not hold one of the few connections
	return s
}

// Publish replaces the snapshot. It never blocks, and may be called from any goroutine.
func (s *Server) Publish(snapshot Snapshot) { s.snapshot.Store(&snapshot) }

// Listen starts to answer health checks at a host address and the configured port, until the process ends. An error names the setting.
func (s *Server) Listen(host string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(s.settings.Port)))
	if err != nil {
		return fmt.Errorf("health.port: %w", err)
	}
	go func() { _ = s.http.Serve(netutil.LimitListener(l, maxConnections)) }() // returns only on a permanent accept error
	return nil
}

// ageMS returns the time since at in whole milliseconds, at least 0.
func (s *Server) ageMS(at float64) float64 { return max(math.Round((s.now()-at)*1000), 0) }

func (s *Server) serveAlive(w http.ResponseWriter, _ *http.Request) {
	stall, why := s.ageMS(s.snapshot.Load().TakenAt), reasons{}
	why.addIfAbove("loop_stall_ms", stall, maxStallMS)
	writeAnswer(w, len(why) == 0, struct {
		Alive   bool    `json:"alive"`
		Reasons reasons `json:"reasons"`
		StallMS float64 `json:"loop_stall_ms"`
	}{len(why) == 0, why, stall})
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	snapshot, why := s.snapshot.Load(), reasons{}
	listAge := s.ageMS(snapshot.ListReadAt)
	why.addIfAbove("list_age_ms", listAge, s.settings.MaxListAgeMS)
	why.addIfBelow("servers_usable", float64(snapshot.UsableServers), float64(s.settings.MinUsable))
	why.addIfAbove("inflight", float64(snapshot.Inflight), float64(s.settings.MaxInflight))
	why.addIfAbove("loop_stall_ms", s.ageMS(snapshot.TakenAt), maxStallMS)
	if snapshot.Draining {
		why = append(why, "draining")
	}
	writeAnswer(w, len(why) == 0, struct {
		Ready         bool    `json:"ready"`
		Reasons       reasons `json:"reasons"`
		ListAgeMS     float64 `json:"list_age_ms"`
		UsableServers int     `json:"servers_usable"`
		Inflight      int     `json:"inflight"`
	}{len(why) == 0, why, listAge, snapshot.UsableServers, snapshot.Inflight})
}

func (s *Server) serveStarted(w http.ResponseWriter, _ *http.Request) {
	snapshot, why := s.snapshot.Load(), reasons{}
	if !snapshot.Started {
		why = append(why, "no list loaded")
	}
	writeAnswer(w, snapshot.Started, struct {
		Started bool    `json:"started"`
		Reasons reasons `json:"reasons"`
	}{snapshot.Started, why})
}

// reasons are the reasons for a negative answer; empty if it is positive.
type reasons []string

func (r *reasons) addIfAbove(name string, value, limit float64) {
	if value > limit {
		*r = append(*r, fmt.Sprintf("%s %v > %v", name, value, limit))
	}
}

func (r *reasons) addIfBelow(name string, value, limit float64) {
	if value < limit {
		*r = append(*r, fmt.Sprintf("%s %v < %v", name, value, limit))
	}
}

// writeAnswer writes a body as JSON, with status 200 or 503.
func writeAnswer(w http.ResponseWriter, healthy bool, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false) // people read the reasons
	_ = e.Encode(body)     // fails only if the client has gone
}
