package environment

import (
	"strconv"

	"hazelwheel/internal/http1"
)

// The ways to spoil an answer.
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

// spoil writes an answer that nobody can take for whole, though its request has run. The connection stays open, mostly,
// and is of no further use.
func (l *serverProcess) writeMalformed(k *serverConn, body []byte) {
	l.observeResponse(k, 0, false, true, nil)
	k.job, k.isUnusable = nil, true
	out := l.buffer[:0]
	if k.request.isThrift {
		var closes bool
		if out, closes = l.appendMalformedReply(k, out, body); len(out) > 0 {
			l.write(k, out)
		}
		if closes && k.conn != nil {
			l.net.Close(k.conn)
		}
		return
	}
	how := l.rng.IntN(malformedKinds)
	switch how {
	case malformedNoise:
		out = l.appendNoise(out, 20+l.rng.IntN(400))
	case malformedHead:
		out = append(out, "HTTP/1.1 200 OK\r\nno field at all\r\n\r\n"...)
	case malformedEndlessHead:
		out = append(out, "HTTP/1.1 200 OK\r\nX-Fill: "...)
		for range 1 + l.rng.IntN(40<<10) {
			out = append(out, 'a')
		}
	case malformedTooLong, malformedEndsEarly:
		out = append(http1.AppendHeader(append(out, "HTTP/1.1 200 OK\r\n"...), nil, len(body)+1+l.rng.IntN(1000)), body...)
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
	if l.write(k, out); how == malformedEndsEarly && k.conn != nil {
		l.net.Close(k.conn)
	}
}

// behind appends what does not belong to an answer: a copy of it, or noise.
func (l *serverProcess) appendTrailing(out []byte) (more []byte, copied bool) {
	if l.rng.IntN(2) == 0 {
		return append(out, out...), true
	}
	return l.appendNoise(out, 1+l.rng.IntN(60)), false
}

func (l *serverProcess) appendNoise(out []byte, n int) []byte {
	for range n {
		out = append(out, byte(l.rng.Uint32()))
	}
	return out
}
