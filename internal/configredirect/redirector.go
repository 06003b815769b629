// Package configredirect answers the operator on machines that hold no part of the configuration: it names a control process that does, by a
// redirect. So a change reaches a voter under the operator's own hand: its answer, lost or not, is the voter's, and nothing that ends
// here can refuse a change or make it twice.
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

// maxBody bounds what is read of a call before it is redirected, in bytes.
const maxBodyBytes = 8 << 20

// retryAfter is told where nobody can be named, in seconds: news of a process that begins takes about as long.
const retryAfterSeconds = "0.3"

// Gateway redirects the operator.
type Redirector struct {
	members  func() []membership.Member
	randIntN func(n int) int
}

// New returns a gateway that names one of the members that are told.
func New(members func() []membership.Member) *Redirector {
	return &Redirector{members: members, randIntN: rand.IntN}
}

// Router returns the handler of all that the operator calls.
func (g *Redirector) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/config", g.redirect).Methods(http.MethodPut, http.MethodPatch, http.MethodGet)
	return router
}

func (g *Redirector) redirect(w http.ResponseWriter, r *http.Request) {
	// Danger: a call that is answered with its body unread is reset, and the answer with it.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	address := g.pickControlAddress()
	if address == "" {
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "no control process is in reach of this machine", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Location", "http://"+address+r.URL.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// choose returns the address of a control process, "" where none is known to live. It draws among the half that was heard of last: one
// that has just gone is told of late.
func (g *Redirector) pickControlAddress() string {
	var candidates []membership.Member
	for _, member := range g.members() {
		if member.Operator != "" && member.Alive && !member.Leaving {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.SortFunc(candidates, func(a, b membership.Member) int { return cmp.Compare(a.SilentS, b.SilentS) })
	return candidates[g.randIntN((len(candidates)+1)/2)].Operator
}
