package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

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
