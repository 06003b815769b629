package environment

import (
	"strconv"

	"hazelwheel/internal/http1"
)

// The ways to spoil an answer.
const (
	noise = iota
	badHead
	endlessHead
	tooLong
	negative
	twoLengths
	hugeAndComing
	endsEarly
	spoilings
)

// spoil writes an answer that nobody can take for whole, though its request has run. The connection stays open, mostly,
// and is of no further use.
func (l *life) spoil(k *boxLink, body []byte) {
	l.replied(k, 0, false, true, nil)
	k.job, k.spent = nil, true
	out := l.out[:0]
	if k.heard.thrift {
		var closes bool
		if out, closes = l.spoilThrift(k, out, body); len(out) > 0 {
			l.write(k, out)
		}
		if closes && k.conn != nil {
			l.net.Close(k.conn)
		}
		return
	}
	how := l.rng.IntN(spoilings)
	switch how {
	case noise:
		out = l.appendNoise(out, 20+l.rng.IntN(400))
	case badHead:
		out = append(out, "HTTP/1.1 200 OK\r\nno field at all\r\n\r\n"...)
	case endlessHead:
		out = append(out, "HTTP/1.1 200 OK\r\nX-Fill: "...)
		for range 1 + l.rng.IntN(40<<10) {
			out = append(out, 'a')
		}
	case tooLong, endsEarly:
		out = append(http1.AppendHeader(append(out, "HTTP/1.1 200 OK\r\n"...), nil, len(body)+1+l.rng.IntN(1000)), body...)
	case negative:
		out = append(append(out, "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n"...), body...)
	case twoLengths:
		out = append(out, "HTTP/1.1 200 OK\r\nContent-Length: "...)
		out = append(strconv.AppendInt(out, int64(len(body)), 10), "\r\nContent-Length: 5\r\n\r\n"...)
		out = append(out, body...)
	case hugeAndComing:
		out = append(out, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"...)
		for range 128 << 10 {
			out = append(out, 'a')
		}
	}
	if l.write(k, out); how == endsEarly && k.conn != nil {
		l.net.Close(k.conn)
	}
}

// behind appends what does not belong to an answer: a copy of it, or noise.
func (l *life) behind(out []byte) (more []byte, copied bool) {
	if l.rng.IntN(2) == 0 {
		return append(out, out...), true
	}
	return l.appendNoise(out, 1+l.rng.IntN(60)), false
}

func (l *life) appendNoise(out []byte, n int) []byte {
	for range n {
		out = append(out, byte(l.rng.Uint32()))
	}
	return out
}
