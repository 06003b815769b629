package reconfiguration_test

import (
	"fmt"
	"slices"

	"hazelwheel/internal/decide/register"
)

// checkNewcomers looks whether those that join hold on their disks what had been acknowledged when they began. What came since they
// learn as voters do.
func (w *world) checkNewcomers(value register.Value, next []register.Voter) {
	for _, voter := range next {
		n := w.find(voter.Address)
		if slices.Contains(value.Voters, voter) || n == nil || n.disk.ID != voter.ID {
			continue
		}
		if n.disk.Value.ConfigVersion < n.since {
			w.breakRule("%s votes with version %d, %d was acknowledged before it began", voter.ID, n.disk.Value.ConfigVersion, n.since)
		}
	}
}

// checkJoined looks whether a machine votes once it has had its time, where there was no other trouble meanwhile.
func (w *world) checkJoined(n *node, began float64) {
	if n.frozen || n.leaving || w.calmFrom > began {
		return
	}
	newest := n.told
	for _, other := range w.nodes {
		if other.up && other.told.Epoch > newest.Epoch {
			newest = other.told
		}
	}
	for _, voter := range newest.Voters {
		if voter.ID == n.disk.ID {
			return
		}
	}
	w.breakRule("%s (%s) does not vote %.0f s after it has begun", n.address, n.disk.ID, catchUpS)
}

// operate sends a change or a read to any machine.
func (w *world) operate() {
	w.after(w.gapS*(0.5+w.rng.Float64()), w.operate)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || n.frozen {
		return
	}
	must, seen := w.acked[:len(w.acked):len(w.acked)], w.highest
	check := func(value register.Value) {
		has := make(map[register.Digest]bool, len(value.AcceptedChanges))
		for _, digest := range value.AcceptedChanges {
			has[digest] = true
		}
		for _, digest := range must {
			if !has[digest] {
				w.breakRule("%s returns version %d without an acknowledged change", n.address, value.ConfigVersion)
			}
		}
		if value.ConfigVersion < seen {
			w.breakRule("%s returns version %d after %d was seen", n.address, value.ConfigVersion, seen)
		}
		w.highest = max(w.highest, value.ConfigVersion)
	}
	if w.rng.IntN(3) == 0 {
		w.read(n, w.now+1.5, func(value register.Value, _ register.Ballot, ok bool) {
			if ok {
				check(value)
			}
		})
		return
	}
	base := w.highest
	digest := register.DigestOf(fmt.Append(nil, w.order))
	w.change(n, register.SetConfig(base+1, base, digest), w.now+changeS, func(round *register.Proposal) {
		if round == nil {
			return
		}
		check(round.Value)
		if round.Outcome != register.Chosen {
			return
		}
		if other, taken := w.byBase[base]; taken && other != digest {
			w.breakRule("two changes on top of version %d are acknowledged", base)
		}
		w.byBase[base] = digest
		w.acked = append(w.acked, digest)
	})
}
