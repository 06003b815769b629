// Package transport carries messages between processes: msgpack over HTTP between machines, msgpack behind a length over
// loopback.
package transport

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("transport")

const (
	contentType = "application/msgpack"
	// maxMessage bounds what is read of one message, in bytes.
	maxMessageBytes = 16 << 20
	// connectWithin and ackWithin bound how long a silent machine is waited for.
	connectTimeout      = 700 * time.Millisecond
	ackTimeout          = 1500 * time.Millisecond
	idleConnTimeout     = 20 * time.Second
	maxIdleConnsPerHost = 2
)
