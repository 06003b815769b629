package load

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"hazelwheel/internal/lab/rawsocket"
)

const (
	// lookEvery is the time between two looks for requests whose client has lost patience and links to open again.
	lookEvery = 20 * time.Millisecond
	// dialAgain is how long a link that could not be opened rests.
	dialAgain = 10 * time.Millisecond
	// mostNew is how many connections for one request each a thread holds at most; the requests beyond them wait.
	mostNew = 2000
	// readyWithin is how long the kept links have to come up before the run begins.
	readyWithin = 5 * time.Second
)

// worker is one thread with its own links, poll and figures.
type worker struct {
	plan     *Plan
	index    int
	ctx      context.Context
	to       netip.AddrPort
	rng      *rand.Rand
	began    time.Time
	length   time.Duration
	closed   bool // loop: each link asks again
	arrivals arrivals
	next     time.Duration // when the next request is due
	more     bool          // there is a next one

	poll    int
	links   map[int32]*link // by socket
	kept    []*link
	idle    []*link
	fresh   int   // connections for one request each that are open or being opened
	waiting []job // due, and no link was free
	waitNew []job
	later   retries // by when they are due
	out     int     // requests that are sent and not answered
	lookAt  time.Duration
	overdue int           // links that are listened to though their client has given up
	polled  time.Duration // when the sockets were looked at last
	gap     time.Duration // how long before that they had been looked at

	shares  []float64 // of the classes, added up
	request [][]byte  // of each class, with an id to be written at idAt; behind the classes' first tries, their retries
	idAt    []int
	keyAt   []int
	buf     []byte
	result  *Result
}

func newWorker(ctx context.Context, p *Plan, index int) (*worker, error) {
	w := &worker{plan: p, index: index, ctx: ctx, length: p.Length(), closed: len(p.Stages) == 0, links: map[int32]*link{},
		rng: rand.New(rand.NewPCG(p.Seed, uint64(index))), buf: make([]byte, 128<<10), result: newResult(p)}
	var err error
	if w.to, err = netip.ParseAddrPort(p.Target); err != nil {
		return nil, err
	}
	n := p.Links / p.Threads
	if index < p.Links%p.Threads {
		n++
	}
	for range n {
		w.kept = append(w.kept, &link{fd: -1, kept: true})
	}
	total := 0.0
	for _, c := range p.Classes {
		total += c.Share
		w.shares = append(w.shares, total)
		w.template(c, "")
	}
	for _, c := range p.Classes {
		w.template(c, "Client-Retry: 1\r\n")
	}
	w.arrivals = arrivals{stages: p.Stages, share: 1 / float64(p.Threads), gap: func(mean float64) float64 { return mean }}
	if p.Poisson {
		w.arrivals.gap = func(mean float64) float64 { return mean * w.rng.ExpFloat64() }
	} else if index > 0 && len(p.Stages) > 0 {
		// The threads' even arrivals are set off against each other, so that together they are even, too.
		first := true
		w.arrivals.gap = func(mean float64) float64 {
			if first {
				first = false
				return mean * float64(index) / float64(p.Threads)
			}
			return mean
		}
	}
	w.poll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	return w, err
}

// template prepares a class's request, with a header field more.
func (w *worker) template(c Class, field string) {
	method := "POST"
	if c.Safe {
		method = "GET"
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: service.internal\r\n%sRequest-Timeout: %dm\r\nRequest-Id: ",
		method, c.Name, field, w.plan.Patience.Milliseconds())
	w.idAt = append(w.idAt, len(text))
	text += "0000000000000000\r\n"
	key := -1
	if c.Keyed {
		text += "Idempotency-Key: "
		key = len(text)
		text += "0000000000000000\r\n"
	}
	w.keyAt = append(w.keyAt, key)
	if c.Safe {
		text += "\r\n"
	} else {
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n", w.plan.Body)
	}
	b := []byte(text)
	if !c.Safe {
		for range w.plan.Body {
			b = append(b, 'x')
		}
	}
	w.request = append(w.request, b)
}

func (w *worker) now() time.Duration { return time.Since(w.began) }

// run sends until the plan's time is over and then waits for what is out, no longer than the client's patience.
func (w *worker) run(start <-chan time.Time, ready chan<- struct{}) {
	runtime.LockOSThread() // the poll's short waits need a thread whose timers are exact
	defer runtime.UnlockOSThread()
	_ = unix.Prctl(unix.PR_SET_TIMERSLACK, 1, 0, 0, 0)
	defer w.shut()
	w.began = time.Now()
	for _, l := range w.kept {
		w.open(l)
	}
	// Danger: with the clock at nought links that come up are not put to work yet; see wake.
	w.more = false
	for until := w.now() + readyWithin; w.now() < until && w.countOpening() > 0 && w.ctx.Err() == nil; {
		w.turn(until)
	}
	ready <- struct{}{}
	w.began = <-start
	for _, l := range w.kept {
		l.again = 0 // what was noted before is of another clock
	}
	w.turnUntil(0)
	w.next, w.more = w.arrivals.next()
	if w.closed {
		for _, l := range append([]*link(nil), w.idle...) {
			w.wake(l)
		}
	}
	for w.ctx.Err() == nil {
		now := w.now()
		for w.more && w.next <= now {
			w.offer(w.next)
			w.next, w.more = w.arrivals.next()
		}
		// Danger: looked at before, a client that was stopped over the end would leave out what was due meanwhile.
		// A request that is sent once more is not out while its connection is opened.
		if now >= w.length && (w.out == 0 && w.fresh == 0 && w.overdue == 0 && len(w.waiting) == 0 && len(w.waitNew) == 0 && len(w.later) == 0 || now >= w.last()) {
			break
		}
		for len(w.later) > 0 && w.later[0].sent <= now {
			w.begin(heap.Pop(&w.later).(job))
		}
		if now >= w.lookAt {
			w.look(now)
			w.lookAt = now + lookEvery
		}
		until := w.lookAt
		if w.more {
			until = min(until, w.next)
		}
		if len(w.later) > 0 {
			until = min(until, w.later[0].sent)
		}
		w.turn(until)
	}
	w.abandon()
}

// turnUntil handles what comes until a time of the run.
func (w *worker) turnUntil(at time.Duration) {
	for now := w.now(); now < at && w.ctx.Err() == nil; now = w.now() {
		w.turn(at)
	}
}

func (w *worker) countOpening() (n int) {
	for _, l := range w.kept {
		if l.state == opening {
			n++
		}
	}
	return n
}

// turn waits for sockets until a time of the run at the latest, and handles what they say.
func (w *worker) turn(until time.Duration) {
	var events [256]unix.EpollEvent
	wait := unix.NsecToTimespec(max(int64(until-w.now()), 0))
	n, _, errno := unix.Syscall6(unix.SYS_EPOLL_PWAIT2, uintptr(w.poll), uintptr(unsafe.Pointer(&events[0])),
		uintptr(len(events)), uintptr(unsafe.Pointer(&wait)), 0, 0)
	if w.plan.Slack > 0 {
		now := w.now()
		w.gap, w.polled = now-w.polled, now
	}
	if errno != 0 {
		return // interrupted by a signal
	}
	for _, e := range events[:n] {
		if l := w.links[e.Fd]; l != nil {
			w.event(l, e.Events)
		}
	}
}

// offer takes up a request that is due.
func (w *worker) offer(due time.Duration) {
	j := job{due: due, class: w.class(), sent: due, id: w.rng.Uint64()}
	w.result.offered(j.class, due)
	w.begin(j)
}

// begin takes up a try of a request.
func (w *worker) begin(j job) {
	if w.plan.New > 0 && w.rng.Float64() < w.plan.New {
		w.waitNew = append(w.waitNew, j)
		w.openNew()
		return
	}
	if l := w.free(); l != nil {
		_ = w.result.late.RecordValue(max(int64((w.now()-j.sent)/time.Microsecond), 1))
		w.send(l, j)
		return
	}
	w.waiting = append(w.waiting, j)
}

func (w *worker) class() int {
	if len(w.shares) == 1 {
		return 0
	}
	x := w.rng.Float64() * w.shares[len(w.shares)-1]
	for i, s := range w.shares {
		if x < s {
			return i
		}
	}
	return len(w.shares) - 1
}

// free takes the kept link that was used last of those that are free.
func (w *worker) free() *link {
	for n := len(w.idle); n > 0; n = len(w.idle) {
		l := w.idle[n-1]
		w.idle = w.idle[:n-1]
		if l.state == idle {
			return l
		}
	}
	return nil
}

// wake gives a free link its next request, or lays it by.
func (w *worker) wake(l *link) {
	l.state = idle
	switch {
	case w.closed && w.result.BeganMS > 0 && w.now() < w.length:
		j := job{due: w.now(), class: w.class(), id: w.rng.Uint64()}
		j.sent = j.due
		w.result.offered(j.class, j.due)
		w.send(l, j)
	case len(w.waiting) > 0:
		j := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.send(l, j)
	default:
		w.idle = append(w.idle, l)
	}
}

// openNew opens connections for the requests that each want their own.
func (w *worker) openNew() {
	for len(w.waitNew) > 0 && w.fresh < mostNew {
		l := &link{fd: -1, has: true, job: w.waitNew[0]}
		w.waitNew = w.waitNew[1:]
		w.fresh++
		w.open(l)
	}
}

// open begins to open a link.
func (w *worker) open(l *link) {
	fd, err := rawsocket.Dial(w.to, w.plan.From)
	if err == nil {
		err = unix.EpollCtl(w.poll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Fd: int32(fd),
			Events: unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP | edge})
		if err != nil {
			_ = unix.Close(fd) // fails only on a descriptor that is not open
		}
	}
	if err != nil {
		w.result.OpenFailed++
		w.lost(l)
		return
	}
	l.fd, l.state, l.carried = fd, opening, 0
	w.links[int32(fd)] = l
}

const edge = 1 << 31 // EPOLLET, which the package has as a negative number

// event handles what a socket says.
func (w *worker) event(l *link, events uint32) {
	if l.state == opening {
		if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) == 0 {
			return
		}
		if code, err := unix.GetsockoptInt(l.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
			w.result.OpenFailed++
			w.close(l)
			w.lost(l)
			return
		}
		w.result.Opened++
		l.opened = w.now()
		if l.has {
			l.state = idle
			w.send(l, l.job)
		} else {
			w.wake(l)
		}
		if l.state == down {
			return
		}
	}
	if events&unix.EPOLLOUT != 0 && len(l.pending) > 0 {
		w.write(l, l.pending)
	}
	if l.fd >= 0 && events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		w.read(l, events&(unix.EPOLLRDHUP|unix.EPOLLERR|unix.EPOLLHUP) != 0)
	}
}

// send writes a request on a link that is free.
func (w *worker) send(l *link, j job) {
	kind := j.class
	if j.tries > 0 {
		kind += len(w.plan.Classes)
	}
	b := w.request[kind]
	hex(b[w.idAt[kind]:], w.rng.Uint64())
	if at := w.keyAt[kind]; at >= 0 {
		hex(b[at:], j.id)
	}
	j.sent = w.now()
	l.state, l.has, l.job = busy, true, j
	l.reply.reset()
	w.out++
	w.write(l, b)
}

func hex(b []byte, x uint64) {
	const digits = "0123456789abcdef"
	for i := range 16 {
		b[i] = digits[x>>(60-4*i)&15]
	}
}

// write sends what the socket takes and keeps the rest for when it takes more. An error shows at the next read.
func (w *worker) write(l *link, b []byte) {
	n, err := unix.Write(l.fd, b)
	if err != nil {
		n = 0
	}
	if n < len(b) {
		l.pending = append([]byte(nil), b[n:]...)
	} else {
		l.pending = nil
	}
}

// read takes what the socket holds; ended says that it may have come to its end.
func (w *worker) read(l *link, ended bool) {
	fd := l.fd
	for l.fd == fd {
		n, err := unix.Read(fd, w.buf)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return
		case err != nil || n == 0:
			w.ended(l)
			return
		}
		switch l.state {
		case busy:
			if l.reply.take(w.buf[:n]) {
				w.answered(l)
			}
		case overdue:
			if l.reply.take(w.buf[:n]) {
				w.heard(l)
			}
		case idle:
			w.surplus(l, w.buf[:n])
		}
		if n < len(w.buf) && !ended {
			return
		}
	}
}

// answered notes a whole answer and frees the link.
func (w *worker) answered(l *link) {
	o := l.reply.outcome()
	if l.reply.odd {
		w.result.Unread++
	}
	last := l.reply.last || l.reply.odd || !l.kept
	if w.plan.Slack > 0 {
		l.answeredAt = w.now()
	}
	w.done(l, o)
	l.carried++
	if len(l.reply.behind) > 0 {
		w.surplus(l, l.reply.behind)
		return
	}
	if last {
		w.close(l)
		w.lost(l)
		return
	}
	w.wake(l)
}

// done notes what came of a link's request.
func (w *worker) done(l *link, o Outcome) {
	w.out--
	l.has = false
	if w.tryAgain(l.job, o, l.reply.after) {
		return
	}
	w.result.ended(l.job.class, l.job.due, w.now(), w.length, o)
}

// tryAgain arranges the next try of a request that came to an outcome; false: there is none. What may have run is tried
// again where it may run twice.
func (w *worker) tryAgain(j job, o Outcome, after time.Duration) bool {
	c := &w.plan.Classes[j.class]
	if j.tries >= w.plan.Retries || o == Served || o == Unsent || o != Refused && !c.Safe && !c.Keyed || w.now() >= w.length {
		return false
	}
	wait := w.plan.Backoff << j.tries
	if o == Refused {
		wait = max(wait, after)
	}
	j.tries, j.again, j.tale, j.sent = j.tries+1, false, 0, w.now()+wait
	w.result.Retried++
	heap.Push(&w.later, j)
	return true
}

// last returns when a run is over whatever is out.
func (w *worker) last() time.Duration {
	d := w.length + w.plan.Patience + w.plan.Slack + 2*lookEvery
	if w.plan.Retries > 0 {
		d += longestAfter + w.plan.Patience
	}
	return d
}

// longestAfter is how long a retry is waited for at the end of a run.
const longestAfter = 3 * time.Second

// retries are a heap by time.
type retries []job

func (r retries) Len() int           { return len(r) }
func (r retries) Less(i, j int) bool { return r[i].sent < r[j].sent }
func (r retries) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *retries) Push(x any)        { *r = append(*r, x.(job)) }
func (r *retries) Pop() any {
	x := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return x
}

// ended takes the end of a connection by the other side.
func (w *worker) ended(l *link) {
	was, began, carried, now := l.state, l.reply.any, l.carried, w.now()
	switch {
	case was == overdue && began: // who broke it off, a client alone can't tell
		w.heard(l)
		return
	case was == overdue:
		w.silent(l, now)
		return
	case was == busy && !began:
		w.droppedOn(l, now)
	}
	w.close(l)
	if was == busy {
		if carried > 0 && !began && !l.job.again {
			// The sidecar may close a link that rests, and this crossed the request: it is sent once more on a new one.
			w.out--
			w.result.Resent++
			l.job.again = true
			extra := &link{fd: -1, has: true, job: l.job}
			l.has = false
			w.fresh++
			w.open(extra)
		} else {
			w.done(l, Broken)
		}
	}
	w.lost(l)
}

// close closes a link's socket.
func (w *worker) close(l *link) {
	if l.fd >= 0 {
		delete(w.links, int32(l.fd))
		_ = unix.Close(l.fd) // fails only on a descriptor that is not open
	}
	l.fd, l.state, l.pending = -1, down, nil
}

// lost decides what follows on a link that has no socket: a kept one is opened again, at once if it was up.
func (w *worker) lost(l *link) {
	if !l.kept {
		w.fresh--
		if l.has { // it never came up
			w.result.ended(l.job.class, l.job.due, w.now(), w.length, Unsent)
			l.has = false
		}
		if len(w.waitNew) > 0 {
			w.openNew()
		}
		return
	}
	if l.again = w.now(); l.carried == 0 {
		l.again += dialAgain // Danger: a sidecar that refuses, or closes at once, would be asked without a pause
		return
	}
	l.carried = 0
	if w.wanted() {
		w.open(l)
	}
}

// wanted reports whether there is still work for a link that is opened now.
func (w *worker) wanted() bool { return w.now() < w.length || len(w.waiting) > 0 }

// look opens links again, and ends what the client has waited for in vain.
func (w *worker) look(now time.Duration) {
	for _, l := range w.kept {
		if l.state == down && l.again <= now && w.wanted() {
			w.open(l)
		}
	}
	oldest := now - w.plan.Patience
	for _, l := range w.links {
		switch {
		case l.has && l.job.sent <= oldest:
			w.giveUp(l)
		case l.state == overdue && l.job.sent <= oldest-w.plan.Slack:
			// Danger: a client that was itself stopped finds what came meanwhile only when it reads.
			if w.read(l, true); l.state == overdue {
				w.silent(l, now)
			}
		}
	}
	w.waiting = w.unsent(w.waiting, oldest)
	w.waitNew = w.unsent(w.waitNew, oldest)
}

// giveUp leaves a request as a client does that has waited long enough: it closes the connection.
func (w *worker) giveUp(l *link) {
	sent := l.state == busy
	if sent && w.plan.Slack > 0 && len(l.pending) == 0 {
		w.listen(l)
	} else {
		w.close(l)
	}
	if sent {
		w.done(l, Unanswered)
	}
	w.lost(l)
}

// unsent ends the requests that were due before a time and never found a link, and returns the others.
func (w *worker) unsent(jobs []job, oldest time.Duration) []job {
	i := 0
	for ; i < len(jobs) && jobs[i].sent <= oldest; i++ {
		w.result.ended(jobs[i].class, jobs[i].due, w.now(), w.length, Unsent)
	}
	return jobs[i:]
}

// abandon ends what is left when the run ends.
func (w *worker) abandon() {
	for _, l := range w.links {
		if l.has && l.state == busy {
			w.done(l, Unanswered)
		} else if l.has {
			w.result.ended(l.job.class, l.job.due, w.now(), w.length, Unsent)
		}
	}
	for _, j := range w.later {
		w.result.ended(j.class, j.due, w.now(), w.length, Unsent)
	}
	w.unsent(w.waiting, 1<<62)
	w.unsent(w.waitNew, 1<<62)
}

// shut closes all sockets.
func (w *worker) shut() {
	for _, l := range w.links {
		_ = unix.Close(l.fd) // fails only on a descriptor that is not open
	}
	_ = unix.Close(w.poll) // fails only on a descriptor that is not open
}
