package transport

import (
	"context"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

// NewHandler returns a handler that decodes a request, passes it to serve and encodes the reply. It responds with 400 if the request can't be
// decoded, and with 503 and the error's text if serve fails. serve is called from many goroutines; its context ends with the connection.
func NewHandler[Request, Reply any](serve func(context.Context, *Request) (*Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
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
		_, _ = w.Write(data) // a peer that has disconnected repeats its request
	}
}
