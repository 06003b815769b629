package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Kind is what may be done with a request.
type RequestKind string

// The kinds of requests.
const (
	NonIdempotent RequestKind = "once"   // it may run once
	Idempotent    RequestKind = "safe"   // it may be repeated
	Prompt        RequestKind = "prompt" // an answer of events
	ResumableFeed RequestKind = "feed"   // an answer of events that another server may go on with
)

// Outcome is what a client saw of a request.
type Outcome struct {
	ID               string
	Kind             RequestKind
	Edge             string // name of the machine
	Incarnation      int    // of its proxy
	Route            int    // number of an added route, 0: a first route
	SentAt           time.Time
	EndedAt          time.Time
	Status           int    // 0: no answer
	Body             string // of a 200, as far as it came
	HasStamp         bool   // the answer has a server's stamp
	ConnectionClosed bool   // the connection ended without a whole answer
	DialFailed       bool   // no connection could be had
	TimedOut         bool   // there was no answer when the time was over
	Disturbed        bool   // something was done to the machine from shortly before until the end
}

// class says in a word what a client saw.
func (o *Outcome) label() string {
	switch {
	case o.DialFailed:
		return "no connection"
	case o.TimedOut:
		return "silent"
	case o.ConnectionClosed:
		return "closed"
	}
	return fmt.Sprint(o.Status)
}

// take notes the answer, or how the request ended without one.
func (o *Outcome) recordResponse(response *http.Response, err error) {
	if err == nil {
		defer response.Body.Close()
		var body []byte
		body, err = io.ReadAll(response.Body)
		o.Body = string(body)
		if err == nil {
			o.Status, o.HasStamp = response.StatusCode, response.Header.Get(headerStamp) != ""
			return
		}
	}
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		o.DialFailed = true
	case errors.Is(err, context.DeadlineExceeded):
		o.TimedOut = true
	default:
		o.ConnectionClosed = true
	}
}
