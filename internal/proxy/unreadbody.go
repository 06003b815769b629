package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// unreadBodyTimeout and maxUnreadBodyBytes bound the time and size for reading the rest of the body of a rejected request. It is read so that the
	// connection can carry the next request.
	unreadBodyTimeout  = 200 * time.Millisecond
	maxUnreadBodyBytes = 256 << 10
	// closeTimeout bounds how long a connection is kept open after the response while the client is still sending.
	closeTimeout = 500 * time.Millisecond
)

// respondUnread responds to a request whose body has not been read. The connection stays open if the body arrives in time, and is closed otherwise.
func respondUnread(w http.ResponseWriter, r *http.Request, text string, status int) {
	if discardBody(w, r) {
		http.Error(w, text, status)
		return
	}
	respondAndClose(w, text, status)
}

// discardBody reads a body to its end and drops it. It returns false if the body does not arrive in time, is too long, or is not sent because the client
// waits for a 100 (Continue) response.
func discardBody(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("Expect") != "" {
		return false
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // ignored if the connection does not support deadlines
	if _, err := io.CopyN(io.Discard, r.Body, maxUnreadBodyBytes); !errors.Is(err, io.EOF) {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}

// respondAndClose responds to a request whose body has not been received completely, and closes the connection. Danger: bytes that arrive at a closed
// connection reset it, and the client may lose the response. So only the write direction is closed at first, and the connection is read until the
// client has closed it as well, or until closeTimeout.
func respondAndClose(w http.ResponseWriter, text string, status int) {
	header := w.Header().Clone()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, text, status) // net/http closes the connection if it can't be hijacked
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(closeTimeout)) // if this fails, so does the write
	body := text + "\n"
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Body: io.NopCloser(strings.NewReader(body)),
		ContentLength: int64(len(body)), Close: true}
	if response.Write(conn) != nil {
		return
	}
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the client closes the connection or the deadline passes
}
