package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// relay passes a stream's events on to a client. It holds the head back until there is an event to go with it.
type eventRelay struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	headWritten bool
	lastEventID string
}

// errClient says that the client takes no more.
var errClientGone = errors.New("the client is gone")

// head writes the head of the first server's answer.
func (r *eventRelay) writeHead(response *http.Response) {
	if r.headWritten {
		return
	}
	r.headWritten = true
	copyResponseHeader(r.w, response)
	r.w.WriteHeader(response.StatusCode)
}

// event passes on one whole event.
func (r *eventRelay) writeEvent(response *http.Response, event []byte) error {
	r.writeHead(response)
	if _, err := r.w.Write(event); err != nil {
		return errClientGone
	}
	if err := r.control.Flush(); err != nil {
		return errClientGone
	}
	if id := eventID(event); id != "" {
		r.lastEventID = id
	}
	return nil
}

func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}

// readEvent returns the bytes up to and with the next empty line. At a proper end it returns what is left with io.EOF.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(line) <= 2:
			return event, nil
		}
	}
}
