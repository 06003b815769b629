package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// eventRelay forwards a stream's events to a client. It delays the response's head until the first event, so that another server can be tried
// until then. It must be used by one goroutine only.
type eventRelay struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	headWritten bool
	lastEventID string // of the last event that was written; a retry resumes after it
}

// maxEventBytes bounds one event of a stream, which is held until it is complete.
const maxEventBytes = 1 << 20

// errLongEvent is returned for an event that is longer than maxEventBytes.
var errLongEvent = errors.New("an event of the stream is too long")

// errClientDisconnected is returned if writing to the client fails.
var errClientDisconnected = errors.New("the client has disconnected")

// writeHead writes the head of a response, but only once: the events of a retry continue the first response.
func (r *eventRelay) writeHead(response *http.Response) {
	if r.headWritten {
		return
	}
	r.headWritten = true
	copyResponseHeader(r.w, response)
	r.w.WriteHeader(response.StatusCode)
}

// writeEvent writes one complete event and flushes it.
func (r *eventRelay) writeEvent(response *http.Response, event []byte) error {
	r.writeHead(response)
	if _, err := r.w.Write(event); err != nil {
		return errClientDisconnected
	}
	if err := r.control.Flush(); err != nil {
		return errClientDisconnected
	}
	if id := eventID(event); id != "" {
		r.lastEventID = id
	}
	return nil
}

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}

// readEvent returns the bytes up to and including the next empty line. At the end of the stream it returns the rest with io.EOF; after any
// other error the event is incomplete.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	lineStart := 0 // in event
	for {
		part, err := in.ReadSlice('\n')
		if len(event)+len(part) > maxEventBytes {
			return nil, errLongEvent
		}
		event = append(event, part...)
		// Danger: a line that is longer than the buffer comes in several parts, and the last one may be its end alone.
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil || isEmptyLine(event[lineStart:]) {
			return event, err
		}
		lineStart = len(event)
	}
}

// isEmptyLine reports whether a line, with its end, is empty. An empty line ends an event.
func isEmptyLine(line []byte) bool { return string(line) == "\n" || string(line) == "\r\n" }
