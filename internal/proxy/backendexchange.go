package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxSurplusResponses bounds how many responses are read in search of the one to this request; responses to earlier requests are skipped.
	maxSurplusResponses = 3
	// maxSurplusBytes bounds how much of a discarded body is read.
	maxSurplusBytes = 1 << 20
	// defaultKeepAlive is how long a connection may be idle if the response has no Keep-Alive timeout.
	defaultKeepAlive = 6 * time.Second
	// keepAliveMargin is subtracted from the server's timeout, so that the server is not the first to close the connection.
	keepAliveMargin = time.Second
)

var (
	errTooManySurplus = errors.New("too many responses to other requests")
	errLongSurplus    = errors.New("a response to another request is too long")
	// errUnidentifiedRejection is returned for a rejection without a request ID on a connection that has carried earlier requests. Danger:
	// it may be a second response to an earlier request, and then says nothing about this one.
	errUnidentifiedRejection = errors.New("rejection without a request ID on a connection that has carried other requests")
)

// backendExchange is a request and its response on a connection. The head of the response has been read. finish or abort has to be called.
type backendExchange struct {
	conn          *backendConn
	response      *http.Response
	body          *responseBody // of response
	isFirst       bool          // the connection had carried no other exchange
	detachContext func() bool   // stops the context from aborting I/O on the connection; returns false if the context has already ended
}

// sendRequest writes an encoded request and reads the head of its response, until the context ends. If it returns no exchange, the connection
// is closed and the outcome says whether the server may have executed the request.
func sendRequest(ctx context.Context, conn *backendConn, method, id string, request []byte) (*backendExchange, outcome, error) {
	detachContext := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	written, err := conn.Write(request)
	if err != nil {
		detachContext()
		conn.discard()
		if written == 0 {
			return nil, outcomeNotSent, err
		}
		return nil, outcomeMayHaveExecuted, err
	}
	isFirst := !conn.hasCarried
	response, err := readResponse(conn, method, id) //nolint:bodyclose // finish and abort end the use of the connection
	conn.recordCarried(id)
	if err != nil {
		detachContext()
		conn.discard()
		return nil, outcomeMayHaveExecuted, err
	}
	body := newResponseBody(response.Body)
	response.Body = body
	return &backendExchange{conn: conn, response: response, body: body, isFirst: isFirst, detachContext: detachContext}, outcomeAnswered, nil
}

// readResponse reads the head of the response to a request. It skips informational responses, and responses with another ID: a server may
// answer an earlier request twice. A response without an ID is accepted only if it is a rejection and the connection has carried no other request.
func readResponse(conn *backendConn, method, id string) (*http.Response, error) {
	for range maxSurplusResponses {
		response, err := conn.readHead(method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		echoedID := response.Header.Get(headerRequestID)
		switch {
		case echoedID == id:
			return response, nil
		case echoedID == "" && isNotExecuted(response) && !conn.hasCarried:
			return response, nil
		case echoedID == "" && isNotExecuted(response):
			return nil, errUnidentifiedRejection
		}
		conn.tainted = true
		body := newResponseBody(response.Body)
		if _, err := io.Copy(io.Discard, io.LimitReader(body, maxSurplusBytes)); err != nil {
			return nil, err
		}
		if !body.reachedEnd {
			return nil, errLongSurplus
		}
	}
	return nil, errTooManySurplus
}

// isNotExecuted reports whether a response says that the request which it belongs to was not executed. See provesNotExecuted.
func isNotExecuted(response *http.Response) bool {
	return response.Header.Get(headerNotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

// provesNotExecuted reports whether the response proves that the server has not executed the request: it says so, and is known to be the response to
// this request. Danger: a response without a request ID may be a second response to an earlier exchange, such as a health check, unless there was none
// on this connection. Taken for the rejection of this request, it would allow another attempt while the server executes the first one.
func (e *backendExchange) provesNotExecuted() bool {
	return isNotExecuted(e.response) && (e.isFirst || e.response.Header.Get(headerRequestID) != "")
}

// discardBody reads the body and drops it. It aborts the exchange if that fails.
func (e *backendExchange) discardBody() error {
	_, err := io.Copy(io.Discard, io.LimitReader(e.response.Body, maxSurplusBytes))
	if err != nil {
		e.abort()
	}
	return err
}

// finish ends an exchange. The connection is returned to the pool if it can be reused, and closed otherwise.
func (e *backendExchange) finish(pool *connPool, address string) {
	// Danger: if the context has ended, its callback may set the connection's deadline at any moment. What is left of a body would be read as the
	// response to the next request.
	if !e.detachContext() || !e.body.reachedEnd || e.response.Close || !hasDelimitedBody(e.response) {
		e.conn.discard()
		return
	}
	e.conn.expiresAt = time.Now().Add(keepAliveTimeout(e.response.Header.Get("Keep-Alive")))
	_ = e.conn.SetDeadline(time.Time{})
	pool.release(address, e.conn)
}

// abort ends an exchange whose response is not needed, and closes the connection.
func (e *backendExchange) abort() {
	e.detachContext()
	e.conn.discard()
}

// isChunked reports whether a body has the chunked transfer encoding.
func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// keepAliveTimeout returns how long a connection may be idle according to a response's Keep-Alive field.
func keepAliveTimeout(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return defaultKeepAlive
}

// classify returns the outcome of an attempt from the head of its response. A success without the response stamp, or with an encoded body,
// does not come from the application and counts as outcomeMayHaveExecuted.
func (e *backendExchange) classify() outcome {
	response := e.response
	switch {
	case e.provesNotExecuted():
		return outcomeNotExecuted
	case isNotExecuted(response):
		return outcomeMayHaveExecuted
	case response.StatusCode < http.StatusMultipleChoices && (response.Header.Get(headerStamp) == "" || response.Header.Get("Content-Encoding") != ""):
		return outcomeMayHaveExecuted
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests ||
		response.StatusCode == http.StatusRequestTimeout:
		// Danger: these statuses tell the client that it may retry. They must not be forwarded unless the server has stated that it did
		// not execute the request.
		return outcomeMayHaveExecuted
	}
	return outcomeAnswered
}
