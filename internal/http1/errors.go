package http1

import "fmt"

// Error is the reason why a message was rejected, with the status of the response to the client.
type Error struct {
	Status int
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

// malformed returns an Error with status 400 for a message that violates the syntax or the rules for framing.
func malformed(reason string) error { return &Error{400, reason} }
