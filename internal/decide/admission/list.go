package admission

// The lists that a link is in.
const (
	ofRoom = iota
	ofAddress
)

// hook is a link's place in a list.
type hook struct{ before, after *Conn }

// list holds links in the order in which they came.
type list struct {
	first, last *Conn
	n           int
	hook        int // which of a link's hooks is this list's
}

func (t *list) put(l *Conn) {
	l.hooks[t.hook] = hook{before: t.last}
	if t.last != nil {
		t.last.hooks[t.hook].after = l
	} else {
		t.first = l
	}
	t.last = l
	t.n++
}

// putBySince puts a link in by the time since which it is in its state. It is for the few that come from another list.
func (t *list) putBySince(l *Conn) {
	after := t.last
	for after != nil && after.since > l.since {
		after = after.hooks[t.hook].before
	}
	if after == t.last {
		t.put(l)
		return
	}
	h := hook{before: after}
	if after == nil {
		h.after, t.first = t.first, l
	} else {
		h.after = after.hooks[t.hook].after
		after.hooks[t.hook].after = l
	}
	h.after.hooks[t.hook].before = l
	l.hooks[t.hook] = h
	t.n++
}

func (t *list) drop(l *Conn) {
	h := l.hooks[t.hook]
	if h.before != nil {
		h.before.hooks[t.hook].after = h.after
	} else {
		t.first = h.after
	}
	if h.after != nil {
		h.after.hooks[t.hook].before = h.before
	} else {
		t.last = h.before
	}
	l.hooks[t.hook] = hook{}
	t.n--
}
