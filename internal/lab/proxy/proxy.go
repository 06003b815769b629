// Package proxy is what one would take in place of the sidecar: plain balancers from the standard library and from
// fasthttp, told of the boxes by the same discovery. They are here to be measured against, and do no more than such
// balancers do: no deadline for a share of the boxes, no health, no admission.
package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Kinds are the ways to choose a box, and fasthttp's server with round robin.
var Kinds = []string{"roundrobin", "random", "leasttwo", "fasthttp"}

// Settings say what a proxy is.
type Settings struct {
	Kind      string
	Listen    string
	Discovery string
	Retries   int // how many more boxes are asked after one has failed; 0: none. Not for fasthttp.
}

// Err returns what is wrong with the settings, in words that name the field.
func (s *Settings) Err() error {
	switch {
	case !slices.Contains(Kinds, s.Kind):
		return fmt.Errorf("kind: %q is none of %v", s.Kind, Kinds)
	case s.Retries < 0 || s.Retries > 10:
		return fmt.Errorf("retries: %d, not 0 to 10", s.Retries)
	case s.Retries > 0 && s.Kind == "fasthttp":
		return fmt.Errorf("retries: fasthttp's proxy has none")
	}
	return nil
}

// Serve listens and serves until ctx ends.
func Serve(ctx context.Context, s *Settings) error {
	if err := s.Err(); err != nil {
		return err
	}
	boxes := &boxes{discovery: s.Discovery}
	if err := boxes.load(ctx); err != nil {
		return err
	}
	go boxes.follow(ctx)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	if s.Kind == "fasthttp" {
		return serveFast(ctx, l, boxes)
	}
	server := &http.Server{Handler: handler(s, boxes), ErrorLog: log.New(io.Discard, "", 0)}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the program ends
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// box is one server.
type box struct {
	address string
	out     atomic.Int64 // requests
}

// boxes is the list, asked for anew each second as plain balancers do it.
type boxes struct {
	discovery string
	list      atomic.Pointer[[]*box]
	turn      atomic.Uint64
}

// askEvery is the time between two questions for the list, and at most what one takes.
const askEvery = time.Second

func (b *boxes) follow(ctx context.Context) {
	for tick := time.NewTicker(askEvery); ctx.Err() == nil; {
		select {
		case <-tick.C:
			_ = b.load(ctx) // the list before it holds
		case <-ctx.Done():
		}
	}
}

func (b *boxes) load(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, askEvery)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+b.discovery+"/v1/endpoints", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var said struct {
		Endpoints []struct{ Address, Status string }
	}
	if err := json.NewDecoder(resp.Body).Decode(&said); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	known := map[string]*box{}
	if old := b.list.Load(); old != nil {
		for _, x := range *old {
			known[x.address] = x
		}
	}
	var list []*box
	for _, e := range said.Endpoints {
		if e.Status != "SERVING" {
			continue
		}
		x := known[e.Address]
		if x == nil {
			x = &box{address: e.Address}
		}
		list = append(list, x)
	}
	b.list.Store(&list)
	return nil
}

// choose returns a box for a request, nil where there is none.
func (b *boxes) choose(kind string) *box {
	list := *b.list.Load()
	if len(list) == 0 {
		return nil
	}
	switch kind {
	case "random":
		return list[rand.IntN(len(list))]
	case "leasttwo":
		x, y := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
		if y.out.Load() < x.out.Load() {
			return y
		}
		return x
	}
	return list[b.turn.Add(1)%uint64(len(list))]
}

// handler is the standard library's reverse proxy over a transport that chooses boxes.
func handler(s *Settings, b *boxes) http.Handler {
	t := &transport{settings: s, boxes: b, plain: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext}}
	p := &httputil.ReverseProxy{Transport: t, ErrorLog: log.New(io.Discard, "", 0),
		Rewrite: func(r *httputil.ProxyRequest) { r.Out.URL.Scheme, r.Out.URL.Host = "http", "box" }}
	p.ErrorHandler = func(w http.ResponseWriter, r *http.Request, err error) {
		if errors.Is(err, context.DeadlineExceeded) {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		w.WriteHeader(http.StatusBadGateway)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" {
			w.WriteHeader(http.StatusOK)
			return
		}
		if d := patience(r.Header.Get("Request-Timeout")); d > 0 {
			ctx, stop := context.WithTimeout(r.Context(), d)
			defer stop()
			r = r.WithContext(ctx)
		}
		p.ServeHTTP(w, r)
	})
}

// patience returns what a Request-Timeout says, 0 if nothing.
func patience(text string) time.Duration {
	for unit, d := range map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond} {
		if n, ok := strings.CutSuffix(text, unit); ok {
			x, err := strconv.ParseInt(n, 10, 64)
			if err != nil {
				return 0
			}
			return time.Duration(x) * d
		}
	}
	return 0
}

// transport sends a request to a box, and to others where that fails and it may run again.
type transport struct {
	settings *Settings
	boxes    *boxes
	plain    *http.Transport
}

var errNoBox = errors.New("no box")

func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if t.settings.Retries > 0 && r.Body != nil { // Danger: a body that was sent once is gone
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
	}
	again := r.Method == "GET" || r.Header.Get("Idempotency-Key") != ""
	for tries := 0; ; tries++ {
		x := t.boxes.choose(t.settings.Kind)
		if x == nil {
			return nil, errNoBox
		}
		out := r.Clone(r.Context())
		out.URL.Host = x.address
		if body != nil {
			out.Body = io.NopCloser(bytes.NewReader(body))
		}
		x.out.Add(1)
		resp, err := t.plain.RoundTrip(out)
		if err != nil {
			x.out.Add(-1)
		} else {
			resp.Body = &counted{ReadCloser: resp.Body, box: x}
		}
		var dial *net.OpError
		never := errors.As(err, &dial) && dial.Op == "dial" || err == nil && resp.Header.Get("Not-Started") == "1"
		if tries >= t.settings.Retries || r.Context().Err() != nil || !never && !again || err == nil && resp.StatusCode < 500 {
			return resp, err
		}
		if err == nil {
			resp.Body.Close()
		}
	}
}

// counted takes a request off its box's count with the end of its answer.
type counted struct {
	io.ReadCloser
	box *box
}

func (c *counted) Close() error {
	if c.box != nil {
		c.box.out.Add(-1)
		c.box = nil
	}
	return c.ReadCloser.Close()
}
