package checker

import (
	"math"
	"slices"
	"sort"
)

// countsAsTold returns when a sidecar counts as told of a change of the list, as far as can be said at a time; +Inf: not
// yet.
func (j *Checker) countsAsTold(p *party, listed *Event, at float64) float64 {
	made := max(listed.At, p.startedAt)
	told := j.hears(p, listed, j.there(made, j.rules.UpdateTimeoutSeconds))
	if p.watched() {
		return told
	}
	missed := math.Inf(1)
	if p.silentAt > 0 { // what is made once the silence should have been noticed is missed as it is made
		missed = max(made, j.hears(p, listed, j.reachable(p.silentAt, j.rules.UpdateTimeoutSeconds)))
	}
	if p.watches > 0 {
		return missed
	}
	within := j.rules.PollTimeoutSeconds
	if !p.called {
		if p.askFailed {
			within *= 4
		}
		if unasked := max(listed.At, p.askedAt) + within; unasked <= at {
			told = min(told, unasked)
		}
		return min(told, missed)
	}
	// Who has called since its watch ended is held to its list for as long as the settings give, counted anew when discovery is
	// back; but after a call that failed a change counts once discovery had it and could be reached for a while. Danger: discovery
	// that works through three calls a second has sixty wait; what it could not have answered in time blames nobody.
	if p.askFailed {
		return min(j.hears(p, listed, j.reachable(made, j.rules.UpdateTimeoutSeconds)), missed)
	}
	return min(max(listed.At, p.askedAt, j.upAt)+within, missed)
}

// hears returns when a sidecar counts as told of a change that would count from a time on, had it not been given a new
// configuration and not stood still.
func (j *Checker) hears(p *party, listed *Event, told float64) float64 {
	if p.reloadedAt > 0 && p.reloadedAt < told {
		told = max(told, p.reloadedAt+j.rules.ReloadGraceSeconds)
	}
	if p.frozenAt > 0 && told >= p.frozenAt && listed.At <= p.thawedAt {
		told = max(told, p.thawedAt+j.rules.UpdateTimeoutSeconds)
	}
	return told
}

// there returns when discovery has been up for so long on end since a time; +Inf: not yet. What it can't tell does not count.
func (j *Checker) there(from, forS float64) float64 {
	for i := range j.outages {
		if o := &j.outages[i]; o.until > from && o.from < from+forS {
			from = o.until
		}
	}
	return from + forS
}

// reachable returns when discovery has been up for so long on end since a time, and would have answered a call; +Inf: not yet. Time in
// which calls stood in line there does not count, since another one could have waited in vain. Danger: a fleet whose calls never end
// would never count as told, so no more of that is taken off than a call of each sidecar needs.
func (j *Checker) reachable(from, forS float64) float64 {
	for {
		until := j.beyondLines(from, forS)
		next := slices.IndexFunc(j.outages, func(o span) bool { return o.until > from && o.from < until })
		if next < 0 {
			return until
		}
		if from = j.outages[next].until; math.IsInf(from, 1) {
			return from
		}
	}
}

// beyondLines returns when so much time without a line has passed since a time.
func (j *Checker) beyondLines(from, forS float64) float64 {
	until, excused := from+forS, 0.0
	first := sort.Search(len(j.lines), func(i int) bool { return j.lines[i].until > from })
	for i := first; i < len(j.lines) && j.lines[i].from < until; i++ {
		l := &j.lines[i]
		waited := min(l.until-max(l.from, from), j.rules.FleetCallsSeconds-excused)
		excused += waited
		until += waited
	}
	return until
}

// notServingSince returns since when a sidecar knew at a time that a box drains or is gone, +Inf: it did not.
func (j *Checker) notServingSince(p *party, box int32, at float64) float64 {
	k, s := p.knows(box), j.station(box)
	since := math.Inf(1)
	if k.status != 0 && k.status != Serving {
		since = k.at
	}
	run := -1 // the first of the last changes that say so
	for i := len(s.listed) - 1; i >= 0 && s.listed[i].Status != Serving; i-- {
		run = i
	}
	if run >= 0 {
		since = min(since, j.countsAsTold(p, &s.listed[run], at))
	}
	return since
}

// checkDrain checks that nothing new goes to a box that drains or is gone.
//
// Danger: another box may have come up at the address of one that is gone. What counts is what the sidecar was told of
// the address that it used.
func (j *Checker) checkDrain(s *station, p *party, e *Event) {
	grace := j.rules.DrainGraceSeconds + j.rules.SocketSlackSeconds
	if at := p.out[e.Server]; at > 0 && e.FirstSent > at+grace {
		j.addViolation(SafeDrain, e.Sidecar, e.Server, e.Request, nil, "sent %.3f s after operators had taken box %d out", e.FirstSent-at, e.Server)
		return
	}
	if k := p.knows(e.Server); k.status == Serving && e.FirstSent <= j.notServingSince(p, e.Server, e.FirstSent)+grace {
		return
	}
	latest, named := math.Inf(-1), int32(-1)
	for box := range p.told {
		k := &p.told[box]
		if k.status != 0 && k.said.Address == s.address {
			if since := j.notServingSince(p, int32(box), e.FirstSent); since > latest {
				latest, named = since, int32(box)
			}
		}
	}
	switch {
	case named < 0:
		j.addViolation(SafeDrain, e.Sidecar, e.Server, e.Request, nil, "sent to an address that the sidecar was never told of")
	case e.FirstSent > latest+grace:
		j.addViolation(SafeDrain, e.Sidecar, e.Server, e.Request, []Event{p.told[named].said},
			"sent %.3f s after the sidecar was told, or counted as told, that box %d drains or is gone", e.FirstSent-latest, named)
	}
}

// checkAsked checks that a sidecar which goes on without a watch has asked for one. Danger: one that never asks again goes by its
// list for ever, and seldom meets a box within a day that shows it.
func (j *Checker) checkAsked(sidecar int32, now float64) {
	p := &j.parties[sidecar]
	if p.watched() || p.life == 0 || p.termedAt > 0 || p.killedAt > p.startedAt || now < p.thawedAt || j.downAt > 0 {
		return
	}
	for i := range j.cuts { // its calls may have been lost, which nobody sees
		if c := &j.cuts[i]; (c.sidecar == sidecar || c.sidecar < 0) && c.until+4*j.rules.PollTimeoutSeconds >= now {
			return
		}
	}
	if p.silentAt > 0 && p.askedAt < p.silentAt {
		if noticed := j.reachable(max(p.silentAt, p.reloadedAt, p.thawedAt), j.rules.UpdateTimeoutSeconds) + j.rules.SocketSlackSeconds; now > noticed {
			j.addViolation(ListPolled, sidecar, -1, 0, nil, "on a watch that has said nothing for %.1f s, and has not asked for another", now-p.silentAt)
		}
		return
	}
	within := j.rules.PollTimeoutSeconds
	if p.askFailed {
		within *= 4
	}
	within = max(within, j.rules.MaxPollIntervalSeconds) + j.rules.SocketSlackSeconds
	if asked := max(p.askedAt, p.startedAt, p.reloadedAt, p.thawedAt, j.upAt); now > asked+within {
		j.addViolation(ListPolled, sidecar, -1, 0, nil, "without a watch, and has not asked for its list for %.1f s", now-asked)
	}
}
