package coordination

import (
	"errors"

	"hazelwheel/internal/decide/swim"
)

// firstIncarnation is the incarnation of an identity's first process. The upper 32 bits count processes, the lower ones refutations.
const firstIncarnation = 1 << 32

var errNoStore = errors.New("fleet.dir is not set")

// UseStore sets where the state is persisted, and the state that is stored there already. It must be called before Start and before
// the sidecar sends any request, so that servers that the stored state cordons for maintenance get none from the start.
func (n *Node) UseStore(store StateSaver, saved SavedState) {
	n.store, n.saved = store, saved
	if state, err := saved.decode(); err == nil {
		n.adoptMaintenance(state.Maintenance)
	}
}

// adoptMaintenance applies a maintenance record of an earlier process or of a peer if it is newer than the known one; nil changes
// nothing.
func (n *Node) adoptMaintenance(record *MaintenanceRecord) {
	if n.roles == nil || n.roles.maintenance == nil || record == nil {
		return
	}
	r := n.roles.maintenance
	if r.restore(record); r.version > 0 {
		n.state.Maintenance = &MaintenanceRecord{r.epoch, r.version, max(record.Token, r.maxToken()), r.body}
	}
}

// randomNonZero draws a number that is not 0.
func (n *Node) randomNonZero() uint64 { return n.options.Rand.Uint64() | 1 }

// persist writes the state and calls done on the loop. Without a store, done is called with an error at the end of the present call.
func (n *Node) persist(done func(error)) {
	if n.store == nil {
		n.runAfterCall(func() { done(errNoStore) })
		return
	}
	n.store.Save(encodeState(n.state), func(err error) { n.run(func() { done(err) }) })
}

// newIdentity draws a new identity and calls done once it is persisted or the write has failed. The maintenance record is kept, since
// it does not belong to the identity.
func (n *Node) newIdentity(done func()) {
	n.state = persistentState{ID: swim.ID(n.randomNonZero()), Generation: 1, Maintenance: n.state.Maintenance}
	n.persist(func(err error) {
		if n.identityStored = err == nil; err != nil {
			n.log.Warn("the identity can't be kept: the next start is a new sidecar", "error", err)
		}
		done()
	})
}

// replaceIdentity ends all roles and continues under a new identity once that is persisted or the write has failed.
func (n *Node) replaceIdentity(reason string) {
	n.log.Warn("this sidecar goes on under another identity", "reason", reason, "was", n.view.Self().ID)
	n.runAfterCall(func() {
		if n.roles != nil {
			n.roles.stop("the identity is given up")
		}
		n.newIdentity(func() {
			version := swim.Version{Incarnation: firstIncarnation, BootID: n.randomNonZero()}
			n.view.AdoptIdentity(n.loop.Now(), n.state.ID, version, n.identityStored && n.roles != nil)
			if n.roles == nil {
				return
			}
			if err := n.roles.start(n.state.ID, nil); err != nil { // impossible without a saved state
				panic(err)
			}
		})
	})
}
