package processcluster

import (
	"bufio"
	"encoding/binary"
	"net"
	"slices"
	"time"

	"hazelwheel/internal/peers/frames"
)

// Way is a direction between two sidecars, by their names.
type Direction struct{ From, To string }

// Rule is what befalls the bytes of a way. The zero value is none.
type LinkFault struct {
	Cut            bool    // they are lost; links that lost any are reset once the cut is mended, as TCP gives up
	Hold           bool    // they wait, and links stay up
	BytesPerSecond float64 // bytes a second that each link takes; 0: as many as come
}

// call is one link.
type link struct {
	dialer, target string // who has dialed, and who is dialed
	conns          [2]net.Conn
	hasLostBytes   bool
	number         uint64
}

// Between returns the ways between two groups; both directions, or from the first to the second alone.
func Directions(from, to []string, oneWay bool) (directions []Direction) {
	for _, a := range from {
		for _, b := range to {
			if a == b || slices.Contains(from, b) && slices.Contains(to, a) && a > b {
				continue
			}
			if directions = append(directions, Direction{a, b}); !oneWay {
				directions = append(directions, Direction{b, a})
			}
		}
	}
	return directions
}

// end breaks a link: both ends are reset.
func (l *link) reset() {
	for _, conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on one that is closed
			_ = tcp.Close()      // the connection is given up
		}
	}
}

// mostHello bounds the wait for a first frame.
const helloTimeout = 10 * time.Second

// readHello reads up to the end of the first frame; what was read is returned also after an error.
func readHello(r *bufio.Reader) (first []byte, h frames.Hello, err error) {
	head, err := r.Peek(4)
	if err == nil {
		n := min(int(binary.BigEndian.Uint32(head)), frames.MaxFrameBytes-4)
		_, err = r.Peek(4 + n)
	}
	first, _ = r.Peek(r.Buffered())
	first = slices.Clone(first)
	if err != nil {
		return first, h, err
	}
	topic, body, _, err := frames.Next(first)
	if err == nil && topic == frames.TopicHello {
		err = frames.Unmarshal(body, &h)
	}
	return first, h, err
}
