package environment

import (
	"strconv"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/http1"
)

// respond writes the answer of an executed request.
func (p *serverProcess) respond(conn *serverConn, job *serverJob) {
	p.answers++
	body := append(make([]byte, 0, 160), `{"box":"`...)
	body = append(append(body, p.Spec.Name...), `","request":"`...)
	body = append(appendID(body, job.request), `","n":`...)
	body = append(strconv.AppendInt(body, int64(p.answers), 10), "}\n"...)
	if m := &p.Misbehavior; m.Malformed > 0 && p.rng.Float64() < m.Malformed {
		p.writeMalformed(conn, body)
		return
	}
	status := 200
	if job.fails {
		status = 500
	}
	p.observeResponse(conn, status, false, false, body)
	conn.job = nil
	out := p.buffer[:0]
	if m := &p.Misbehavior; m.InterimResponses > 0 && !conn.request.isThrift && p.rng.Float64() < m.InterimResponses {
		for range 1 + p.rng.IntN(3) {
			out = append(out, "HTTP/1.1 103 Early Hints\r\nLink: </style>; rel=preload\r\n\r\n"...)
		}
	}
	misbehaves := p.Misbehavior.TrailingBytes > 0 && p.rng.Float64() < p.Misbehavior.TrailingBytes
	out = conn.appendResponse(out, status, p.loadField(misbehaves), body)
	if misbehaves {
		answerLength := len(out)
		var isCopy bool
		if out, isCopy = p.appendTrailing(out); !isCopy && p.rng.IntN(2) == 0 {
			// Noise that arrives a moment later meets an idle connection. A copy is written at once: one that met the next
			// request could not be told from its answer by any client that reuses connections.
			p.write(conn, out[:answerLength])
			out = out[answerLength:]
		}
	}
	if conn.conn != nil {
		p.write(conn, out)
	}
}

// loadField returns the load report of an answer, where answers carry one; of a misbehaving server it may be unreadable.
func (p *serverProcess) loadField(misbehaves bool) http1.Header {
	if !p.day.ReportsInline {
		return nil
	}
	text := string(p.loadReports.published[:len(p.loadReports.published)-1]) // without the newline
	if misbehaves && p.rng.IntN(2) == 0 {
		text = "util=many,,queue;=\t-1e999"
	}
	return http1.Header{{Name: fieldLoad, Value: text}}
}

// writeResponse writes an answer without an execution.
func (p *serverProcess) writeResponse(conn *serverConn, status int, body []byte) {
	p.write(conn, conn.appendResponse(p.buffer[:0], status, nil, body))
}

// write writes to a connection, if it is open.
func (p *serverProcess) write(conn *serverConn, out []byte) {
	p.buffer = out
	if conn.conn != nil {
		conn.conn.Write(out) // a connection that breaks here is closed by the network
	}
}

// observeResponse reports an answer to a connection's request.
func (p *serverProcess) observeResponse(conn *serverConn, status int, notStarted, isMalformed bool, body []byte) {
	e := p.event(checker.ResponseSent, conn)
	e.Request, e.Status, e.NotStarted, e.Malformed = conn.job.request, int32(status), notStarted, isMalformed
	e.Class, e.Digest = int32(conn.job.class), checker.Digest(body)
	p.observer.Observe(e)
}
