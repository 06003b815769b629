package control

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/routeconfig"
)

const (
	// maxConfig bounds a configuration, in bytes.
	maxConfigBytes = 8 << 20
	// changeWithin bounds a call of the operator. It moves on to another process by itself after a second.
	changeTimeout = 2500 * time.Millisecond
	readTimeout   = 1500 * time.Millisecond
	// aloneWithin bounds a call of the operator where this process is out of touch with a majority: it tells so at once, and the
	// operator turns to another process.
	minorityTimeout = 350 * time.Millisecond
	jsonType        = "application/json"
)

// verdict is what a call of the operator earns.
type changeResult struct {
	status  int
	message string // why, where it is not 200
}

var changeAccepted = changeResult{status: http.StatusOK}

func invalidChange(err error) changeResult { return changeResult{http.StatusBadRequest, err.Error()} }
func unavailableChange(err error) changeResult {
	return changeResult{http.StatusServiceUnavailable, err.Error()}
}

// changeBody is what the operator sends with a change.
type changeRequest struct {
	data []byte
	base uint64 // the version that the change is based on
}

// readChange reads the body of a change and what it is based on. It answers what can't be read.
func parseChange(w http.ResponseWriter, r *http.Request) (changeRequest, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return changeRequest{}, false
		}
		http.Error(w, err.Error(), http.StatusBadRequest)
		return changeRequest{}, false
	}
	base, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match: want the version that this one is based on", http.StatusBadRequest)
		return changeRequest{}, false
	}
	return changeRequest{data, base}, true
}

// putConfig takes a whole configuration.
func (c *Control) handlePut(w http.ResponseWriter, r *http.Request) {
	request, ok := parseChange(w, r)
	if !ok {
		return
	}
	table, err := routeconfig.Parse(request.data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.callTimeout(changeTimeout))
	defer cancel()
	c.respond(w, r.Method, table.Version, request.base, c.proposeConfig(ctx, table, request, register.DigestOf(request.data)))
}

// patchConfig takes a change of named items.
func (c *Control) handlePatch(w http.ResponseWriter, r *http.Request) {
	request, ok := parseChange(w, r)
	if !ok {
		return
	}
	patch, err := routeconfig.ParsePatch(request.data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.callTimeout(changeTimeout))
	defer cancel()
	c.respond(w, r.Method, patch.Version, request.base, c.applyPatch(ctx, patch, request))
}

// answer tells the operator what came of a change.
func (c *Control) respond(w http.ResponseWriter, method string, version, base uint64, result changeResult) {
	c.log.WithField("method", method).WithField("version", version).WithField("base", base).WithField("status", result.status).Info("change of the configuration")
	if result.status != http.StatusOK {
		http.Error(w, result.message, result.status)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// patch makes the configuration that a patch asks for of the one that it is based on. It is known by its own bytes and its base: when it
// is sent again the configuration that it was made of may be gone, so that the one that it made can't be made again to compare.
func (c *Control) applyPatch(ctx context.Context, patch *routeconfig.Patch, request changeRequest) changeResult {
	identity := patchIdentity(request)
	value, err := c.proposer.read(ctx)
	if err != nil {
		return unavailableChange(err)
	}
	if verdict := value.CheckConfig(patch.Version, request.base, identity); verdict != register.ConfigApplicable {
		return rejection(value.Value, verdict)
	}
	if value.ConfigVersion == 0 {
		return changeResult{http.StatusBadRequest, "there is no configuration yet that could be changed"}
	}
	current, err := c.proposer.configBytes(ctx, value.Value)
	if err != nil {
		return unavailableChange(err)
	}
	// From here on all that is refused is refused by every process alike, since base names these bytes alone.
	patched, err := patch.Apply(current)
	if err != nil {
		return invalidChange(err)
	}
	table, err := routeconfig.Parse(patched)
	if err != nil {
		return invalidChange(err)
	}
	return c.proposeConfig(ctx, table, changeRequest{patched, request.base}, identity)
}

// patchIdentity tells patches apart from one another and from whole configurations.
func patchIdentity(request changeRequest) register.Digest {
	return register.DigestOf(append([]byte("PATCH "+strconv.FormatUint(request.base, 10)+" "), request.data...))
}

// within is how long a call of the operator may take.
func (c *Control) callTimeout(timeout time.Duration) time.Duration {
	if c.reachesMajority() {
		return timeout
	}
	return minorityTimeout
}

// configure puts a configuration in place of the one that it is based on.
func (c *Control) proposeConfig(ctx context.Context, table *routeconfig.Table, request changeRequest, identity register.Digest) changeResult {
	change := register.SetConfigWithIdentity(table.Version, request.base, register.DigestOf(request.data), identity)
	value, outcome, err := c.proposer.propose(ctx, change, request.data)
	if err != nil {
		return unavailableChange(err)
	}
	if outcome == register.Chosen {
		c.node.SetTable(table)
		return changeAccepted
	}
	return rejection(value.Value, value.CheckConfig(table.Version, request.base, identity))
}

// unfit is what a change earns that does not go on top of a value.
func rejection(value register.Value, verdict register.ConfigVerdict) changeResult {
	current := strconv.FormatUint(value.ConfigVersion, 10)
	switch verdict {
	case register.ConfigDuplicate:
		return changeAccepted
	case register.ConfigStaleBase:
		return changeResult{http.StatusPreconditionFailed, "version " + current + " is current"}
	case register.ConfigStaleVersion:
		return changeResult{http.StatusBadRequest, "Version: not above " + current}
	default:
		return changeResult{http.StatusServiceUnavailable, "try again"}
	}
}

// getConfig returns the configuration that holds.
func (c *Control) handleGet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), c.callTimeout(readTimeout))
	defer cancel()
	value, err := c.proposer.read(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if value.ConfigVersion == 0 {
		http.Error(w, "there is no configuration yet", http.StatusNotFound)
		return
	}
	data, err := c.proposer.configBytes(ctx, value.Value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the operator that is gone asks again
}
