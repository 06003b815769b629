package transport_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/transport"
)

type message struct {
	Text  string `msgpack:"t"`
	Count int    `msgpack:"c"`
}

type reply struct {
	OK bool `msgpack:"k"`
}

// The encoding of message{"abc", 5} and reply{true}.
const (
	messageBytes = "\x82\xa1t\xa3abc\xa1c\x05"
	replyBytes   = "\x81\xa1k\xc3"
)

func TestFrameForm(t *testing.T) {
	const frame = "\x00\x00\x00\x0a" + messageBytes
	var out bytes.Buffer
	require.NoError(t, transport.WriteFrame(&out, &message{"abc", 5}))
	assert.Equal(t, frame, out.String())
	var got message
	require.NoError(t, transport.ReadFrame(strings.NewReader(frame), &got))
	assert.Equal(t, message{"abc", 5}, got)
	assert.Error(t, transport.ReadFrame(strings.NewReader("\x01\x00\x00\x01"), &got), "above 16 MiB")
}

func TestCallForm(t *testing.T) {
	var header http.Header
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, http.MethodPost, r.Method)
		assert.Equal(t, "/fleet/v1/x", r.URL.Path)
		header = r.Header
		body, _ = io.ReadAll(r.Body) // a failure shows in the comparison below
		_, _ = io.WriteString(w, replyBytes)
	}))
	defer server.Close()
	var got reply
	address := server.Listener.Addr().String()
	require.NoError(t, transport.NewClient().Call(context.Background(), address, "/fleet/v1/x", &message{"abc", 5}, &got))
	assert.Equal(t, reply{true}, got)
	assert.Equal(t, messageBytes, string(body))
	assert.Equal(t, "application/msgpack", header.Get("Content-Type"))
	assert.Empty(t, header.Get("Accept-Encoding"))
}

func TestHandleForm(t *testing.T) {
	handler := transport.NewHandler(func(_ context.Context, request *message) (*reply, error) {
		if request.Count == 0 {
			return nil, errors.New("not now")
		}
		return &reply{*request == message{"abc", 5}}, nil
	})
	for name, test := range map[string]struct {
		body     string
		status   int
		response string
		kind     string
	}{
		"a request that is served":        {messageBytes, http.StatusOK, replyBytes, "application/msgpack"},
		"a request that fails":            {"\x80", http.StatusServiceUnavailable, "not now\n", "text/plain; charset=utf-8"},
		"a request that can't be decoded": {"\x82", http.StatusBadRequest, "EOF\n", "text/plain; charset=utf-8"},
	} {
		t.Run(name, func(t *testing.T) {
			response := httptest.NewRecorder()
			handler(response, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(test.body)))
			assert.Equal(t, test.status, response.Code)
			assert.Equal(t, test.response, response.Body.String())
			assert.Equal(t, test.kind, response.Header().Get("Content-Type"))
		})
	}
}
