package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// exchange is one request on a connection.
type backendExchange struct {
	conn          *backendConn
	response      *http.Response
	detachContext func() bool // takes back what ends the connection with the context
}

// send writes a request and reads the head of its answer. Its verdict is Served where there is an answer.
func sendRequest(ctx context.Context, conn *backendConn, method, id string, request []byte) (*backendExchange, outcome, error) {
	detachContext := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	written, err := conn.Write(request)
	if err != nil {
		detachContext()
		conn.Close()
		if written == 0 {
			return nil, outcomeNotSent, err
		}
		return nil, outcomeMayHaveExecuted, err
	}
	response, err := readResponse(conn, method, id)
	conn.hasCarried, conn.lastRequestID = true, id
	if err != nil {
		detachContext()
		conn.Close()
		return nil, outcomeMayHaveExecuted, err
	}
	return &backendExchange{conn: conn, response: response, detachContext: detachContext}, outcomeAnswered, nil
}

// readAnswer reads heads until that of the request's own answer. Answers that carry another id belong to requests before.
func readResponse(conn *backendConn, method, id string) (*http.Response, error) {
	for range maxSurplusResponses {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
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
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errTooManySurplus
}

const maxSurplusBytes = 1 << 20

// refusal tells whether an answer says that the request was not run.
func isNotExecuted(response *http.Response) bool {
	return response.Header.Get(headerNotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

// finish ends an exchange whose body was read whole, and lets the connection rest if it may.
func (e *backendExchange) finish(pool *connPool, address string) {
	// Danger: where the context has ended the connection may be given its last deadline at any moment.
	if !e.detachContext() || e.response.Close || e.response.ContentLength < 0 && !isChunked(e.response) {
		e.conn.Close()
		return
	}
	e.conn.expiresAt = time.Now().Add(keepAliveTimeout(e.response.Header.Get("Keep-Alive")))
	_ = e.conn.SetDeadline(time.Time{})
	pool.release(address, e.conn)
}

// abort ends an exchange whose answer is not wanted.
func (e *backendExchange) abort() {
	e.detachContext()
	e.conn.Close()
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// restOf reads how long a connection may rest from the field Keep-Alive.
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

// whole tells whether the end of an answer can be known.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || isChunked(response)
}

// judge tells what an answer that came whole means.
func classifyResponse(response *http.Response) outcome {
	switch {
	case isNotExecuted(response):
		return outcomeNotExecuted
	case response.StatusCode < http.StatusMultipleChoices && (response.Header.Get(headerStamp) == "" || response.Header.Get("Content-Encoding") != ""):
		return outcomeMayHaveExecuted
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests ||
		response.StatusCode == http.StatusRequestTimeout:
		// Danger: without the server's word that it was not run, these statuses must not be passed on.
		return outcomeMayHaveExecuted
	}
	return outcomeAnswered
}
