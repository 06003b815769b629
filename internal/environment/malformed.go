package environment

import (
	"strconv"

	"hazelwheel/internal/http1"
)

// The kinds of malformed answers.
const (
	malformedNoise = iota
	malformedHead
	malformedEndlessHead
	malformedTooLong
	malformedNegativeLength
	malformedTwoLengths
	malformedHuge
	malformedEndsEarly
	malformedKinds
)

// writeMalformed writes an answer to an executed request that can't be parsed completely. The connection mostly stays
// open, and is unusable.
func (p *serverProcess) writeMalformed(conn *serverConn, body []byte) {
	p.observeResponse(conn, 0, false, true, nil)
	conn.job, conn.isUnusable = nil, true
	out := p.buffer[:0]
	if conn.request.isThrift {
		var closes bool
		if out, closes = p.appendMalformedReply(conn, out, body); len(out) > 0 {
			p.write(conn, out)
		}
		if closes && conn.conn != nil {
			p.net.Close(conn.conn)
		}
		return
	}
	how := p.rng.IntN(malformedKinds)
	switch how {
	case malformedNoise:
		out = p.appendNoise(out, 20+p.rng.IntN(400))
	case malformedHead:
		out = append(out, "HTTP/1.1 200 OK\r\nno field at all\r\n\r\n"...)
	case malformedEndlessHead:
		out = append(out, "HTTP/1.1 200 OK\r\nX-Fill: "...)
		for range 1 + p.rng.IntN(40<<10) {
			out = append(out, 'a')
		}
	case malformedTooLong, malformedEndsEarly:
		out = append(http1.AppendHeader(append(out, "HTTP/1.1 200 OK\r\n"...), nil, len(body)+1+p.rng.IntN(1000)), body...)
	case malformedNegativeLength:
		out = append(append(out, "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n"...), body...)
	case malformedTwoLengths:
		out = append(out, "HTTP/1.1 200 OK\r\nContent-Length: "...)
		out = append(strconv.AppendInt(out, int64(len(body)), 10), "\r\nContent-Length: 5\r\n\r\n"...)
		out = append(out, body...)
	case malformedHuge:
		out = append(out, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"...)
		for range 128 << 10 {
			out = append(out, 'a')
		}
	}
	if p.write(conn, out); how == malformedEndsEarly && conn.conn != nil {
		p.net.Close(conn.conn)
	}
}

// appendTrailing appends bytes that don't belong to an answer: a copy of it, or noise.
func (p *serverProcess) appendTrailing(out []byte) (more []byte, isCopy bool) {
	if p.rng.IntN(2) == 0 {
		return append(out, out...), true
	}
	return p.appendNoise(out, 1+p.rng.IntN(60)), false
}

// appendNoise appends random bytes.
func (p *serverProcess) appendNoise(out []byte, n int) []byte {
	for range n {
		out = append(out, byte(p.rng.Uint32()))
	}
	return out
}
