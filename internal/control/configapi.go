package control

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/register"
	"hazelwheel/internal/routeconfig"
)

const (
	// maxConfigBytes bounds the size of a configuration and of a request's body.
	maxConfigBytes = 8 << 20
	// changeTimeout bounds a request that changes the register, readTimeout one that reads it.
	changeTimeout = 2500 * time.Millisecond
	readTimeout   = 1500 * time.Millisecond
	// minorityTimeout replaces both while no majority of the voters is reachable, so that the client soon tries another process.
	minorityTimeout = 350 * time.Millisecond
	// ignoredFieldsInterval is the minimum time between two searches for fields of accepted configurations that this version ignores.
	ignoredFieldsInterval = time.Minute
	jsonType              = "application/json"
)

// changeResult is the response to a change.
type changeResult struct {
	status  int    // HTTP status code
	message string // the reason, if status is not 200
}

// changeAccepted is the response to a change that is chosen.
var changeAccepted = changeResult{status: http.StatusOK}

// invalidChange is the response to a change that no process would accept.
func invalidChange(err error) changeResult { return changeResult{http.StatusBadRequest, err.Error()} }

// unavailableChange is the response when the outcome of the change is unknown: it may still be chosen, and the client has to send it again.
func unavailableChange(err error) changeResult {
	return changeResult{http.StatusServiceUnavailable, err.Error()}
}

// changeRequest is the content of a PUT or PATCH request.
type changeRequest struct {
	data []byte
	base uint64 // version of the configuration that the change is based on
}

// parseChange reads a request's body and its If-Match field. If they are invalid, it writes the error response and returns false.
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

// handlePut replaces the configuration.
func (c *Control) handlePut(w http.ResponseWriter, r *http.Request) {
	request, ok := parseChange(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.callTimeout(changeTimeout))
	defer cancel()
	table, err := routeconfig.Parse(request.data)
	if err != nil {
		if c.answerEarlierAccepted(ctx, w, request) {
			return
		}
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.respond(w, r.Method, table.Version, request.base, c.proposeConfig(ctx, table, request, register.DigestOf(request.data)))
}

// answerEarlierAccepted answers a PUT of an invalid configuration that an earlier version, which validated less, may have accepted: if exactly this
// change was accepted before, it is acknowledged again, and if that can't be found out it gets no clear answer. It returns false if the change was
// not accepted, and so has to be rejected.
//
// Danger: a change whose acknowledgement was lost during an upgrade is in force. A rejection would tell the operator the opposite.
func (c *Control) answerEarlierAccepted(ctx context.Context, w http.ResponseWriter, request changeRequest) bool {
	table, err := routeconfig.ParseChosen(request.data)
	if err != nil {
		return false // no version has accepted it
	}
	result := changeAccepted
	if value, err := c.proposer.read(ctx); err != nil {
		result = unavailableChange(err)
	} else if value.CheckConfig(table.Version, request.base, register.DigestOf(request.data)) != register.ConfigDuplicate {
		return false
	}
	c.respond(w, http.MethodPut, table.Version, request.base, result)
	return true
}

// handlePatch changes named items of the configuration.
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

// respond logs the result of a change and writes the response.
func (c *Control) respond(w http.ResponseWriter, method string, version, base uint64, result changeResult) {
	c.log.WithFields(logrus.Fields{"method": method, "version": version, "base": base, "status": result.status}).Info("configuration change answered")
	if result.status != http.StatusOK {
		http.Error(w, result.message, result.status)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// applyPatch applies a patch to the configuration that it is based on, and proposes the result. The identity of the change is the digest of
// the patch and its base: when the patch is sent again, its base may no longer exist, so the resulting configuration can't be rebuilt for
// a comparison.
func (c *Control) applyPatch(ctx context.Context, patch *routeconfig.Patch, request changeRequest) changeResult {
	identity := patchIdentity(request)
	isApplicable := func(value register.Value) bool {
		return value.CheckConfig(patch.Version, request.base, identity) == register.ConfigApplicable
	}
	value, current, err := c.proposer.readConfig(ctx, isApplicable)
	if err != nil {
		return unavailableChange(err)
	}
	if verdict := value.CheckConfig(patch.Version, request.base, identity); verdict != register.ConfigApplicable {
		return rejection(value.Value, verdict)
	}
	if value.ConfigVersion == 0 {
		return changeResult{http.StatusBadRequest, "there is no configuration yet that could be changed"}
	}
	// From here on every process rejects the same patches, since the base version identifies the exact bytes of the configuration.
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

// patchIdentity returns the identity of a patch, which differs from that of any other patch and of any complete configuration.
func patchIdentity(request changeRequest) register.Digest {
	return register.DigestOf(append([]byte("PATCH "+strconv.FormatUint(request.base, 10)+" "), request.data...))
}

// callTimeout returns the timeout of a request: the given one, or minorityTimeout while no majority of the voters is reachable.
func (c *Control) callTimeout(timeout time.Duration) time.Duration {
	if c.reachesMajority() {
		return timeout
	}
	return minorityTimeout
}

// proposeConfig proposes a configuration on top of the version that it is based on. identity identifies the change when it is sent again.
func (c *Control) proposeConfig(ctx context.Context, table *routeconfig.Table, request changeRequest, identity register.Digest) changeResult {
	change := register.SetConfigWithIdentity(table.Version, request.base, register.DigestOf(request.data), identity)
	value, outcome, err := c.proposer.propose(ctx, change, request.data)
	if err != nil {
		return unavailableChange(err)
	}
	if outcome == register.Chosen {
		c.node.SetTable(table)
		c.ignoredFieldsLog.Do(func() { c.logIgnoredFields(table.Version, request.data) })
		return changeAccepted
	}
	return rejection(value.Value, value.CheckConfig(table.Version, request.base, identity))
}

// logIgnoredFields logs the fields that the operator has set and that this version ignores. Danger: configurations with such fields are
// accepted, so that processes of two versions can run side by side; without this line nobody learns that a part of them has no effect.
func (c *Control) logIgnoredFields(version uint64, config []byte) {
	if names := routeconfig.IgnoredFields(config); len(names) > 0 {
		c.log.WithFields(logrus.Fields{"version": version, "fields": names}).Warn("configuration asks for what this version does not do")
	}
}

// rejection returns the response to a change that was not applied to a value, by the verdict of CheckConfig on it. A repeated change that
// was accepted before gets changeAccepted.
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

// handleGet responds with the bytes of the chosen configuration, as they were sent.
func (c *Control) handleGet(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), c.callTimeout(readTimeout))
	defer cancel()
	value, data, err := c.proposer.readConfig(ctx, func(register.Value) bool { return true })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if value.ConfigVersion == 0 {
		http.Error(w, "there is no configuration yet", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // a client that has disconnected retries
}
