// Package transport carries messages between processes of the router fleet: as MessagePack in HTTP requests between machines (Client,
// NewHandler), and as MessagePack frames over connections between processes of one machine (WriteFrame, ReadFrame).
//
// Nothing is retried here: the caller knows whether its message may arrive twice.
package transport

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("transport")

const (
	contentType = "application/msgpack"
	// maxMessageBytes bounds what is read of one message.
	maxMessageBytes = 16 << 20
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 700 * time.Millisecond
	// ackTimeout closes a connection on which sent bytes stay without an acknowledgement (TCP_USER_TIMEOUT).
	ackTimeout = 1500 * time.Millisecond
	// idleConnTimeout and maxIdleConnsPerHost bound the connections that a client keeps for its next calls.
	idleConnTimeout     = 20 * time.Second
	maxIdleConnsPerHost = 2
	// bufferSize is the size of a client connection's read and write buffers, in bytes. Most messages are small, and there are many
	// connections.
	bufferSize = 2 << 10
)
