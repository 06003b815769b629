package environment

import (
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
)

// answer writes the answer of a request that has run.
func (l *serverProcess) respond(k *serverConn, j *serverJob) {
	l.answers++
	body := append(make([]byte, 0, 160), `{"box":"`...)
	body = append(append(body, l.Spec.Name...), `","request":"`...)
	body = append(appendID(body, j.request), `","n":`...)
	body = append(strconv.AppendInt(body, int64(l.answers), 10), "}\n"...)
	if m := &l.Misbehavior; m.Malformed > 0 && l.rng.Float64() < m.Malformed {
		l.writeMalformed(k, body)
		return
	}
	status := 200
	if j.fails {
		status = 500
	}
	l.observeResponse(k, status, false, false, body)
	k.job = nil
	out := l.buffer[:0]
	if m := &l.Misbehavior; m.InterimResponses > 0 && !k.request.isThrift && l.rng.Float64() < m.InterimResponses {
		for range 1 + l.rng.IntN(3) {
			out = append(out, "HTTP/1.1 103 Early Hints\r\nLink: </style>; rel=preload\r\n\r\n"...)
		}
	}
	misbehaves := l.Misbehavior.TrailingBytes > 0 && l.rng.Float64() < l.Misbehavior.TrailingBytes
	out = k.appendResponse(out, status, l.loadField(misbehaves), body)
	if misbehaves {
		whole := len(out)
		var copied bool
		if out, copied = l.appendTrailing(out); !copied && l.rng.IntN(2) == 0 {
			// What comes a moment later meets a connection that seems to be at rest. A copy comes at once: one that meets
			// the next request can't be told from its answer, by nobody who uses a connection twice.
			l.write(k, out[:whole])
			out = out[whole:]
		}
	}
	if k.conn != nil {
		l.write(k, out)
	}
}

// loadField returns the load report of an answer, where answers have one; a box that misbehaves may say what nobody can
// read.
func (l *serverProcess) loadField(misbehaves bool) http1.Header {
	if !l.day.ReportsInline {
		return nil
	}
	text := string(l.loadReports.published[:len(l.loadReports.published)-1]) // without its line's end
	if misbehaves && l.rng.IntN(2) == 0 {
		text = "util=many,,queue;=\t-1e999"
	}
	return http1.Header{{Name: fieldLoad, Value: text}}
}

// say writes an answer that no execution stands behind.
func (l *serverProcess) writeResponse(k *serverConn, status int, body []byte) {
	l.write(k, k.appendResponse(l.buffer[:0], status, nil, body))
}

func (l *serverProcess) write(k *serverConn, out []byte) {
	l.buffer = out
	if k.conn != nil {
		k.conn.Write(out) // a connection that breaks here is closed by the network
	}
}

func (l *serverProcess) observeResponse(k *serverConn, status int, notStarted, spoilt bool, body []byte) {
	e := l.event(checker.ResponseSent, k)
	e.Request, e.Status, e.NotStarted, e.Malformed = k.job.request, int32(status), notStarted, spoilt
	e.Class, e.Digest = int32(k.job.class), checker.Digest(body)
	l.observer.Observe(e)
}
