package control

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/routes"
)

const (
	// maxConfig bounds a configuration, in bytes.
	maxConfig = 8 << 20
	// changeWithin bounds a call of the operator. It moves on to another process by itself after a second.
	changeWithin = 2500 * time.Millisecond
	readWithin   = 1500 * time.Millisecond
	// aloneWithin bounds a call of the operator where this process is out of touch with a majority: it tells so at once, and the
	// operator turns to another process.
	aloneWithin = 350 * time.Millisecond
	jsonType    = "application/json"
)

// putConfig takes a configuration.
func (c *Control) putConfig(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfig))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	base, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match: want the version that this one is based on", http.StatusBadRequest)
		return
	}
	table, err := routes.Parse(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.within(changeWithin))
	defer cancel()
	status, text := c.configure(ctx, table, base, data)
	c.log.WithField("version", table.Version).WithField("base", base).WithField("status", status).Info("put config")
	if status != http.StatusOK {
		http.Error(w, text, status)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// within is how long a call of the operator may take.
func (c *Control) within(usual time.Duration) time.Duration {
	if c.reachesMajority() {
		return usual
	}
	return aloneWithin
}

// configure returns the status that a configuration earns.
func (c *Control) configure(ctx context.Context, table *routes.Table, base uint64, data []byte) (int, string) {
	digest := register.DigestOf(data)
	value, outcome, err := c.registrar.Change(ctx, register.Configure(table.Version, base, digest), data)
	if err != nil {
		return http.StatusServiceUnavailable, err.Error()
	}
	if outcome == register.Chosen {
		c.node.SetTable(table)
		return http.StatusOK, ""
	}
	switch value.Judge(table.Version, base, digest) {
	case register.Repeated:
		return http.StatusOK, ""
	case register.Stale:
		return http.StatusPreconditionFailed, "version " + strconv.FormatUint(value.Version, 10) + " is current"
	case register.NotAbove:
		return http.StatusBadRequest, "Version: not above " + strconv.FormatUint(value.Version, 10)
	default:
		return http.StatusServiceUnavailable, "try again"
	}
}

// getConfig returns the configuration that holds.
func (c *Control) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), c.within(readWithin))
	defer cancel()
	value, err := c.registrar.Read(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if value.Version == 0 {
		http.Error(w, "there is no configuration yet", http.StatusNotFound)
		return
	}
	data, err := c.registrar.Config(ctx, value.Value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the operator that is gone asks again
}
