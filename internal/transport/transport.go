// Package transport carries messages between processes: msgpack over HTTP between machines, msgpack behind a length over
// loopback.
package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of all errors of this package.
var Error = errs.Class("transport")

const (
	contentType = "application/msgpack"
	// maxMessage bounds what is read of one message, in bytes.
	maxMessage = 16 << 20
	// connectWithin and ackWithin bound how long a silent machine is waited for.
	connectWithin = 700 * time.Millisecond
	ackWithin     = 1500 * time.Millisecond
	idleFor       = 20 * time.Second
	idlePerHost   = 2
)

// Dialer returns a dialer that notices peers behind a cut: what is not acknowledged within ackWithin ends the connection.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: connectWithin, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackWithin.Milliseconds()))
		})
		return errs.Combine(err, failed)
	}}
}

// Client calls other processes.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose connections are kept for a while.
func NewClient() *Client { return NewClientWithDial(NewDialer().DialContext) }

// NewClientOn returns a client that opens its connections with dial.
func NewClientWithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout: idleFor, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}}}
}

// Call posts a request to a path at an address and reads the reply into it.
func (c *Client) Call(ctx context.Context, address, path string, request, reply any) error {
	data, err := msgpack.Marshal(request)
	if err != nil {
		return Error.Wrap(err)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return Error.Wrap(err)
	}
	call.Header.Set("Content-Type", contentType)
	answer, err := c.http.Do(call)
	if err != nil {
		return Error.Wrap(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxMessage))
	if err != nil {
		return Error.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		return Error.New("%s%s: status %d", address, path, answer.StatusCode)
	}
	return Error.Wrap(msgpack.Unmarshal(body, reply))
}

// Handle returns a handler that reads a request, lets serve answer it and writes the reply. An error of serve is a 503.
func NewHandler[Request, Reply any](serve func(context.Context, *Request) (*Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
		if err == nil {
			err = msgpack.Unmarshal(body, &request)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := serve(r.Context(), &request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		data, err := msgpack.Marshal(reply)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(data) // the peer that is gone asks again
	}
}

// WriteFrame writes a message behind its length.
func WriteFrame(w io.Writer, message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return Error.Wrap(err)
}

// ReadFrame reads a message that WriteFrame wrote.
func ReadFrame(r io.Reader, message any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Error.Wrap(err)
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxMessage {
		return Error.New("a frame of %d bytes", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(msgpack.Unmarshal(data, message))
}
