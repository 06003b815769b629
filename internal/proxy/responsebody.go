package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"hazelwheel/internal/decide/placement"
)

const (
	// maxHeldBytes bounds how much of a response's body is held until the response to the client begins. While nothing has been sent to the client,
	// another attempt can be made.
	maxHeldBytes = 64 << 10
	// forwardBufferBytes is the size of the buffer through which the rest of a longer body is forwarded.
	forwardBufferBytes = 16 << 10
)

// errNoBodyEnd is the error of a response whose body would end with the connection. Such a body can't be told from a truncated one.
var errNoBodyEnd = errors.New("neither the length nor the chunks of the body mark its end")

// responseBody is the body of a server's response. It records whether it was read to its end.
type responseBody struct {
	io.ReadCloser
	reachedEnd bool
}

// newResponseBody wraps the body of a response that http.ReadResponse has returned.
func newResponseBody(body io.ReadCloser) *responseBody {
	return &responseBody{body, body == http.NoBody}
}

// Read implements io.Reader.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.reachedEnd = b.reachedEnd || errors.Is(err, io.EOF)
	return n, err
}

// readHeld reads the beginning of the body: up to maxHeldBytes, and a byte more if the body is longer. An error means that the body has ended early.
func (b *responseBody) readHeld(contentLength int64) ([]byte, error) {
	if contentLength < 0 || contentLength > maxHeldBytes {
		return io.ReadAll(io.LimitReader(b, maxHeldBytes+1))
	}
	held := make([]byte, contentLength)
	if b.reachedEnd { // of a response that has a length but no body
		return nil, nil
	}
	_, err := io.ReadFull(b, held)
	return held, err
}

// hasNoBody reports whether a response has no body whatever its header says.
func hasNoBody(response *http.Response) bool {
	return response.Request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// hasDelimitedBody reports whether the end of the body is marked by its length or by chunks. Otherwise a truncated body would look complete.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || isChunked(response) || hasNoBody(response)
}

// writeResponseHead writes the head of a server's response to the client. length is that of the body, or negative if it isn't known.
func writeResponseHead(w http.ResponseWriter, response *http.Response, length int64) {
	copyResponseHeader(w, response)
	isBodyless := response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	if length >= 0 && !isBodyless {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(response.StatusCode)
}

// forwardRest forwards what is left of a response's body as it arrives, at the pace of the client. It returns outcomeAnswered if the client has the
// complete response. Otherwise the response to the client must not be completed.
func forwardRest(w http.ResponseWriter, body *responseBody) outcome {
	control := http.NewResponseController(w)
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return outcomeCanceled
			}
			if flushErr := control.Flush(); flushErr != nil {
				return outcomeCanceled
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return outcomeAnswered
		case err != nil:
			return outcomeMayHaveExecuted
		}
	}
}

// forwardOrRetry forwards a response and returns true if it is the application's, and returns false if another attempt is to be made instead: the
// response is invalid or a rejection, or discards is set. It records the outcome of the attempt.
func (p *Proxy) forwardOrRetry(ctx context.Context, w http.ResponseWriter, req *proxyRequest, endpoint *placement.Endpoint, exchange *backendExchange,
	discards bool) bool {
	var held []byte
	err := errNoBodyEnd
	if hasDelimitedBody(exchange.response) {
		held, err = exchange.body.readHeld(exchange.response.ContentLength)
	}
	if err != nil {
		exchange.abort()
		p.recordOutcome(ctx, req, endpoint, outcomeMayHaveExecuted)
		return false
	}
	result := exchange.classify()
	if result == outcomeAnswered && !discards {
		p.forwardResponse(ctx, w, req, endpoint, exchange, held)
		return true
	}
	exchange.finish(p.conns, endpoint.Address)
	if result == outcomeAnswered {
		result = outcomeMayHaveExecuted
	}
	p.recordOutcome(ctx, req, endpoint, result)
	return false
}

// forwardResponse forwards the response of an attempt to the client, after its body was read up to held, and records the outcome of the attempt. If the
// server breaks off or the client disconnects while the rest of a longer body is forwarded, it aborts the client's connection by a panic with
// http.ErrAbortHandler: no other attempt may follow, and a response that ends early must not look complete.
func (p *Proxy) forwardResponse(ctx context.Context, w http.ResponseWriter, req *proxyRequest, endpoint *placement.Endpoint, exchange *backendExchange,
	held []byte) {
	if exchange.body.reachedEnd {
		// The server may have the next request before the client has read this response.
		exchange.finish(p.conns, endpoint.Address)
		p.recordOutcome(ctx, req, endpoint, outcomeAnswered)
		length := int64(len(held))
		if hasNoBody(exchange.response) {
			length = exchange.response.ContentLength // of the body that the response to another method would have
		}
		writeResponseHead(w, exchange.response, length)
		_, _ = w.Write(held) // fails only if the client has disconnected
		return
	}
	writeResponseHead(w, exchange.response, exchange.response.ContentLength)
	result := outcomeCanceled
	if _, err := w.Write(held); err == nil {
		result = forwardRest(w, exchange.body)
	}
	if result == outcomeAnswered {
		exchange.finish(p.conns, endpoint.Address)
	} else {
		exchange.abort()
	}
	p.recordOutcome(ctx, req, endpoint, result)
	if result != outcomeAnswered {
		panic(http.ErrAbortHandler)
	}
}
