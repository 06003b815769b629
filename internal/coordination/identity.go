package coordination

import (
	"errors"

	"hazelwheel/internal/decide/swim"
)

// UseStore says where the state is kept, and what is there already. It comes before Start, and before the sidecar sends anything: boxes
// that are out by what is there are out from the first request on.
func (f *Node) UseStore(disk StateStore, saved SavedState) {
	f.disk, f.saved = disk, saved
	if st, err := saved.decode(); err == nil {
		f.keepWorks(st.Works)
	}
}

// keepWorks takes what is known of boxes that are out, from an earlier life or from another sidecar.
func (f *Node) keepWorks(k *MaintenanceRecord) {
	if f.owners == nil || f.owners.works == nil || k == nil {
		return
	}
	w := f.owners.works
	if w.restore(k); w.version > 0 {
		f.state.Works = &MaintenanceRecord{w.epoch, w.version, max(k.Token, w.known()), w.body}
	}
}

// ValidateState tells why what is saved can't be taken over; nil where it can, or where there is nothing.
func ValidateState(saved SavedState) error {
	_, err := saved.decode()
	return err
}

// drawn returns a number that is not 0.
func (f *Node) drawn() uint64 { return f.o.Rand.Uint64() | 1 }

// save keeps the state. A sidecar without a folder has nothing to keep.
func (f *Node) save(done func(error)) {
	if f.disk == nil {
		f.later(func() { done(errNoDisk) })
		return
	}
	f.disk.Save(encodeState(f.state), func(err error) { f.enter(func() { done(err) }) })
}

var errNoDisk = errors.New("there is no folder")

// anew draws another identity, and has done called once it is on disk or known not to be.
func (f *Node) anew(done func()) {
	f.state = state{ID: swim.ID(f.drawn()), Generation: 1, Works: f.state.Works}
	f.save(func(err error) {
		if f.stored = err == nil; err != nil {
			f.log.Warn("the identity can't be kept: the next start is a new sidecar", "error", err)
		}
		done()
	})
}
