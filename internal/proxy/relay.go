package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// relay passes a stream's events on to a client. It holds the head back until there is an event to go with it.
type relay struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
	lastID  string
}

// errClient says that the client takes no more.
var errClient = errors.New("the client is gone")

// head writes the head of the first server's answer.
func (s *relay) head(answer *http.Response) {
	if s.begun {
		return
	}
	s.begun = true
	passHead(s.w, answer)
	s.w.WriteHeader(answer.StatusCode)
}

// event passes on one whole event.
func (s *relay) event(answer *http.Response, event []byte) error {
	s.head(answer)
	if _, err := s.w.Write(event); err != nil {
		return errClient
	}
	if err := s.control.Flush(); err != nil {
		return errClient
	}
	if id := eventID(event); id != "" {
		s.lastID = id
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
