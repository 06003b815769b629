package http1

import "fmt"

// Error says why a message can't be read, with the status that tells a client so.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("http: %s (%d)", e.Reason, e.Status) }

func malformed(reason string) error { return &Error{400, reason} }
