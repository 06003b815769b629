package virtual

import "math"

// item is something that has come for a process: on a connection, or a connection to accept.
type readyItem struct {
	conn     *Conn
	listener *listener
}

// Stall keeps the loop from turning before a time. What comes waits, and is then handed over as one batch.
func (p *Process) Stall(until float64) {
	p.stalledUntil = max(p.stalledUntil, until)
}

// Thaw ends a Stall at once.
func (p *Process) EndStall() {
	p.stalledUntil = 0
	if !p.ended && p.handler != nil && !p.inTurn { // a turn that waits for the stall's end would come too late
		p.turnScheduled = true
		p.network.schedule(max(p.network.now, p.busyUntil), scheduledEvent{kind: turnEvent, process: p})
	}
}

// Post has f called after the present call, and after what else has come for this turn of the loop.
func (p *Process) Post(f func()) {
	if p.ended {
		return
	}
	p.posts = append(p.posts, f)
	p.scheduleTurn()
}

// Yield has f called once a turn has handed over all that had come: this turn where its connections are still being gone
// through, else the next. Danger: run with the posts it would come before bytes that had come while these took their time.
func (p *Process) Yield(f func()) {
	if p.ended {
		return
	}
	p.yields = append(p.yields, f)
	p.scheduleTurn()
}

// runYields calls what was asked for before now.
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

// SetAlarm asks for one call at a time, in place of what was asked for before.
func (p *Process) SetAlarm(at float64) {
	p.localAlarmAt = at
	p.scheduleAlarm(p.clock.networkTime(at))
}

func (p *Process) scheduleAlarm(at float64) {
	if p.alarmAt = at; at < p.alarmEventAt && !p.ended {
		p.alarmEventAt = max(at, p.network.now)
		p.network.schedule(at, scheduledEvent{kind: alarmEvent, process: p})
	}
}

// alarm takes an alarm's time.
func (p *Process) handleAlarmEvent() {
	if p.ended || p.network.now < p.alarmEventAt {
		return // one that was asked for earlier has come in between
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

// wake has the loop turn, as soon as it can.
func (p *Process) scheduleTurn() {
	if p.turnScheduled || p.inTurn || p.ended || p.handler == nil {
		return
	}
	at := p.network.now
	if p.options.MaxWakeDelaySeconds > 0 {
		at += p.options.MaxWakeDelaySeconds * p.network.rand.Float64()
	}
	p.turnScheduled = true
	p.network.schedule(max(at, p.busyUntil, p.stalledUntil), scheduledEvent{kind: turnEvent, process: p})
}

// called notes that a call of the host is over.
func (p *Process) addCallTime() { p.turnSeconds += p.options.CallSeconds }

// turn is one turn of the loop: connections, then posts, then the alarm.
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

// mostPosts bounds the posts of one turn: a post that posts itself must not keep the world from going on.
const maxPostsPerTurn = 4096

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
