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
	// watchHeadTimeoutSeconds is how long discovery may take to start its response. It handles calls one at a time and drops those that
	// wait too long.
	watchHeadTimeoutSeconds = 3.0
	// watchTimeoutSeconds is how long a watch may be silent; discovery sends an empty line every 2 s while nothing changes. A change counts as
	// delivered 6 s after a watch fell silent, so within that time another call must have been answered.
	watchTimeoutSeconds = 3.0
	// maxListBytes bounds one list or delta from discovery.
	maxListBytes = 8 << 20
	// maxRewatchSeconds bounds the delay before a failed watch is restarted where the policy does not request watches.
	maxRewatchSeconds = 1.0
	// rewatchGraceFraction bounds that delay too, as a fraction of the time for which a draining server may still be sent requests: where
	// lists are pushed, a change counts as delivered at once, even if no watch is open.
	rewatchGraceFraction = 0.25
)

var (
	errWatchTimeout = errors.New("watch timed out")
	errWatchRefused = errors.New("watch refused")
	errWatchEnded   = errors.New("watch ended")
)

// watcher is a watch of discovery's endpoint list.
type watcher struct {
	sidecar          *Sidecar
	conn             netio.Conn
	cancelDial       func()
	input            http1.Buffer
	parser           http1.ResponseParser
	scanner          endpointset.StreamScanner // splits the response's body into objects and heartbeats
	dataTimer        *timer
	firstObjectTimer *timer // runs until the first complete object or heartbeat
	isOver           bool
	isUp             bool   // an object or a heartbeat has arrived
	sinceIndex       uint64 // index of the list when the changes since then were requested
}

// ensureWatch starts a watch, unless there is one. If one is up, or a relay replaces it, the policy is notified at once.
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
		// Discovery handles calls one at a time; a call that is restarted would go to the end of its queue.
		return
	}
	now := s.now()
	w := &watcher{sidecar: s, parser: http1.NewResponseParser(http1.Limits{HeadBytes: MaxHeadBytes, BufferedBodyBytes: maxListBytes})}
	s.discovery.watcher = w
	s.counters.Watches++
	w.dataTimer = s.timers.schedule(now+watchHeadTimeoutSeconds, func() { w.fail(errWatchTimeout) })
	// A first object that arrives byte by byte would forever keep the watch from being up and from being restarted.
	w.firstObjectTimer = s.timers.schedule(now+watchHeadTimeoutSeconds+watchTimeoutSeconds, func() { w.fail(errWatchTimeout) })
	w.cancelDial = s.connect(s.cfg.Discovery, now+s.cfg.Settings.ConnectTimeoutS, w, w.fail)
}

// onOpen implements connHandler: it requests the changes since the present list.
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

// onData implements connHandler: it reads objects and heartbeats.
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
	if err == nil && w.parser.IsHeadComplete() { // a heartbeat, too, confirms the list
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

// handleBody handles the objects and heartbeats that have arrived completely. The error of a malformed object ends the watch; the present
// list stays in use.
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
			w.sidecar.warnMalformedList(err)
			return err
		}
	}
}

// handleHeartbeat handles an empty line. If it is the first message of the watch, the policy is notified that the watch is up.
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

// handleObject applies a list or delta. The policy takes it as a sign that the watch is up.
func (w *watcher) handleObject(object []byte) error {
	if w.sidecar.discovery.relay.observer != nil {
		return w.handleRelayedObject(object)
	}
	w.isUp = true
	return w.sidecar.applyListObject(object)
}

// handleRelayedObject handles an object that the observer relays to the fleet. The fleet may have relayed a later list meanwhile, which
// then includes the changes of an older delta. A complete list with a lower index means that the service has restarted its numbering,
// unless it was requested since an older index or without a list.
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
			return ErrStaleList // the watch restarts from the present index
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

// stop closes a watch without reporting its end.
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

// fail ends a watch after an error or its regular end, and requests another unless a relay replaces it.
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
		if s.discovery.relay.isActive { // the relay takes its place
			return
		}
	}
	s.requestWatch()
}

// requestWatch replaces a watch that has ended. Where lists are requested on demand, the policy decides when; otherwise the sidecar starts
// one after a delay.
func (s *Sidecar) requestWatch() {
	if s.cfg.Settings.Policy.ListOnDemand {
		s.pushEndpoints(policy.ListFailed, nil)
		return
	}
	s.timers.schedule(s.now()+s.rewatchDelay(), s.ensureWatch)
}

// rewatchDelay returns the seconds after which a failed watch is restarted where the policy does not request watches.
func (s *Sidecar) rewatchDelay() float64 {
	if grace := s.cfg.Settings.Policy.DrainGraceSeconds; grace > 0 {
		return min(maxRewatchSeconds, rewatchGraceFraction*grace)
	}
	return maxRewatchSeconds
}

// onClose implements connHandler.
func (w *watcher) onClose(err error) {
	w.conn = nil
	if err == nil {
		err = errWatchEnded
	}
	w.fail(err)
}
