package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
)

// MaintenanceRecord is what a sidecar goes by, as its disk keeps it and as others tell it.
type MaintenanceRecord struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
	Token   uint64 `json:"token"` // the greatest that was seen of the job: a lower one must not undo what is kept
	Body    []byte `json:"body"`
}

// newer orders what is agreed: of two founders' groups the later one's, and within it by version.
func newer(epoch, version, epoch2, version2 uint64) bool {
	return epoch > epoch2 || epoch == epoch2 && version > version2
}

// restore takes what an earlier life went by, before anything is sent.
func (w *worker) restore(k *MaintenanceRecord) {
	if k == nil {
		return
	}
	w.o.greatest.Restore([]lease.Grant{{Role: worksName, Token: k.Token}})
	w.apply(k.Epoch, k.Version, k.Body, false)
}

// apply goes by a version from now on. One that is not newer than what is known changes nothing.
func (w *worker) apply(epoch, version uint64, body []byte, keep bool) {
	if !newer(epoch, version, w.epoch, w.version) {
		return
	}
	state, err := maintenance.Decode(body)
	if err != nil {
		w.o.senseless(worksName)
		return
	}
	w.epoch, w.version, w.body, w.state = epoch, version, body, state
	now := w.o.f.net.Now()
	var names []string
	for name := range state.Cordoned {
		if names = append(names, name); w.outAt[name] == 0 {
			w.outAt[name] = now
		}
	}
	slices.Sort(names)
	for name := range w.outAt {
		if _, out := slices.BinarySearch(names, name); !out {
			delete(w.outAt, name)
		}
	}
	w.to.TakeOut(slices.Compact(names))
	if keep {
		w.o.f.later(w.keep)
	}
}

// keep has what it goes by outlive the process. Where it can't be, a later process asks.
func (w *worker) keep() {
	f := w.o.f
	token := uint64(0)
	for _, g := range w.o.greatest.Highest() {
		if g.Role == worksName {
			token = g.Token
		}
	}
	f.state.Works = &MaintenanceRecord{w.epoch, w.version, token, w.body}
	if f.stored {
		f.save(func(error) {})
	}
}

func (w *worker) heardAgreed(now float64, from *peers.Link, a *agreedWord) {
	if a.Owner != "" && len(a.Owner) <= 64 && len(a.Waits) <= 2*maintenance.MaxServers && len(a.Ages) <= maintenance.MaxPlans {
		w.owner, w.waits, w.wordAt, w.ages, w.agesAt = a.Owner, a.Waits, now, a.Ages, now
	}
	switch {
	case !newer(a.Epoch, a.Version, w.epoch, w.version):
	case a.Body == nil && a.Version > 0:
		w.hold(from)
	default:
		w.apply(a.Epoch, a.Version, a.Body, true)
	}
}

// heardHeld tells a neighbour what it lacks, or asks for what it has.
func (w *worker) heardHeld(from *peers.Link, h heldWord) {
	switch {
	case newer(w.epoch, w.version, h.Epoch, h.Version):
		w.o.reply(from, worksName, w.known(), kindAgreed, packed(&agreedWord{Epoch: w.epoch, Version: w.version, Body: w.body}))
	case newer(h.Epoch, h.Version, w.epoch, w.version):
		w.hold(from)
	}
}

// hold tells a neighbour by what this sidecar goes.
func (w *worker) hold(l *peers.Link) {
	if token := w.known(); token != 0 {
		w.o.reply(l, worksName, token, kindHold, packed(heldWord{w.epoch, w.version}))
	}
}

// known returns the greatest token that is known of the job; 0: none is.
func (w *worker) known() uint64 { return w.o.token(worksName) }

// linkUp takes a new link: who was cut off learns at once what it missed.
func (w *worker) linkUp(l *peers.Link) { w.hold(l) }
