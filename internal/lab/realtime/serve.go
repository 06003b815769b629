package realtime

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"

	"hazelwheel/internal/environment"
)

// Server plays what sidecars depend on, until its ctx ends: boxes and discovery, for a sidecar that somebody else runs.
type Server struct {
	Day     environment.Day
	Script  environment.Script
	Listen  string // where that sidecar is to listen
	Config  string // the file for its configuration
	Control string // where troubles are asked for
	Out     io.Writer
}

// Run serves.
func (s *Server) Run(ctx context.Context) error {
	control, err := net.Listen("tcp", s.Control)
	if err != nil {
		return err
	}
	defer control.Close()
	parent := ctx
	ctx, stop := context.WithCancelCause(parent)
	defer stop(nil)
	settings := &Settings{Day: s.Day, Script: s.Script, Started: func(p *Play) {
		if err := s.started(p); err != nil {
			stop(err)
			return
		}
		server := &http.Server{Handler: p.control()}
		go func() { _ = server.Serve(control) }()             // returns when the listener is closed
		context.AfterFunc(ctx, func() { _ = server.Close() }) // the play is over
	}}
	if _, err := Do(ctx, settings); err != nil {
		return err
	}
	if parent.Err() == nil {
		return context.Cause(ctx)
	}
	return nil
}

// started writes the configuration and says what there is.
func (s *Server) started(p *Play) error {
	sidecar := &p.Day.Sidecars[0]
	sidecar.Address = s.Listen
	if err := os.WriteFile(s.Config, p.World.StartConfiguration(0, p.Now()), 0o644); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "discovery at %s; a sidecar's configuration is in %s, and has it listen at %s\n", p.World.Discovery.Address(), s.Config, s.Listen)
	for _, b := range p.Day.Servers[:p.Day.InitialServers] {
		fmt.Fprintf(s.Out, "%3d  %s  %s  %s  %s\n", b.Number, b.Name, b.Address, p.Day.Sites[b.Site], p.Day.ServerKinds[b.Kind])
	}
	return nil
}

// control takes troubles by POST, as JSON; boxes may be named by their number.
func (p *Play) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /trouble", func(w http.ResponseWriter, r *http.Request) {
		var t environment.Fault
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		done := make(chan error, 1)
		p.Post(func() {
			for i, name := range t.Servers {
				if n, err := strconv.Atoi(name); err == nil && n >= 0 && n < len(p.Day.Servers) {
					t.Servers[i] = p.Day.Servers[n].Name
				}
			}
			done <- p.TroubleNow(t)
		})
		if err := <-done; err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}
