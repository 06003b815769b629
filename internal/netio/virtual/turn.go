package virtual

import "math"

// readyItem is work for a turn of the event loop: a connection to handle, or a listener with a connection to accept.
type readyItem struct {
	conn     *Conn
	listener *listener
}

// Stall suspends the event loop until a time. Everything that arrives meanwhile is handled in one turn after it.
func (p *Process) Stall(until float64) {
	p.stalledUntil = max(p.stalledUntil, until)
}

// EndStall ends a Stall at once.
func (p *Process) EndStall() {
	p.stalledUntil = 0
	if !p.ended && p.handler != nil && !p.inTurn { // a turn that is already scheduled for the end of the stall would come too late
		p.turnScheduled = true
		p.network.enqueueEvent(max(p.network.now, p.busyUntil), scheduledEvent{kind: turnEvent, process: p})
	}
}

// Post implements netio.EventLoop: f is called at the end of the current turn, or in the next one.
func (p *Process) Post(f func()) {
	if p.ended {
		return
	}
	p.posts = append(p.posts, f)
	p.scheduleTurn()
}

// Yield implements netio.EventLoop: f is called after the ready connections of the current turn, or of the next one if the current ones
// have been handled. Danger: if it were called with the posts, it would precede bytes that arrive while earlier posts are running.
func (p *Process) Yield(f func()) {
	if p.ended {
		return
	}
	p.yields = append(p.yields, f)
	p.scheduleTurn()
}

// runYields calls the functions given to Yield so far.
func (p *Process) runYields() {
	due := p.yields
	p.yields = nil
	for _, f := range due {
		if p.ended || p.stopping {
			return
		}
		f()
		p.addCallTime()
	}
}

// SetAlarm implements netio.EventLoop.
func (p *Process) SetAlarm(at float64) {
	p.localAlarmAt = at
	p.scheduleAlarm(p.clock.networkTime(at))
}

// scheduleAlarm sets the alarm to a time of the network, and schedules an event for it unless an earlier one is in the queue.
func (p *Process) scheduleAlarm(at float64) {
	if p.alarmAt = at; at < p.alarmEventAt && !p.ended {
		p.alarmEventAt = max(at, p.network.now)
		p.network.enqueueEvent(at, scheduledEvent{kind: alarmEvent, process: p})
	}
}

// handleAlarmEvent handles an alarmEvent: it makes the next turn call the handler, or schedules another event if the alarm was moved to a
// later time.
func (p *Process) handleAlarmEvent() {
	if p.ended || p.network.now < p.alarmEventAt {
		return // another event was scheduled for an earlier time and has replaced this one
	}
	p.alarmEventAt = math.Inf(1)
	switch {
	case math.IsNaN(p.alarmAt):
	case p.alarmAt > p.network.now:
		p.scheduleAlarm(p.alarmAt)
	default:
		p.alarmDue = true
		p.scheduleTurn()
	}
}

// scheduleTurn schedules a turn of the event loop unless one is scheduled. It starts as soon as the wake-up delay, a stall and the duration
// of the last turn's calls allow.
func (p *Process) scheduleTurn() {
	if p.turnScheduled || p.inTurn || p.ended || p.handler == nil {
		return
	}
	at := p.network.now
	if p.options.MaxWakeDelaySeconds > 0 {
		at += p.options.MaxWakeDelaySeconds * p.network.rand.Float64()
	}
	p.turnScheduled = true
	p.network.enqueueEvent(max(at, p.busyUntil, p.stalledUntil), scheduledEvent{kind: turnEvent, process: p})
}

// addCallTime adds the simulated duration of one call of the handler to the turn.
func (p *Process) addCallTime() { p.turnSeconds += p.options.CallSeconds }

// runTurn runs one turn of the event loop. It handles the ready connections, the yields, the posts and the alarm, in this order.
func (p *Process) runTurn() {
	p.turnScheduled = false
	if p.ended {
		return
	}
	if p.stalledUntil > p.network.now {
		p.scheduleTurn()
		return
	}
	p.inTurn = true
	if !p.started {
		p.started = true
		p.network.hashCall(p.networkTime(), StateChanged, p, 0, nil)
		p.handler.Start()
		p.addCallTime()
		p.runPosts()
	}
	p.batch, p.ready = p.ready, p.batch[:0]
	if p.options.Shuffle && len(p.batch) > 1 {
		p.network.rand.Shuffle(len(p.batch), func(i, j int) { p.batch[i], p.batch[j] = p.batch[j], p.batch[i] })
	}
	for i := 0; i < len(p.batch) && !p.ended && !p.stopping; i++ {
		if t := p.batch[i]; t.listener != nil {
			p.accept(t.listener)
		} else {
			t.conn.handleReady()
		}
	}
	p.runYields()
	p.runPosts()
	if p.alarmDue && !p.ended && !p.stopping {
		p.alarmDue = false
		if p.alarmAt <= p.networkTime() {
			p.alarmAt = math.NaN()
			p.network.hashCall(p.networkTime(), AlarmFired, p, 0, nil)
			p.handler.Alarm()
			p.addCallTime()
			p.runPosts()
		} else if p.alarmAt > p.networkTime() {
			p.scheduleAlarm(p.alarmAt)
		}
	}
	if p.stopping && !p.ended {
		p.exit()
	}
	p.busyUntil, p.turnSeconds, p.inTurn = p.network.now+p.turnSeconds, 0, false
	if len(p.ready) > 0 || len(p.posts) > 0 || len(p.yields) > 0 {
		p.scheduleTurn()
	}
}

// maxPostsPerTurn bounds the posts of one turn, so that a post that posts itself does not block the simulation.
const maxPostsPerTurn = 4096

// runPosts calls the posted functions, including those that they post.
func (p *Process) runPosts() {
	done := 0
	for ; done < len(p.posts) && done < maxPostsPerTurn && !p.ended && !p.stopping; done++ {
		f := p.posts[done]
		p.posts[done] = nil
		f()
		p.addCallTime()
	}
	if done == len(p.posts) {
		p.posts = p.posts[:0]
	} else if done > 0 && len(p.posts) > 0 {
		p.posts = append(p.posts[:0], p.posts[done:]...)
	}
}
