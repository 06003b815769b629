package transport

import (
	"context"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

// Handle returns a handler that reads a request, lets serve answer it and writes the reply. An error of serve is a 503.
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
		_, _ = w.Write(data) // the peer that is gone asks again
	}
}
