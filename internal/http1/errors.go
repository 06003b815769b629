package http1

import "fmt"

// Error is the reason why a message was rejected, with the status that a client gets for it.
type Error struct {
	Status int
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

// malformed returns the error of a message that breaks the syntax.
func malformed(reason string) error { return &Error{400, reason} }
