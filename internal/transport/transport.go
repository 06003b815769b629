// Package transport sends messages between processes of the router fleet: as MessagePack in HTTP requests between machines (Client,
// NewHandler), and as MessagePack frames over connections between processes of one machine (WriteFrame, ReadFrame).
//
// It retries nothing: only the caller knows whether its message may arrive twice.
package transport

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("transport")

const (
	contentType = "application/msgpack"
	// maxMessageBytes is the maximum size of a message.
	maxMessageBytes = 16 << 20
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 700 * time.Millisecond
	// ackTimeout is the time after which a connection is closed if sent bytes are not acknowledged (TCP_USER_TIMEOUT).
	ackTimeout = 1500 * time.Millisecond
	// idleConnTimeout and maxIdleConnsPerHost bound the idle connections that a client keeps for later calls.
	idleConnTimeout     = 20 * time.Second
	maxIdleConnsPerHost = 2
	// bufferSize is the size of a client connection's read and write buffers, in bytes. Most messages are small, and there are many
	// connections.
	bufferSize = 2 << 10
)
