package rewrite

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"

	"hazelwheel/internal/http1"
)

func header(pairs ...string) (h http1.Header) {
	for i := 0; i < len(pairs); i += 2 {
		h = append(h, http1.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return h
}

// Rules are applied in order, each to the result of the ones before it, and only if class and path match.
func TestRulesAreAppliedInOrder(t *testing.T) {
	s := Settings{Rules: []Rule{
		{Dir: In, Op: Rename, Name: "x-a", To: "X-B"},
		{Dir: In, Op: Add, Name: "X-A", Value: "new"},
		{Dir: In, Class: "other", Op: Drop, Name: "X-A"},
		{Dir: In, PathPrefix: "/c/7", Class: "c", Op: Drop, Name: "X-C"},
		{Dir: In, PathPrefix: "/c/8", Op: Drop, Name: "X-B"},
		{Dir: Out, Op: Drop, Name: "X-B"}}}
	from := header("X-A", "1", "X-C", "2", "X-B", "3", "x-a", "4")
	for range 2 { // the first call must not change the original header
		assert.Equal(t, header("X-B", "1", "X-B", "3", "X-B", "4", "X-A", "new"), s.Request(from, "c", "/c/7/x", netip.Addr{}))
	}
	assert.Equal(t, header("X-C", "2", "X-A", "new"), s.Request(from, "c", "/c/8", netip.Addr{}))
	assert.Equal(t, header("X-A", "1", "X-C", "2", "x-a", "4"), s.Answer(from, "c", "/c/7"))
}

// Fields that Connection names are removed, except for protected ones.
func TestConnectionRemovesUnprotectedFields(t *testing.T) {
	s := Settings{Forwarded: true}
	h := header("Connection", "X-Hop, Idempotency-Key, host", "X-Hop", "1", "idempotency-key", "k", "Host", "h", "TE", "trailers",
		"Keep-Alive", "5", "Proxy-Connection", "x", "Upgrade", "h2c", "X-End", "2", "Server-Load", "queue=1")
	assert.Equal(t, header("idempotency-key", "k", "Host", "h", "X-End", "2", "Server-Load", "queue=1"), s.Answer(h, "c", "/c"))
}

func TestForwarded(t *testing.T) {
	s := Settings{Forwarded: true}
	for _, c := range []struct {
		client string
		before http1.Header
		want   http1.Header
	}{
		{"10.0.0.9", nil, header("Forwarded", "for=10.0.0.9;proto=http")},
		{"::ffff:10.0.0.9", header("A", ""), header("A", "", "Forwarded", "for=10.0.0.9;proto=http")},
		{"2001:db8::7%eth0", header("forwarded", "for=_x", "Forwarded", "for=_y", "A", ""),
			header("forwarded", "for=_x", "Forwarded", `for=_y, for="[2001:db8::7]";proto=http`, "A", "")},
		{"::1", header("Forwarded", ""), header("Forwarded", `for="[::1]";proto=http`)},
	} {
		assert.Equal(t, c.want, s.Request(c.before, "c", "/c", netip.MustParseAddr(c.client)))
	}
	s.Rules = []Rule{{Dir: In, Op: Drop, Name: "Forwarded"}}
	assert.Equal(t, header("Forwarded", `for="[::1]";proto=http`),
		s.Request(header("Forwarded", "for=claimed"), "c", "/c", netip.MustParseAddr("::1")))
}

func TestFree(t *testing.T) {
	for _, name := range []string{"request-id", "IDEMPOTENCY-KEY", "Request-Timeout", "content-length", "Server-load", "Host",
		"connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Expect"} {
		assert.False(t, Free(name), name)
	}
	assert.True(t, Free("X-Station-Debug"))
}
