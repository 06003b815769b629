package coordination

import (
	"errors"

	"hazelwheel/internal/decide/swim"
)

// UseStore says where the state is kept, and what is there already. It comes before Start, and before the sidecar sends anything: boxes
// that are out by what is there are out from the first request on.
func (f *Node) UseStore(disk StateStore, saved SavedState) {
	f.store, f.saved = disk, saved
	if st, err := saved.decode(); err == nil {
		f.adoptMaintenance(st.Maintenance)
	}
}

// adoptMaintenance takes what is known of boxes that are out, from an earlier life or from another sidecar.
func (f *Node) adoptMaintenance(k *MaintenanceRecord) {
	if f.roles == nil || f.roles.maintenance == nil || k == nil {
		return
	}
	w := f.roles.maintenance
	if w.restore(k); w.version > 0 {
		f.state.Maintenance = &MaintenanceRecord{w.epoch, w.version, max(k.Token, w.maxToken()), w.body}
	}
}

// ValidateState tells why what is saved can't be taken over; nil where it can, or where there is nothing.
func ValidateState(saved SavedState) error {
	_, err := saved.decode()
	return err
}

// randomNonZero returns a number that is not 0.
func (f *Node) randomNonZero() uint64 { return f.options.Rand.Uint64() | 1 }

// persist keeps the state. A sidecar without a folder has nothing to keep.
func (f *Node) persist(done func(error)) {
	if f.store == nil {
		f.runAfterCall(func() { done(errNoStore) })
		return
	}
	f.store.Save(encodeState(f.state), func(err error) { f.run(func() { done(err) }) })
}

var errNoStore = errors.New("there is no folder")

// newIdentity draws another identity, and has done called once it is on disk or known not to be.
func (f *Node) newIdentity(done func()) {
	f.state = persistentState{ID: swim.ID(f.randomNonZero()), Generation: 1, Maintenance: f.state.Maintenance}
	f.persist(func(err error) {
		if f.identityStored = err == nil; err != nil {
			f.log.Warn("the identity can't be kept: the next start is a new sidecar", "error", err)
		}
		done()
	})
}
