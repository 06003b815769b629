package reconfiguration_test

import (
	"container/heap"
	"fmt"

	"hazelwheel/internal/decide/register"
)

// free returns a machine that may be lost now, nil if as many as tolerated count as lost.
func (w *world) free() *node {
	count := 0
	for _, until := range w.lost {
		if until > w.now {
			count++
		}
	}
	if count >= w.tolerate {
		return nil
	}
	var free []*node
	for _, n := range w.nodes {
		if w.lost[n] <= w.now && n.up && !n.leaving {
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return free[w.rng.IntN(len(free))]
}

// trouble draws one trouble after the other. A machine counts as lost until catchUpS after its return.
func (w *world) trouble() {
	if w.now > troubleS {
		return
	}
	w.after(0.3+4*w.rng.Float64()*w.rng.Float64(), w.trouble)
	switch w.rng.IntN(10) {
	case 0, 1, 2:
		w.wipe()
	case 3:
		w.powerOff()
	case 4:
		w.cutOff(3 + 17*w.rng.Float64())
	case 5:
		w.halves(1 + 4*w.rng.Float64())
	case 6:
		w.freeze(1 + 11*w.rng.Float64())
	case 7:
		w.replace()
	case 8:
		w.replacePlanned()
	case 9:
		w.allOff()
	}
}

// troubled notes a trouble that lasts for so long from now on.
func (w *world) troubled(forS float64) { w.calmFrom = max(w.calmFrom, w.now+forS) }

func (w *world) stop(n *node) {
	n.up = false
	n.life++
}

// comeBack starts a machine again.
func (w *world) comeBack(n *node, downS float64) {
	w.lost[n] = max(w.lost[n], w.now+downS+catchUpS)
	w.troubled(downS)
	w.after(downS, func() {
		if !n.gone && !n.up {
			w.boot(n)
		}
	})
}

func (w *world) loseDisk(n *node) {
	n.disk = register.State{ID: fmt.Sprintf("%s#%d", n.address, w.order)}
}

// wipe takes a machine's disk. Once it is back it has to be a voter that holds what is newest before it may count.
func (w *world) wipe() {
	if n := w.free(); n != nil {
		w.stop(n)
		w.loseDisk(n)
		w.comeBack(n, 0.3+1.2*w.rng.Float64())
	}
}

func (w *world) powerOff() {
	if n := w.free(); n != nil {
		w.stop(n)
		w.comeBack(n, 0.3+4*w.rng.Float64())
	}
}

func (w *world) block(a, b *node, forS float64) {
	w.cut[[2]string{a.address, b.address}] = w.now + forS
}

// cutOff partitions one machine from the others, now and then in one direction alone.
func (w *world) cutOff(forS float64) {
	n := w.free()
	if n == nil {
		return
	}
	w.lost[n] = w.now + forS + catchUpS
	w.troubled(forS)
	both := w.rng.IntN(3) > 0
	for _, other := range w.nodes {
		w.block(n, other, forS)
		if both {
			w.block(other, n, forS)
		}
	}
}

// halves partitions half of the machines from the others, whatever is tolerated. What was lost before can't be repaired meanwhile,
// so that all count as lost until they have had their time.
func (w *world) halves(forS float64) {
	w.troubled(forS)
	for _, n := range w.nodes {
		w.lost[n] = max(w.lost[n], w.now+forS+catchUpS)
	}
	for i, n := range w.nodes {
		for j, other := range w.nodes {
			if i < len(w.nodes)/2 != (j < len(w.nodes)/2) {
				w.block(n, other, forS)
			}
		}
	}
}

func (w *world) freeze(forS float64) {
	n := w.free()
	if n == nil {
		return
	}
	w.lost[n] = w.now + forS + catchUpS
	w.troubled(forS)
	n.frozen = true
	w.after(forS, w.alive(n, func() { n.frozen, n.resumed = false, w.now }))
}

// reserve takes a spare, which nothing else brings in from then on.
func (w *world) reserve() *node {
	spare := w.spares[0]
	w.spares = w.spares[1:]
	return spare
}

// arrive starts a spare.
func (w *world) arrive(spare *node) {
	spare.disk = register.State{ID: spare.address}
	w.nodes = append(w.nodes, spare)
	w.boot(spare)
}

func (w *world) remove(n *node) {
	w.stop(n)
	n.gone = true
	for i, other := range w.nodes {
		if other == n {
			w.nodes = append(w.nodes[:i:i], w.nodes[i+1:]...)
		}
	}
}

// replace takes a machine for good; an empty one comes later. The lost one counts until its successor has had its time.
func (w *world) replace() {
	n := w.free()
	if n == nil || len(w.spares) == 0 {
		return
	}
	w.remove(n)
	comesIn := 0.3 + 2.7*w.rng.Float64()
	w.lost[n] = w.now + comesIn + catchUpS
	w.troubled(comesIn)
	spare := w.reserve()
	w.lost[spare] = w.lost[n] - 0.001
	w.after(comesIn, func() { w.arrive(spare) })
}

// replacePlanned starts the new machine first. The old one is told to end, waits for others to take its place and is gone.
func (w *world) replacePlanned() {
	n := w.free()
	if n == nil || len(w.spares) == 0 {
		return
	}
	came := w.now
	spare := w.reserve()
	w.arrive(spare)
	w.lost[spare] = came + catchUpS
	w.after(0.3+2.7*w.rng.Float64(), func() {
		if !n.up {
			return
		}
		n.leaving = true
		w.troubled(leaveS)
		w.lost[n] = max(w.lost[n], came+catchUpS)
		w.awaitSuccession(n, n.life, w.now+leaveS)
	})
}

func (w *world) awaitSuccession(n *node, life int, deadline float64) {
	if n.life != life || !n.up {
		return
	}
	votes := false
	for _, voter := range n.told.AllVoters() {
		votes = votes || voter.ID == n.disk.ID
	}
	if votes && w.now < deadline {
		w.after(0.05, func() { w.awaitSuccession(n, life, deadline) })
		return
	}
	w.remove(n)
}

// allOff has all machines lose power; as many disks are lost as are tolerated, where no other machine counts as lost.
func (w *world) allOff() {
	disks := w.tolerate
	for _, until := range w.lost {
		if until > w.now {
			disks = 0
		}
	}
	downS := 0.5 + w.rng.Float64()
	first := w.rng.IntN(len(w.nodes))
	for i, n := range w.nodes {
		if n.leaving {
			continue
		}
		w.stop(n)
		if (i+len(w.nodes)-first)%len(w.nodes) < disks {
			w.loseDisk(n)
		}
		w.comeBack(n, downS)
	}
}

// play lets a world run and checks what is left of it in the quiet at its end.
func play(seed uint64, machines, spares int, gapS float64, m mistakes) *world {
	w := newWorld(seed, machines, spares, gapS, m)
	w.after(0.5, w.operate)
	w.after(2, w.trouble)
	w.after(2, w.stepClocks)
	const end = troubleS + 24 + quietS
	w.after(end-1, w.checkQuiet)
	for len(w.queue) > 0 && w.broken == "" && w.now < end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	return w
}

// checkQuiet looks whether all machines vote and hold what is newest once there has been no trouble for a while.
func (w *world) checkQuiet() {
	w.checkRole()
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		votes := false
		for _, voter := range n.told.Voters {
			votes = votes || voter.ID == n.disk.ID
		}
		if !votes || len(n.told.OutgoingVoters) > 0 {
			w.breakRule("%s (%s) does not vote in the end: epoch %d, %v", n.address, n.disk.ID, n.told.Epoch, n.told.Voters)
		}
		if n.disk.Value.ConfigVersion+20 < w.highest {
			w.breakRule("%s is at version %d in the end, %d is in force", n.address, n.disk.Value.ConfigVersion, w.highest)
		}
	}
}
