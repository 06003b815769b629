package http1

import (
	"strconv"
	"strings"

	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
)

// QuotaPath is the path at which operators read the state of the quotas of all groups, or of one group with ?group=PATH.
const QuotaPath = "/quota"

var (
	_ sidecar.QuotaClient  = (*clientConn)(nil)
	_ sidecar.CostReporter = (*exchange)(nil)
)

// Field implements sidecar.QuotaClient: it returns the field as the client sent it, before any rewriting.
func (c *clientConn) Field(name string) string { return c.parser.Header.Get(name) }

// RequestBytes implements sidecar.QuotaClient: it counts the first line, the header and the body.
func (c *clientConn) RequestBytes() int {
	p := &c.parser
	return len(p.Method) + len(p.Target) + headerBytes(p.Header) + max(p.BodyLength(), len(p.Body))
}

// RejectOverQuota implements sidecar.QuotaClient, with status 429.
func (c *clientConn) RejectOverQuota(group string, retryAfterSeconds float64) {
	h := http1.Header{textPlain}
	if c.frontend.settings.RetryAfter {
		h = append(h, http1.Field{Name: fieldRetryAfter, Value: strconv.FormatFloat(retryAfterSeconds, 'f', 3, 64)})
	}
	c.respond(429, h, []byte("over the quota of "+group+"\n"))
}

// respondQuotaStatus answers an operator's query of the quotas.
func (c *clientConn) respondQuotaStatus(query string) {
	text, ok := c.Sidecar().QuotaStatus(query)
	if !ok {
		c.reject(404, "there are no quotas, or no such group")
		return
	}
	c.respond(200, http1.Header{{Name: "Content-Type", Value: "application/json"}}, text)
}

// ResponseBytes implements sidecar.CostReporter: it counts the header and the body.
func (x *exchange) ResponseBytes() int {
	return headerBytes(x.parser.Header) + x.parser.ReceivedBodyBytes()
}

// ServiceSeconds implements sidecar.CostReporter: it reads the time from the load report.
func (x *exchange) ServiceSeconds() (seconds float64, ok bool) {
	for pair := range strings.SplitSeq(x.parser.Header.Get(fieldLoad), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if ms, err := strconv.ParseFloat(value, 64); name == sidecar.LoadReportNames["svc_ms"] && err == nil && ms >= 0 && ms < 3.6e6 {
			return ms / 1000, true
		}
	}
	return 0, false
}

// headerBytes returns the approximate size of a header on the wire.
func headerBytes(h http1.Header) (n int) {
	for _, f := range h {
		n += len(f.Name) + len(f.Value) + len(": \r\n")
	}
	return n
}
