package load

import (
	"bytes"
	"strconv"
	"time"
)

// linkState says what a connection is about.
type linkState int

const (
	down linkState = iota // no socket; a kept one is opened again at link.again
	opening
	idle
	busy    // its request is out
	overdue // its client has given its request up; an answer may still come
)

// job is one request.
type job struct {
	due   time.Duration // when it should start, from the start of the run
	sent  time.Duration // when this try was due, and then when it was sent; its client waits from then on
	class int
	again bool   // it is sent a second time, since the link's closing crossed it
	tries int    // before this one
	id    uint64 // of a keyed class: the key, the same for all tries
	tale  uint64 // the try's number for the judge; 0: it has not been told of
	// Of a request that is sent again: when it was sent first, and when its link's closing was seen.
	askedAt, droppedAt time.Duration
}

// link is a connection to the sidecar, kept or for one request.
type link struct {
	fd      int
	state   linkState
	kept    bool
	has     bool // a job
	job     job
	carried int           // requests answered on this connection
	opened  time.Duration // when it came up
	// answeredAt is when the last answer on it was whole; kept for the judge alone.
	answeredAt time.Duration
	again      time.Duration // when to open it again
	pending    []byte        // of the request, not taken by the socket yet
	reply      reply
}

// reply is the answer that is on its way in.
type reply struct {
	head   []byte // of it, while it is not whole
	inBody bool
	left   int // bytes of the body
	status int
	last   bool          // the sidecar closes after it
	any    bool          // some of it has come
	odd    bool          // it has a form that is not read here
	behind []byte        // what came behind it, until the next read
	after  time.Duration // Retry-After
}

func (r *reply) reset() { *r = reply{head: r.head[:0]} }

var (
	headEnd    = []byte("\r\n\r\n")
	lengthName = []byte("content-length:")
	closeName  = []byte("connection:")
	chunkName  = []byte("transfer-encoding:")
	afterName  = []byte("retry-after:")
)

// take reads what has come. It returns whether the answer is whole. Bytes behind it are in r.behind: a client that has one
// request out is owed nothing more.
func (r *reply) take(data []byte) (whole bool) {
	r.any = r.any || len(data) > 0
	if !r.inBody {
		if len(r.head) > 0 {
			r.head = append(r.head, data...)
			data = r.head
		}
		end := bytes.Index(data, headEnd)
		if end < 0 {
			if len(r.head) == 0 {
				r.head = append(r.head, data...)
			}
			return false
		}
		r.readHead(data[:end+2])
		data = data[end+4:]
		if r.status == 100 {
			rest := append([]byte(nil), data...)
			r.reset()
			return r.take(rest)
		}
		r.inBody = true
	}
	r.left -= len(data)
	if r.left < 0 && !r.odd {
		r.behind = data[len(data)+r.left:]
	}
	return r.left <= 0
}

// readHead takes the status and the fields that matter here. b ends with the last field's line break.
func (r *reply) readHead(b []byte) {
	if len(b) < 12 || !bytes.HasPrefix(b, []byte("HTTP/1.")) {
		r.status, r.odd = 0, true
		return
	}
	r.status = int(b[9]-'0')*100 + int(b[10]-'0')*10 + int(b[11]-'0')
	known := r.status == 204 || r.status == 304 || r.status == 100
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		field := b[:i]
		b = b[i+1:]
		if len(field) < 8 {
			continue
		}
		switch field[0] | 0x20 {
		case 'c':
			switch {
			case hasFold(field, lengthName):
				known = true
				r.left = 0
				for _, d := range bytes.TrimSpace(field[len(lengthName):]) {
					r.left = r.left*10 + int(d-'0')
				}
			case hasFold(field, closeName):
				r.last = r.last || bytes.Contains(bytes.ToLower(field), []byte("close"))
			}
		case 'r':
			if hasFold(field, afterName) {
				if x, err := strconv.ParseFloat(string(bytes.TrimSpace(field[len(afterName):])), 64); err == nil && x >= 0 {
					r.after = time.Duration(min(x, 60) * float64(time.Second))
				}
			}
		case 't':
			if hasFold(field, chunkName) {
				r.odd = true
			}
		}
	}
	r.odd = r.odd || !known
}

func hasFold(field, name []byte) bool {
	return len(field) >= len(name) && bytes.EqualFold(field[:len(name)], name)
}

// outcome returns what a whole answer means.
func (r *reply) outcome() Outcome {
	switch {
	case r.odd:
		return Failed
	case r.status == 200:
		return Served
	case r.status == 429 || r.status == 503:
		return Refused
	}
	return Failed
}
