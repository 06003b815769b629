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
	maxConfig = 8 << 20
	// changeWithin bounds a call of the operator. It moves on to another process by itself after a second.
	changeWithin = 2500 * time.Millisecond
	readWithin   = 1500 * time.Millisecond
	// aloneWithin bounds a call of the operator where this process is out of touch with a majority: it tells so at once, and the
	// operator turns to another process.
	aloneWithin = 350 * time.Millisecond
	jsonType    = "application/json"
)

// verdict is what a call of the operator earns.
type verdict struct {
	status int
	text   string // why, where it is not 200
}

var accepted = verdict{status: http.StatusOK}

func invalid(err error) verdict     { return verdict{http.StatusBadRequest, err.Error()} }
func unavailable(err error) verdict { return verdict{http.StatusServiceUnavailable, err.Error()} }

// changeBody is what the operator sends with a change.
type changeBody struct {
	data []byte
	base uint64 // the version that the change is based on
}

// readChange reads the body of a change and what it is based on. It answers what can't be read.
func readChange(w http.ResponseWriter, r *http.Request) (changeBody, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfig))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return changeBody{}, false
		}
		http.Error(w, err.Error(), http.StatusBadRequest)
		return changeBody{}, false
	}
	base, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match: want the version that this one is based on", http.StatusBadRequest)
		return changeBody{}, false
	}
	return changeBody{data, base}, true
}

// putConfig takes a whole configuration.
func (c *Control) putConfig(w http.ResponseWriter, r *http.Request) {
	body, ok := readChange(w, r)
	if !ok {
		return
	}
	table, err := routeconfig.Parse(body.data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.within(changeWithin))
	defer cancel()
	c.answer(w, r.Method, table.Version, body.base, c.configure(ctx, table, body, register.DigestOf(body.data)))
}

// patchConfig takes a change of named items.
func (c *Control) patchConfig(w http.ResponseWriter, r *http.Request) {
	body, ok := readChange(w, r)
	if !ok {
		return
	}
	patch, err := routeconfig.ParsePatch(body.data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.within(changeWithin))
	defer cancel()
	c.answer(w, r.Method, patch.Version, body.base, c.patch(ctx, patch, body))
}

// answer tells the operator what came of a change.
func (c *Control) answer(w http.ResponseWriter, method string, version, base uint64, got verdict) {
	c.log.WithField("method", method).WithField("version", version).WithField("base", base).WithField("status", got.status).Info("change of the configuration")
	if got.status != http.StatusOK {
		http.Error(w, got.text, got.status)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// patch makes the configuration that a patch asks for of the one that it is based on. It is known by its own bytes and its base: when it
// is sent again the configuration that it was made of may be gone, so that the one that it made can't be made again to compare.
func (c *Control) patch(ctx context.Context, patch *routeconfig.Patch, body changeBody) verdict {
	identity := patchIdentity(body)
	value, err := c.proposer.read(ctx)
	if err != nil {
		return unavailable(err)
	}
	if judged := value.Judge(patch.Version, body.base, identity); judged != register.Fits {
		return unfit(value.Value, judged)
	}
	if value.Version == 0 {
		return verdict{http.StatusBadRequest, "there is no configuration yet that could be changed"}
	}
	current, err := c.proposer.configBytes(ctx, value.Value)
	if err != nil {
		return unavailable(err)
	}
	// From here on all that is refused is refused by every process alike, since base names these bytes alone.
	made, err := patch.Apply(current)
	if err != nil {
		return invalid(err)
	}
	table, err := routeconfig.Parse(made)
	if err != nil {
		return invalid(err)
	}
	return c.configure(ctx, table, changeBody{made, body.base}, identity)
}

// patchIdentity tells patches apart from one another and from whole configurations.
func patchIdentity(body changeBody) register.Digest {
	return register.DigestOf(append([]byte("PATCH "+strconv.FormatUint(body.base, 10)+" "), body.data...))
}

// within is how long a call of the operator may take.
func (c *Control) within(usual time.Duration) time.Duration {
	if c.reachesMajority() {
		return usual
	}
	return aloneWithin
}

// configure puts a configuration in place of the one that it is based on.
func (c *Control) configure(ctx context.Context, table *routeconfig.Table, made changeBody, identity register.Digest) verdict {
	change := register.ConfigureAs(table.Version, made.base, register.DigestOf(made.data), identity)
	value, outcome, err := c.proposer.propose(ctx, change, made.data)
	if err != nil {
		return unavailable(err)
	}
	if outcome == register.Chosen {
		c.node.SetTable(table)
		return accepted
	}
	return unfit(value.Value, value.Judge(table.Version, made.base, identity))
}

// unfit is what a change earns that does not go on top of a value.
func unfit(value register.Value, judged register.Verdict) verdict {
	current := strconv.FormatUint(value.Version, 10)
	switch judged {
	case register.Repeated:
		return accepted
	case register.Stale:
		return verdict{http.StatusPreconditionFailed, "version " + current + " is current"}
	case register.NotAbove:
		return verdict{http.StatusBadRequest, "Version: not above " + current}
	default:
		return verdict{http.StatusServiceUnavailable, "try again"}
	}
}

// getConfig returns the configuration that holds.
func (c *Control) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), c.within(readWithin))
	defer cancel()
	value, err := c.proposer.read(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if value.Version == 0 {
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
