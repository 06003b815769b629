// Package configredirect answers the configuration API on machines that hold no replica of the configuration, by HTTP redirects to a
// control process. It redirects rather than forwards: the client sends the change to the control process itself, so a crash here can
// neither lose the answer nor have a change made twice.
package configredirect

import (
	"cmp"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"hazelwheel/internal/decide/membership"
)

// maxBodyBytes bounds what is read of a request's body before it is redirected.
const maxBodyBytes = 8 << 20

// retryAfterSeconds is the Retry-After field where no control process is known: gossip of one that starts takes about as long.
const retryAfterSeconds = "0.3"

// Redirector redirects requests of the configuration API. It is safe for concurrent use.
type Redirector struct {
	members  func() []membership.Member
	randIntN func(n int) int
}

// New returns a Redirector to the control processes among the members; members is called for each request.
func New(members func() []membership.Member) *Redirector {
	return &Redirector{members: members, randIntN: rand.IntN}
}

// Handler returns the handler of the configuration API.
func (r *Redirector) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/config", r.redirect).Methods(http.MethodPut, http.MethodPatch, http.MethodGet)
	return router
}

func (r *Redirector) redirect(w http.ResponseWriter, request *http.Request) {
	// Danger: answered with its body unread, the connection would be reset, and the client might lose the answer.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, request.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	address := r.pickControlAddress()
	if address == "" {
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "no control process is in reach of this machine", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Location", "http://"+address+request.URL.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// pickControlAddress returns the operator's address of a control process, "" where none is known to be alive. It draws among the half with
// the most recent heartbeats, since a process that has just failed still counts as alive.
func (r *Redirector) pickControlAddress() string {
	var candidates []membership.Member
	for _, member := range r.members() {
		if member.OperatorAddress != "" && member.Alive && !member.Leaving {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.SortFunc(candidates, func(a, b membership.Member) int { return cmp.Compare(a.HeartbeatAgeSeconds, b.HeartbeatAgeSeconds) })
	return candidates[r.randIntN((len(candidates)+1)/2)].OperatorAddress
}
