package http1

import (
	"strconv"
	"strings"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
)

// QuotaPath is where the sidecar tells of its quotas: of all groups, and of one with ?group=PATH.
const QuotaPath = "/quota"

var (
	_ sidecar.QuotaClient  = (*clientConn)(nil)
	_ sidecar.CostReporter = (*exchange)(nil)
)

// Field returns a field as the client has sent it, whatever is rewritten later.
func (c *clientConn) Field(name string) string { return c.parser.Header.Get(name) }

// RequestBytes counts the request's first line, header and body.
func (c *clientConn) RequestBytes() int {
	p := &c.parser
	return len(p.Method) + len(p.Target) + headerBytes(p.Header) + max(p.BodyLength(), len(p.Body))
}

// RejectOverQuota refuses with a status of its own.
func (c *clientConn) RejectOverQuota(group string, retryAfterS float64) {
	h := http1.Header{textPlain}
	if c.front.settings.RetryAfter {
		h = append(h, http1.Field{Name: fieldRetryAfter, Value: strconv.FormatFloat(retryAfterS, 'f', 3, 64)})
	}
	c.respond(429, h, []byte("over the quota of "+group+"\n"))
}

// showQuotas answers operators who ask for the quotas.
func (c *clientConn) respondQuotaStatus(query string) {
	text, ok := c.Sidecar().QuotaStatus(query)
	if !ok {
		c.reject(404, "there are no quotas, or no such group")
		return
	}
	c.respond(200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, text)
}

// RequestBytes counts the answer's header and body.
func (x *exchange) ResponseBytes() int {
	return headerBytes(x.parser.Header) + x.parser.ReceivedBodyBytes()
}

// ServiceSeconds reads the answer's own time off its load report.
func (x *exchange) ServiceSeconds() (seconds float64, ok bool) {
	for pair := range strings.SplitSeq(x.parser.Header.Get(fieldLoad), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if ms, err := strconv.ParseFloat(value, 64); name == sidecar.LoadReportNames["svc_ms"] && err == nil && ms >= 0 && ms < 3.6e6 {
			return ms / 1000, true
		}
	}
	return 0, false
}

// headerBytes is about what a header takes on the wire.
func headerBytes(h http1.Header) (n int) {
	for _, f := range h {
		n += len(f.Name) + len(f.Value) + len(": \r\n")
	}
	return n
}
