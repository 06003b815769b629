// Package election decides when a process takes a singleton role and when it may act in it. It is pure; time comes as
// seconds on the process's steady clock. The grant itself, with its fencing token, is made in the register.
package election

import "hazelwheel/internal/decide/register"

const (
	// confirmPart is the part of the lease for which a holder acts without confirming its grant at a majority.
	confirmPart = 0.33
	// marginS is added to the lease before a silent holder's role counts as vacant, in seconds: what the holder may act on before
	// it notices, and what its last heartbeat took.
	marginS = 1.5
	// stallS is the time between two looks, in seconds, from which on this process counts as having stood still.
	stallS = 1.0
)

// Candidate is a process that stands for one role.
type Candidate struct {
	Role         string
	Name         string
	LeaseSeconds float64

	began     float64
	token     uint64 // of the own grant, 0: none
	confirmed float64
	heard     float64 // when the grant's holder was heard of last
	watched   uint64  // the token whose holder heard is about
	looked    float64 // when this process looked last
}

// NewCandidate returns a process that begins at now without a grant.
func NewCandidate(role, name string, leaseS, now float64) *Candidate {
	return &Candidate{Role: role, Name: name, LeaseSeconds: leaseS, began: now, heard: now, looked: now}
}

// Action is what a process has to do about its role.
type Action int

// What there is to do.
const (
	Wait    Action = iota
	Act            // it holds the role and may act
	Confirm        // it has to read its grant at a majority first
	Acquire        // the role is vacant, or its own grant has lapsed: it has to take it
)

// NextAction tells what there is to do. grant is the newest that is known, silentS for how long its holder was not heard of, and inTouch whether
// this process reaches a majority.
func (h *Candidate) NextAction(now float64, grant register.Grant, silentS float64, inTouch bool) Action {
	stalled := now-h.looked > stallS
	h.looked = now
	if h.token > 0 && grant.Token > h.token {
		h.token = 0
	}
	if h.token > 0 {
		switch {
		case now-h.confirmed <= confirmPart*h.LeaseSeconds:
			return Act
		case h.lapsed(now):
			return Acquire
		}
		return Confirm
	}
	if grant.Token != h.watched {
		h.watched, h.heard = grant.Token, now
	}
	// A grant that this process held in an earlier life may be taken anew at once: the holder stays the same.
	if grant.Token == 0 || grant.Holder == h.Name {
		return Acquire
	}
	h.heard = max(h.heard, now-silentS)
	if !inTouch || stalled {
		// Danger: who is cut off, or stood still, has heard nobody. Once that is over it would take the role of a holder that has acted just
		// now.
		h.heard = now
	}
	// Danger: who has just begun does not know when the holder acted last.
	if now-h.heard > h.LeaseSeconds+marginS && now-h.began > h.LeaseSeconds+marginS {
		return Acquire
	}
	return Wait
}

// lapsed tells whether the grant could not be confirmed for a whole lease. Danger: others may be about to take it, and a read that finds
// it unchanged doesn't keep them from that. It is taken anew, so that the register decides between the two.
func (h *Candidate) lapsed(now float64) bool { return now-h.confirmed > h.LeaseSeconds }

// HandleConfirmation tells what the register holds after a Confirm that began at a time. One that began when the grant had lapsed confirms nothing,
// nor does one of a grant that was given up meanwhile.
func (h *Candidate) HandleConfirmation(began float64, grant register.Grant) {
	if grant.Holder != h.Name || grant.Token < h.token {
		h.token = 0
		return
	}
	if h.token == 0 || h.lapsed(began) {
		return
	}
	h.token, h.confirmed = grant.Token, began
}

// HandleAcquired tells that a Take was chosen with this token; only then is the grant this life's.
func (h *Candidate) HandleAcquired(began float64, token uint64) { h.token, h.confirmed = token, began }

// ReleaseIfUnconfirmed gives the role up where the grant could not be confirmed for so long that this process has not acted for a whole lease. It
// returns the token that was given up, 0 if none was.
func (h *Candidate) ReleaseIfUnconfirmed(now float64) uint64 {
	if h.token == 0 || now-h.confirmed <= (1+confirmPart)*h.LeaseSeconds {
		return 0
	}
	token := h.token
	h.token = 0
	return token
}

// Resign gives the role up.
func (h *Candidate) Resign() { h.token = 0 }

// Token returns the token to act with, 0 without a grant.
func (h *Candidate) Token() uint64 { return h.token }

// CanAct tells whether the grant was confirmed lately enough, looked at again right before and after acting.
func (h *Candidate) CanAct(now float64) bool {
	return h.token > 0 && now-h.confirmed <= confirmPart*h.LeaseSeconds
}
