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
	httpClient *http.Client
}

// NewClient returns a client whose connections are kept for a while.
func NewClient() *Client { return NewClientWithDial(NewDialer().DialContext) }

// NewClientOn returns a client that opens its connections with dial.
func NewClientWithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}}}
}

// Call posts a request to a path at an address and reads the reply into it.
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
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return Error.New("%s%s: status %d", address, path, response.StatusCode)
	}
	return Error.Wrap(msgpack.Unmarshal(body, reply))
}
