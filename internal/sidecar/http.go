package sidecar

import (
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"hazelwheel/internal/http1"
	"hazelwheel/policy"
)

// The bounds of HTTP messages.
const (
	mostHead = 16 << 10
	mostBody = 64 << 10
)

var httpLimits = http1.Limits{Head: mostHead, Body: mostBody}

// Header fields of the deployment.
const (
	fieldID         = "Request-Id"
	fieldPatience   = "Request-Timeout"
	fieldKey        = "Idempotency-Key"
	fieldRetry      = "Client-Retry"
	fieldNotStarted = "Not-Started"
	fieldLoad       = "Server-Load"
	fieldRetryAfter = "Retry-After"
)

// httpCall is what a client has asked for over HTTP.
type httpCall struct {
	s              *Sidecar
	method, target string
	header         http1.Header // passed on; Request-Timeout is written anew
	body           []byte
	class          string
}

func (c *httpCall) exchange() exchange {
	return &httpExchange{call: c, parser: http1.NewResponseParser(httpLimits)}
}

// newHTTPCall takes over a parsed request of a class that has come from an address. Its header is rewritten here, once
// for all executions: each begins with the same.
func newHTTPCall(s *Sidecar, p *http1.RequestParser, class string, from net.Addr) *httpCall {
	c := &httpCall{s: s, method: p.Method, target: p.Target, body: p.Body, class: class}
	header := p.Header
	if s.rewrites.On() {
		var client netip.Addr
		if tcp, ok := from.(*net.TCPAddr); ok {
			client = tcp.AddrPort().Addr()
		}
		header = s.rewrites.Request(header, class, c.path(), client)
	} else {
		header = header.EndToEnd()
	}
	for _, f := range header {
		if !strings.EqualFold(f.Name, fieldPatience) {
			c.header = append(c.header, f)
		}
	}
	return c
}

// path returns the target less its query.
func (c *httpCall) path() string {
	path, _, _ := strings.Cut(c.target, "?")
	return path
}

// httpExchange is one execution of an httpCall.
type httpExchange struct {
	call   *httpCall
	parser http1.ResponseParser
}

func (x *httpExchange) append(dst []byte, until float64) []byte {
	h := append(x.call.header[:len(x.call.header):len(x.call.header)],
		http1.Field{Name: fieldPatience, Value: formatPatience(until - x.call.s.now())})
	return http1.AppendRequest(dst, x.call.method, x.call.target, h, x.call.body)
}

func (x *httpExchange) read(buf *http1.Buffer) (bool, error) { return x.parser.Next(buf) }
func (x *httpExchange) begun() bool                          { return x.parser.Begun() }
func (x *httpExchange) end() bool                            { return x.parser.End() }

// header returns what the client is sent of an answer's header.
func (x *httpExchange) header() http1.Header {
	if r := &x.call.s.rewrites; r.On() {
		return r.Answer(x.parser.Header, x.call.class, x.call.path())
	}
	return x.parser.Header.EndToEnd()
}

// verdict reads the status. Only a server's word that it has not started proves that nothing has run.
func (x *httpExchange) verdict() (policy.Outcome, policy.Report, bool) {
	p := &x.parser
	outcome := policy.HostError
	switch {
	case p.Status == 200:
		outcome = policy.OK
	case (p.Status == 503 || p.Status == 504) && p.Header.Get(fieldNotStarted) == "1":
		outcome = policy.Rejected
	}
	return outcome, x.call.s.report(p.Header.Get(fieldLoad)), p.Keep()
}

// report reads a load report, `inflight=7,util=0.61`. A value that is absent or odd is not a number, which
// the decisions pass over.
func (s *Sidecar) report(text string) policy.Report {
	var r policy.Report
	names := s.cfg.Settings.ReportFields
	if text == "" || len(names) == 0 {
		return r
	}
	r.N = min(len(names), len(r.Values))
	for i := range r.N {
		r.Values[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || math.IsInf(v, 0) {
			continue
		}
		for i := range r.N {
			if names[i] == name || reportAlias[names[i]] == name {
				r.Values[i] = float32(v)
			}
		}
	}
	return r
}

// reportAlias are the names on the sockets of the values that the settings name.
var reportAlias = map[string]string{"busy_reqs": "inflight", "pending": "queue", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps"}

// httpProbe asks a server for a sign of life.
type httpProbe struct{ httpExchange }

// probe returns the deployment's way to probe a server.
func (s *Sidecar) probe() exchange {
	path := "/health"
	if s.cfg.Settings.Policy.ReportsOnProbe {
		path = "/status/load"
	}
	c := &httpCall{s: s, method: "GET", target: path, header: http1.Header{{Name: "Host", Value: s.cfg.Name}}}
	return &httpProbe{httpExchange{call: c, parser: http1.NewResponseParser(httpLimits)}}
}

// verdict reads the report from the body, where it comes so. A probe runs nothing: a server that does not serve
// one has turned it away, and need not say so as it must of a request.
func (x *httpProbe) verdict() (policy.Outcome, policy.Report, bool) {
	outcome, report, keep := x.httpExchange.verdict()
	if x.parser.Status == 503 {
		outcome = policy.Rejected
	}
	if x.call.s.cfg.Settings.Policy.ReportsOnProbe && x.parser.Status == 200 {
		report = x.call.s.report(string(x.parser.Body))
	}
	return outcome, report, keep
}

// formatPatience writes a span as the deployment does.
func formatPatience(s float64) string {
	return strconv.FormatInt(max(int64(s*1e6), 0), 10) + "u"
}

// parsePatience reads a number and a unit, m or u, as seconds.
func parsePatience(text string) (float64, bool) {
	if len(text) < 2 {
		return 0, false
	}
	unit, ok := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[text[len(text)-1]]
	n, err := strconv.ParseFloat(text[:len(text)-1], 64)
	if !ok || err != nil || !(n >= 0) || math.IsInf(n, 0) {
		return 0, false
	}
	return n * unit.Seconds(), true
}
