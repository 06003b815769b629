package sidecar

import (
	"errors"
	"strconv"

	"hazelwheel/internal/endpointset"
	"hazelwheel/internal/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

const (
	// headWaitS is how long discovery may take to begin its answer; it works through calls in turn and
	// gives those up that wait too long.
	watchHeadTimeoutSeconds = 3.0
	// silenceS without a byte ends a watch: discovery sends an empty line every 2 s while nothing changes. Danger: what a silent
	// watch misses counts as told 6 s after it fell silent, and within that time another call has to be answered.
	watchTimeoutSeconds = 3.0
	// mostList bounds one object of discovery.
	maxListBytes = 8 << 20
	// rewatchS is the longest wait before a watch that the decisions never ask for is begun again.
	maxRewatchSeconds = 1.0
	// rewatchPart of the time for which a draining server may still be sent requests is waited at most: where lists are pushed, a
	// change counts as told at once, whether or not a watch is open.
	rewatchGraceFraction = 0.25
)

var (
	errWatchTimeout = errors.New("silence")
	errWatchRefused = errors.New("refused")
	errWatchEnded   = errors.New("ended")
)

// watcher is a watch on discovery's list.
type watcher struct {
	sidecar          *Sidecar
	conn             netio.Conn
	cancelDial       func()
	input            http1.Buffer
	parser           http1.ResponseParser
	scanner          endpointset.StreamScanner // of the answer's body
	dataTimer        *timer
	firstObjectTimer *timer // until the first object or heartbeat has come
	isOver           bool
	isUp             bool   // an object or an empty line has come
	sinceIndex       uint64 // the version that was asked from
}

// watch begins a watch. One that is up already answers for it.
func (s *Sidecar) ensureWatch() {
	if s.discovery.relay.isActive {
		s.pushEndpoints(policy.ListDelta, nil)
		return
	}
	s.startWatch()
}

func (s *Sidecar) startWatch() {
	if w := s.discovery.watcher; w != nil {
		if w.isUp {
			s.pushEndpoints(policy.ListDelta, nil)
			return
		}
		// Danger: discovery works through calls in turn. One that is ended and begun anew goes to the end of the line.
		return
	}
	now := s.now()
	w := &watcher{sidecar: s, parser: http1.NewResponseParser(http1.Limits{HeadBytes: MaxHeadBytes, BufferedBodyBytes: maxListBytes})}
	s.discovery.watcher = w
	s.counters.Watches++
	w.dataTimer = s.timers.schedule(now+watchHeadTimeoutSeconds, func() { w.fail(errWatchTimeout) })
	// Danger: a first object that comes byte by byte would keep the watch from being up, and from being opened anew, for ever.
	w.firstObjectTimer = s.timers.schedule(now+watchHeadTimeoutSeconds+watchTimeoutSeconds, func() { w.fail(errWatchTimeout) })
	w.cancelDial = s.connect(s.cfg.Discovery, now+s.cfg.Settings.ConnectTimeoutS, w, w.fail)
}

// opened asks for the changes since the list that is held.
func (w *watcher) onOpen(c netio.Conn) {
	w.conn = c
	if w.isOver {
		w.sidecar.closeConn(c)
		return
	}
	target := "/v1/endpoints?follow=1"
	if index, ok := w.sidecar.endpoints.Index(); ok {
		w.sinceIndex = index
		target += "&since=" + strconv.FormatUint(index, 10)
	}
	h := http1.Header{{Name: "Host", Value: w.sidecar.cfg.Discovery}}
	c.Write(http1.AppendRequest(nil, "GET", target, h, nil))
}

// traffic takes the lines that have come.
func (w *watcher) onData(data []byte) {
	if w.isOver {
		return
	}
	w.input.Write(data)
	done, err := w.parser.Next(&w.input)
	if err == nil && w.parser.IsHeadComplete() && w.parser.Status != 200 {
		err = errWatchRefused
	}
	if err == nil {
		err = w.handleBody()
	}
	if w.isUp {
		w.sidecar.timers.stop(w.firstObjectTimer)
	}
	if err == nil && w.parser.IsHeadComplete() { // an empty line, too, says that the list is as it was
		w.sidecar.discovery.listReadAt = w.sidecar.now()
		_, held := w.sidecar.endpoints.Index()
		w.sidecar.discovery.isListRead = w.sidecar.discovery.isListRead || held && w.isUp
	}
	if err == nil && done {
		err = errWatchEnded
	}
	if err != nil {
		w.fail(err)
		return
	}
	if w.parser.IsHeadComplete() {
		w.sidecar.timers.stop(w.dataTimer)
		w.dataTimer = w.sidecar.timers.schedule(w.sidecar.now()+watchTimeoutSeconds, func() { w.fail(errWatchTimeout) })
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
			w.sidecar.noticeMalformedList(err)
			return err
		}
	}
}

// handleHeartbeat handles an empty line. The first one tells the decisions that the watch is up.
func (w *watcher) handleHeartbeat() {
	if !w.isUp {
		w.isUp = true
		w.sidecar.pushEndpoints(policy.ListDelta, nil)
	}
	if w.sidecar.discovery.relay.observer != nil {
		index, held := w.sidecar.endpoints.Index()
		w.sidecar.discovery.relay.observer.ListRead(index, held, nil)
	}
}

// handleObject handles an object with a list or with changes. The first one tells the decisions that the watch is up.
func (w *watcher) handleObject(object []byte) error {
	if w.sidecar.discovery.relay.observer != nil {
		return w.handleRelayedObject(object)
	}
	w.isUp = true
	return w.sidecar.applyListObject(object)
}

// pass takes an object that is passed on. Danger: others may have passed on a later one meanwhile. Changes are in that already; a
// whole list of a lower index is of a service that counts anew, unless the list was not held yet when it was asked for.
func (w *watcher) handleRelayedObject(object []byte) error {
	s := w.sidecar
	before, held := s.endpoints.Index()
	index, snapshot, err := endpointset.ParseHeader(object)
	if err != nil {
		return err
	}
	if held && index < before {
		switch {
		case !snapshot:
			object = nil
		case w.sinceIndex != before:
			return ErrStaleList // it is asked anew, by the list that is held
		}
	}
	if w.isUp = true; object == nil {
		s.pushEndpoints(policy.ListDelta, nil)
		return nil
	}
	if err := s.applyListObject(object); err != nil {
		return err
	}
	s.discovery.relay.observer.ListRead(before, held, object)
	return nil
}

// stop ends a watch without a word.
func (w *watcher) stop() {
	w.isOver = true
	w.sidecar.timers.stop(w.dataTimer)
	w.sidecar.timers.stop(w.firstObjectTimer)
	w.cancelDial()
	w.sidecar.closeConn(w.conn)
	if w.sidecar.discovery.watcher == w {
		w.sidecar.discovery.watcher = nil
	}
}

// fail ends a watch that brings nothing more. The decisions ask again; where they never ask, since the
// list comes unasked, the sidecar does.
func (w *watcher) fail(err error) {
	if w.isOver {
		return
	}
	s := w.sidecar
	w.stop()
	if s.lifecycle.isStopping {
		return
	}
	s.counters.WatchesFailed++
	s.log.Debug("watch failed", "error", err)
	if s.discovery.relay.observer != nil {
		if w.isUp {
			s.discovery.relay.observer.WatchEnded()
		}
		if s.discovery.relay.hasDirectWatch {
			s.timers.schedule(s.now()+maxRewatchSeconds, s.restartDirectWatch)
		}
		if s.discovery.relay.isActive { // what others pass on takes its place
			return
		}
	}
	s.requestWatch()
}

// askAgain has another watch begun in place of one that is over.
func (s *Sidecar) requestWatch() {
	if s.cfg.Settings.Policy.ListOnDemand {
		s.pushEndpoints(policy.ListFailed, nil)
		return
	}
	s.timers.schedule(s.now()+s.rewatchDelay(), s.ensureWatch)
}

// rewatchWait returns how long a watch that the decisions never ask for stays away after it has failed.
func (s *Sidecar) rewatchDelay() float64 {
	if grace := s.cfg.Settings.Policy.DrainGraceSeconds; grace > 0 {
		return min(maxRewatchSeconds, rewatchGraceFraction*grace)
	}
	return maxRewatchSeconds
}

// ended takes the end of the connection.
func (w *watcher) onClose(err error) {
	w.conn = nil
	if err == nil {
		err = errWatchEnded
	}
	w.fail(err)
}
