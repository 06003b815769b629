package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

// Client sends requests to other processes. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
}

// NewClient returns a client that connects with a dialer from NewDialer.
func NewClient() *Client { return NewClientWithDial(NewDialer().DialContext) }

// NewClientWithDial returns a client that opens its connections with dial. Tests use it to simulate a faulty network.
func NewClientWithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize}}}
}

// Call posts request to a path at an address (IP:PORT) and decodes the response into reply, a pointer. The context bounds the complete call.
// Even after an error the other process may have handled the request.
func (c *Client) Call(ctx context.Context, address, path string, request, reply any) error {
	data, err := msgpack.Marshal(request)
	if err != nil {
		return Error.Wrap(err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return Error.Wrap(err)
	}
	httpRequest.Header.Set("Content-Type", contentType)
	response, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read by then
	body, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return Error.Wrap(&StatusError{Address: address, Path: path, Code: response.StatusCode})
	}
	return Error.Wrap(msgpack.Unmarshal(body, reply))
}

// StatusError is the error of a Call whose response has a status other than 200.
type StatusError struct {
	Address, Path string
	Code          int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s%s: status %d", e.Address, e.Path, e.Code)
}
