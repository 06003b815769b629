package http1

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var limits = Limits{HeadBytes: 200, BufferedBodyBytes: 20}

// errorStatus returns the status of an *Error, or 0 for any other error.
func errorStatus(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}

// feedInPieces calls f once for each size of the pieces in which text is fed, from 1 byte to all of it, so that a piece ends at each
// offset.
func feedInPieces(text string, f func(feed func(next func(*Buffer) bool))) {
	for size := 1; size <= len(text); size++ {
		f(func(next func(*Buffer) bool) {
			var buf Buffer
			for rest := text; len(rest) > 0; {
				n := min(size, len(rest))
				buf.Write([]byte(rest[:n]))
				rest = rest[n:]
				if !next(&buf) {
					return
				}
			}
		})
	}
}

func TestRequestParser(t *testing.T) {
	const host = "Host: h\r\n"
	for _, c := range []struct {
		name, text string
		bodies     []string
		status     int
	}{
		{"without a body", "GET / HTTP/1.1\r\n" + host + "\r\n", []string{""}, 0},
		{"two, each after an empty line", "\r\nPOST /a HTTP/1.1\r\n" + host + "content-length: 3\r\n\r\nabc\r\nGET / HTTP/1.1\r\n" + host + "\r\n",
			[]string{"abc", ""}, 0},
		{"chunks", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: Chunked\r\n\r\n3 ;x\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
			[]string{"abc0123456789"}, 0},
		{"length at the limit", "POST / HTTP/1.1\r\n" + host + "Content-Length: 20\r\n\r\n01234567890123456789", []string{"01234567890123456789"}, 0},
		{"same length twice", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", []string{"x"}, 0},
		{"length above the limit", "POST / HTTP/1.1\r\n" + host + "Content-Length: 21\r\n\r\n", nil, 413},
		{"huge length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\n", nil, 400},
		{"signed length", "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\n", nil, 400},
		{"empty length", "POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\n", nil, 400},
		{"chunks above the limit", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n15\r\n", nil, 413},
		{"invalid chunk size", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nx\r\n", nil, 400},
		{"empty chunk size", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n\r\n", nil, 400},
		{"chunk longer than its size", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", nil, 400},
		{"invalid trailer", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\nbad\r\n", nil, 400},
		{"unsupported coding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", nil, 501},
		{"chunks in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", nil, 400},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", nil, 400},
		{"folded line", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", nil, 400},
		{"control byte", "GET / HTTP/1.1\r\n" + host + "A: b\x00\r\n\r\n", nil, 400},
		{"two hosts", "GET / HTTP/1.1\r\n" + host + host + "\r\n", nil, 400},
		{"bare line feed", "GET / HTTP/1.1\n" + host + "\r\n", nil, 400},
		{"invalid target", "GET /\x80 HTTP/1.1\r\n" + host + "\r\n", nil, 400},
		{"no target", "GET HTTP/1.1\r\n" + host + "\r\n", nil, 400},
		{"unsupported version", "GET / HTTP/3\r\n" + host + "\r\n", nil, 505},
		{"long line", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 300), nil, 431},
		{"many lines", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 50), nil, 431},
	} {
		feedInPieces(c.text, func(feed func(func(*Buffer) bool)) {
			p := NewRequestParser(limits)
			var bodies []string
			var err error
			feed(func(buf *Buffer) bool {
				for {
					var done bool
					if done, err = p.Next(buf); !done {
						return err == nil
					}
					bodies = append(bodies, string(p.Body))
				}
			})
			require.Equal(t, c.status, errorStatus(err), c.name)
			if c.status == 0 {
				require.Equal(t, c.bodies, bodies, c.name)
			}
		})
	}
}

func TestResponseParser(t *testing.T) {
	for _, c := range []struct {
		name, text           string
		body                 string
		persistent, needsEOF bool // expected IsPersistent; whether the response is complete only after HandleEOF
		wantError            bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", true, false, false},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nA: b\r\n\r\nHTTP/1.1 200\r\nContent-Length: 1\r\n\r\na", "a", true, false, false},
		{"until the end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", "abc", false, true, false},
		{"until an unannounced end", "HTTP/1.1 200 OK\r\n\r\nabc", "", true, false, true},
		{"HTTP/1.0, until the end", "HTTP/1.0 200 OK\r\n\r\nabc", "abc", false, true, false},
		{"with Connection: close", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n", "", false, false, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", "", false, false, false},
		{"HTTP/1.0, keep-alive", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n", "", true, false, false},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", "", true, false, false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "ab", true, false, false},
		{"protocol switch", "HTTP/1.1 101 Switching\r\n\r\n", "", false, false, true},
		{"invalid status", "HTTP/1.1 2x0 OK\r\n\r\n", "", false, false, true},
		{"body above the limit", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 21), "", false, false, true},
	} {
		feedInPieces(c.text, func(feed func(func(*Buffer) bool)) {
			p := NewResponseParser(limits)
			var done bool
			var err error
			feed(func(buf *Buffer) bool {
				done, err = p.Next(buf)
				return err == nil
			})
			require.Equal(t, c.wantError, err != nil, c.name)
			if c.wantError {
				return
			}
			require.Equal(t, !c.needsEOF, done, c.name)
			require.True(t, p.HandleEOF(), c.name)
			require.Equal(t, c.body, string(p.Body), c.name)
			require.Equal(t, c.persistent, p.IsPersistent(), c.name)
		})
	}
	p, buf := NewResponseParser(limits), Buffer{}
	buf.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na"))
	_, err := p.Next(&buf)
	assert.NoError(t, err)
	assert.False(t, p.HandleEOF(), "a truncated body is not complete")
}

// Bytes that aren't HTTP are rejected as soon as the first wrong one is received, without waiting for the end of a line.
func TestResponseParserRejectsNoiseEarly(t *testing.T) {
	for text, bad := range map[string]bool{"": false, "HT": false, "\r\nHTTP/1.1 2": false, "HTTP/1.1 200 OK\r\nA": false,
		"HTTQ": true, "\x00\xff": true, "HTTP/2.0 200 OK\r\n": true, "HTTP/1.1 2x0 OK\r\nA": true,
		"HTTP/1.1 100 C\r\n\r\nx": true} {
		p, buf := NewResponseParser(limits), Buffer{}
		buf.Write([]byte(text))
		_, err := p.Next(&buf)
		assert.Equal(t, bad, err != nil, "%q: %v", text, err)
	}
}

func TestEndToEndDropsHopByHopFields(t *testing.T) {
	h := Header{{"Connection", "x-one, close"}, {"X-One", "1"}, {"X-Two", "2"}, {"Transfer-Encoding", "chunked"}}
	assert.Equal(t, Header{{"X-Two", "2"}}, h.EndToEnd())
}

// checkRoundTrip encodes a parsed request as a proxy forwards it, and checks that it is parsed again with the same target and body.
func checkRoundTrip(t *testing.T, p *RequestParser) {
	reparsed, buf := NewRequestParser(Limits{HeadBytes: 1000, BufferedBodyBytes: 20}), Buffer{}
	h := p.Header.EndToEnd()
	if !slices.ContainsFunc(h, func(f Field) bool { return strings.EqualFold(f.Name, "Host") }) {
		h = append(h, Field{"Host", "h"}) // required by HTTP/1.1, but not by HTTP/1.0
	}
	buf.Write(AppendRequest(nil, p.Method, p.Target, h, p.Body))
	done, err := reparsed.Next(&buf)
	if !done || err != nil || string(reparsed.Body) != string(p.Body) || reparsed.Target != p.Target {
		t.Fatalf("%q was written as %q: %v", p.startLine, reparsed.startLine, err)
	}
}

// Whatever is received, the parsers terminate, keep to their limits and return errors with a status. Requests that are accepted
// survive a round trip through AppendRequest.
func FuzzParsers(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"), 3)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), 5)
	f.Add([]byte("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n\r\nx"), 1)
	f.Fuzz(func(t *testing.T, in []byte, size int) {
		size = max(size, 1)
		req, resp := NewRequestParser(limits), NewResponseParser(limits)
		var reqBuf, respBuf Buffer
		var reqErr, respErr error
		for ; len(in) > 0; in = in[min(size, len(in)):] {
			piece := in[:min(size, len(in))]
			reqBuf.Write(piece)
			respBuf.Write(piece)
			for done := true; done && reqErr == nil; {
				if done, reqErr = req.Next(&reqBuf); done {
					checkRoundTrip(t, &req)
				}
			}
			if respErr == nil {
				_, respErr = resp.Next(&respBuf)
			}
			if len(req.Body) > limits.BufferedBodyBytes || len(resp.Body) > limits.BufferedBodyBytes {
				t.Fatal("the buffered body exceeds the limit")
			}
		}
		if reqErr != nil && errorStatus(reqErr) == 0 {
			t.Fatalf("an error without a status: %v", reqErr)
		}
	})
}

// A target in absolute form is converted to origin form, and its authority replaces Host.
func TestAbsoluteFormIsConverted(t *testing.T) {
	for target, want := range map[string][2]string{
		"http://service.internal/latest-reading/7?a=b": {"/latest-reading/7?a=b", "service.internal"},
		"HTTP://h:80":           {"/", "h:80"},
		"http://h?x=http://y/z": {"/?x=http://y/z", "h"},
		"/a?u=http://h/b":       {"/a?u=http://h/b", "old"},
		"*":                     {"*", "old"},
		"ftp://h/a":             {"ftp://h/a", "old"},
		"http://user@h/a":       {},
		"http://":               {},
	} {
		p, buf := NewRequestParser(limits), Buffer{}
		buf.Write([]byte("GET " + target + " HTTP/1.1\r\nHost: old\r\n\r\n"))
		done, err := p.Next(&buf)
		if want[0] == "" {
			assert.Error(t, err, target)
			continue
		}
		assert.True(t, done && err == nil, target)
		assert.Equal(t, want, [2]string{p.Target, p.Header.Get("Host")}, target)
	}
}
