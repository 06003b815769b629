package processcluster

import (
	"bufio"
	"encoding/binary"
	"net"
	"slices"
	"time"

	"hazelwheel/internal/peers/frames"
)

// Direction is a direction between two sidecars, by their names.
type Direction struct{ From, To string }

// Directions returns the directions between two groups of sidecars: both, or with oneWay those from the first group to the second alone.
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

// LinkFault is a fault of all links in a direction. The zero value is no fault.
type LinkFault struct {
	Cut            bool    // bytes are dropped, and no link is established; links that dropped any are reset when the cut ends, as TCP would give up
	Hold           bool    // bytes wait, while links stay established
	BytesPerSecond float64 // that each link forwards; 0: no limit
}

// link is one connection between two sidecars.
type link struct {
	dialer, target string      // names of sidecars
	conns          [2]net.Conn // to the dialer, to the target
	hasLostBytes   bool        // during a cut
	number         uint64      // identifies it, from 1
}

// reset resets both connections of a link.
func (l *link) reset() {
	for _, conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
			_ = tcp.Close()      // it is being given up
		}
	}
}

// helloTimeout bounds the wait for the first frame of a link.
const helloTimeout = 10 * time.Second

// readHello reads to the end of the first frame and decodes it as a hello. The bytes that were read are returned also with an error.
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
