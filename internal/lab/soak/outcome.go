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

// RequestKind is a kind of requests by how they may be executed and answered. It is the first segment of the path.
type RequestKind string

// The kinds of requests.
const (
	NonIdempotent RequestKind = "once"   // executed at most once
	Idempotent    RequestKind = "safe"   // may be executed again after a failure
	Prompt        RequestKind = "prompt" // for a model; answered by a stream of events
	ResumableFeed RequestKind = "feed"   // answered by a stream of events that another server may resume
)

// Outcome is what a client observed of a request. If Status is 0, one of ConnectionClosed, DialFailed and TimedOut is true.
type Outcome struct {
	ID               string
	Kind             RequestKind
	Edge             string // name of the machine to which it was sent
	Incarnation      int    // of that machine's proxy when it was sent
	Route            int    // number of the added route, 0 for a route of the first configuration
	SentAt           time.Time
	EndedAt          time.Time
	Status           int    // 0 without a complete answer
	Body             string // of the answer, as far as it was received
	HasStamp         bool   // the answer carries a server's stamp
	ConnectionClosed bool   // the connection was closed before the answer was complete
	DialFailed       bool   // no connection could be made
	TimedOut         bool   // there was no complete answer within the deadline
	Disturbed        bool   // an intervention at the machine excuses how it ended
}

// label is the key under which reports count the outcome.
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

// recordResponse records the result of http.Client.Do: the answer after reading it to its end, or how the request failed. It closes the body.
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
