package tokenlease_test

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/tokenlease"
)

// lessorHost is a control process that is the lessor of some shares.
type lessorHost struct {
	process
	run       int
	startedAt float64 // start of this run
	shares    map[int]*heldShare
}

// heldShare is a share whose lessor a process believes to be.
type heldShare struct {
	token    uint64
	lessor   *tokenlease.Lessor
	actUntil float64 // by the clock of its process
}

// role is the grant of a share's singleton role in the register.
type role struct {
	token       uint64
	holder      int // index of the lessor host; -1 if there is none
	holderRun   int
	silentSince float64
}

// checkRole lets a share's lessor confirm its role, or another process acquire it, as package election does.
func (s *simulation) checkRole(share int) {
	s.after(roleInterval, func() { s.checkRole(share) })
	r := &s.roles[share]
	if r.holder >= 0 {
		holder := s.lessors[r.holder]
		isResponsive := !holder.isDown && !holder.isFrozen(s.now) && !holder.isCut(s.now)
		switch held := holder.shares[share]; {
		case isResponsive && held != nil && held.token == r.token && holder.run == r.holderRun:
			held.actUntil = holder.clock.read(s.now) + actSeconds
			r.silentSince = s.now
			return
		case isResponsive: // it has restarted, and acquires the share again at once
			s.acquire(share, r.holder)
			return
		case s.now-r.silentSince < vacancySeconds:
			return
		}
	}
	var responsive []int
	for i, h := range s.lessors {
		if !h.isDown && !h.isFrozen(s.now) && !h.isCut(s.now) {
			responsive = append(responsive, i)
		}
	}
	if len(responsive) > len(s.lessors)/2 {
		s.rng.Shuffle(len(responsive), func(i, j int) { responsive[i], responsive[j] = responsive[j], responsive[i] })
		s.acquire(share, slices.MinFunc(responsive, func(a, b int) int { return cmp.Compare(s.held(a), s.held(b)) }))
	}
}

// held returns the number of shares of a process.
func (s *simulation) held(index int) (count int) {
	for _, r := range s.roles {
		if r.holder == index {
			count++
		}
	}
	return count
}

// acquire grants a share to a process.
func (s *simulation) acquire(share, index int) {
	h, r := s.lessors[index], &s.roles[share]
	now := h.clock.read(s.now)
	idleSince := now
	switch {
	case r.holder < 0 || r.holder == index && r.holderRun != h.run:
		idleSince = h.clock.read(h.startedAt) // no other process has had it since this run began
	case r.holder != index:
		idleSince = now - roleLeaseSeconds
	}
	r.token++
	r.holder, r.holderRun, r.silentSince = index, h.run, s.now
	h.shares[share] = &heldShare{r.token, tokenlease.NewLessor(r.token, s.plan.allowance, now, idleSince), now + actSeconds}
}

// handle handles a request as the host of a lessor does. It returns false if the process is not the lessor or was replaced.
func (h *lessorHost) handle(s *simulation, request tokenlease.Request) (*tokenlease.Reply, bool) {
	held := h.shares[request.Share]
	now := h.clock.read(s.now)
	if held == nil || now >= held.actUntil {
		return nil, false
	}
	reply, err := held.lessor.Handle(now, &request, func(name string) tokenlease.Limit {
		for _, t := range s.tenants {
			if t.name == name {
				return t.limitFor(s.now, &h.process)
			}
		}
		return tokenlease.Limit{}
	})
	return reply, err == nil
}
