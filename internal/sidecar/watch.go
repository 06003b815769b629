package sidecar

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"hazelwheel/internal/endpointset"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

const (
	// headWaitS is how long discovery may take to begin its answer; it works through calls in turn and
	// gives those up that wait too long.
	headWaitS = 3.0
	// silenceS without a byte ends a watch: discovery sends an empty line every 2 s while nothing changes. Danger: what a silent
	// watch misses counts as told 6 s after it fell silent, and within that time another call has to be answered.
	silenceS = 3.0
	// mostList bounds one object of discovery.
	mostList = 8 << 20
	// rewatchS is the longest wait before a watch that the decisions never ask for is begun again.
	rewatchS = 1.0
	// rewatchPart of the time for which a draining server may still be sent requests is waited at most: where lists are pushed, a
	// change counts as told at once, whether or not a watch is open.
	rewatchPart = 0.25
)

var (
	errSilent  = errors.New("silence")
	errRefused = errors.New("refused")
	errEnded   = errors.New("ended")
)

// watcher is a watch on discovery's list.
type watcher struct {
	s        *Sidecar
	conn     netio.Conn
	stopDial func()
	buf      http1.Buffer
	parser   http1.ResponseParser
	scanner  endpointset.StreamScanner // of the answer's body
	alive    *timer
	first    *timer // until the first object or heartbeat has come
	over     bool
	heard    bool   // an object or an empty line has come
	since    uint64 // the version that was asked from
}

// watch begins a watch. One that is up already answers for it.
func (s *Sidecar) watch() {
	if s.passed.on {
		s.tellHosts(policy.ListDelta, nil)
		return
	}
	s.beginWatch()
}

func (s *Sidecar) beginWatch() {
	if w := s.watcher; w != nil {
		if w.heard {
			s.tellHosts(policy.ListDelta, nil)
			return
		}
		// Danger: discovery works through calls in turn. One that is ended and begun anew goes to the end of the line.
		return
	}
	now := s.now()
	w := &watcher{s: s, parser: http1.NewResponseParser(http1.Limits{Head: MaxHeadBytes, Body: mostList})}
	s.watcher = w
	s.counters.Watches++
	w.alive = s.timers.schedule(now+headWaitS, func() { w.fail(errSilent) })
	// Danger: a first object that comes byte by byte would keep the watch from being up, and from being opened anew, for ever.
	w.first = s.timers.schedule(now+headWaitS+silenceS, func() { w.fail(errSilent) })
	w.stopDial = s.connect(s.cfg.Discovery, now+s.cfg.Settings.ConnectTimeoutS, w, w.fail)
}

// opened asks for the changes since the list that is held.
func (w *watcher) onOpen(c netio.Conn) {
	w.conn = c
	if w.over {
		w.s.closeConn(c)
		return
	}
	target := "/v1/endpoints?follow=1"
	if index, ok := w.s.hosts.Index(); ok {
		w.since = index
		target += "&since=" + strconv.FormatUint(index, 10)
	}
	h := http1.Header{{Name: "Host", Value: w.s.cfg.Discovery}}
	c.Write(http1.AppendRequest(nil, "GET", target, h, nil))
}

// traffic takes the lines that have come.
func (w *watcher) onData(data []byte) {
	if w.over {
		return
	}
	w.buf.Write(data)
	done, err := w.parser.Next(&w.buf)
	if err == nil && w.parser.HeadRead() && w.parser.Status != 200 {
		err = errRefused
	}
	if err == nil {
		err = w.handleBody()
	}
	if w.heard {
		w.s.timers.stop(w.first)
	}
	if err == nil && w.parser.HeadRead() { // an empty line, too, says that the list is as it was
		w.s.listAt = w.s.now()
		_, held := w.s.hosts.Index()
		w.s.listed = w.s.listed || held && w.heard
	}
	if err == nil && done {
		err = errEnded
	}
	if err != nil {
		w.fail(err)
		return
	}
	if w.parser.HeadRead() {
		w.s.timers.stop(w.alive)
		w.alive = w.s.timers.schedule(w.s.now()+silenceS, func() { w.fail(errSilent) })
	}
}

// handleBody handles the objects and heartbeats that have come whole. An object that makes no sense ends the watch; the list that is
// held stays in use.
func (w *watcher) handleBody() error {
	for {
		token, text, rest, err := w.scanner.Next(w.parser.Body)
		w.parser.Body = rest
		switch {
		case err != nil:
		case token == endpointset.Heartbeat:
			w.handleHeartbeat()
		case token == endpointset.Object:
			err = w.handleObject(text)
		default:
			return nil
		}
		if err != nil {
			w.s.noticeMalformedList(err)
			return err
		}
	}
}

// noticeMalformedList logs that discovery has sent something that is no list, once for each fault in a row.
func (s *Sidecar) noticeMalformedList(err error) {
	if errors.Is(err, ErrStaleList) || err.Error() == s.listFault {
		return
	}
	s.listFault = err.Error()
	s.log.Warn("discovery has sent a malformed list, the present one stays in use", "discovery", s.cfg.Discovery, "error", err)
}

// handleHeartbeat handles an empty line. The first one tells the decisions that the watch is up.
func (w *watcher) handleHeartbeat() {
	if !w.heard {
		w.heard = true
		w.s.tellHosts(policy.ListDelta, nil)
	}
	if w.s.passed.to != nil {
		index, held := w.s.hosts.Index()
		w.s.passed.to.ListRead(index, held, nil)
	}
}

// handleObject handles an object with a list or with changes. The first one tells the decisions that the watch is up.
func (w *watcher) handleObject(object []byte) error {
	if w.s.passed.to != nil {
		return w.pass(object)
	}
	w.heard = true
	return w.s.list(object)
}

// pass takes an object that is passed on. Danger: others may have passed on a later one meanwhile. Changes are in that already; a
// whole list of a lower index is of a service that counts anew, unless the list was not held yet when it was asked for.
func (w *watcher) pass(line []byte) error {
	s := w.s
	before, held := s.hosts.Index()
	index, snapshot, err := endpointset.ParseHeader(line)
	if err != nil {
		return err
	}
	if held && index < before {
		switch {
		case !snapshot:
			line = nil
		case w.since != before:
			return ErrStaleList // it is asked anew, by the list that is held
		}
	}
	if w.heard = true; line == nil {
		s.tellHosts(policy.ListDelta, nil)
		return nil
	}
	if err := s.list(line); err != nil {
		return err
	}
	s.passed.to.ListRead(before, held, line)
	return nil
}

// listKnown applies the list that was held last and tells the decisions.
func (s *Sidecar) listKnown(raw []byte) error {
	infos, err := s.hosts.ApplyCached(raw, s.now())
	if err != nil {
		return err
	}
	s.tellHosts(policy.ListCached, infos)
	s.dropIdle()
	return nil
}

// list applies one object of discovery and tells the decisions.
func (s *Sidecar) list(raw []byte) error {
	snapshot, infos, err := s.hosts.Apply(raw, s.now())
	if err != nil {
		return err
	}
	s.counters.ListsApplied++
	s.listFault = ""
	kind := policy.ListDelta
	if snapshot {
		kind = policy.ListFull
	}
	s.tellHosts(kind, infos)
	s.dropIdle()
	return nil
}

// dropIdle closes the idle backend connections that nothing new goes to.
func (s *Sidecar) dropIdle() {
	for _, id := range slices.Sorted(maps.Keys(s.idleConns)) {
		if !s.acceptsAttempts(id) {
			s.closeIdleConns(id)
			delete(s.idleConns, id)
		}
	}
}

// tellHosts tells the decisions of a list.
func (s *Sidecar) tellHosts(kind policy.ListKind, infos []policy.HostInfo) {
	s.pushEvent(func(now float64) {
		s.capture.RecordHosts(now, kind, infos)
		s.balancer.UpdateHosts(now, kind, infos)
	})
}

// stop ends a watch without a word.
func (w *watcher) stop() {
	w.over = true
	w.s.timers.stop(w.alive)
	w.s.timers.stop(w.first)
	w.stopDial()
	w.s.closeConn(w.conn)
	if w.s.watcher == w {
		w.s.watcher = nil
	}
}

// fail ends a watch that brings nothing more. The decisions ask again; where they never ask, since the
// list comes unasked, the sidecar does.
func (w *watcher) fail(err error) {
	if w.over {
		return
	}
	s := w.s
	w.stop()
	if s.stopping {
		return
	}
	s.counters.WatchesFailed++
	s.log.Debug("watch failed", "error", err)
	if s.passed.to != nil {
		if w.heard {
			s.passed.to.WatchEnded()
		}
		if s.passed.own {
			s.timers.schedule(s.now()+rewatchS, s.again)
		}
		if s.passed.on { // what others pass on takes its place
			return
		}
	}
	s.askAgain()
}

// askAgain has another watch begun in place of one that is over.
func (s *Sidecar) askAgain() {
	if s.cfg.Settings.Policy.ListOnDemand {
		s.tellHosts(policy.ListFailed, nil)
		return
	}
	s.timers.schedule(s.now()+s.rewatchWait(), s.watch)
}

// rewatchWait returns how long a watch that the decisions never ask for stays away after it has failed.
func (s *Sidecar) rewatchWait() float64 {
	if grace := s.cfg.Settings.Policy.DrainGraceSeconds; grace > 0 {
		return min(rewatchS, rewatchPart*grace)
	}
	return rewatchS
}

// ended takes the end of the connection.
func (w *watcher) onClose(err error) {
	w.conn = nil
	if err == nil {
		err = errEnded
	}
	w.fail(err)
}
