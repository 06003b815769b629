package admission

// Hold notes how many bytes a link holds that have come and are no request yet, or are written and not sent.
func (r *ConnTable) SetBufferedBytes(l *Conn, bytes int) {
	r.bytes += bytes - l.bytes
	l.client.held += bytes - l.bytes
	if l.owedNothing() {
		r.fatten(l.client, bytes-l.bytes)
	}
	l.bytes = bytes
}

// owedNothing tells whether what a link holds is no request that is out.
func (l *Conn) owedNothing() bool { return l.state == StateReading || l.state == StateWriting }

// fatten notes a change of what an address's links hold that are owed nothing.
func (r *ConnTable) fatten(a *address, bytes int) {
	if a.fat += bytes; a.fat > 0 {
		r.fat.put(fatness{a})
	} else {
		r.fat.drop(fatness{a})
	}
}

// Heavy returns the link to be closed since all together hold too much: of the address whose links that are owed nothing
// hold most, the one that has been longest in its state, or holds more. Nil: they do not, or none is owed nothing.
func (r *ConnTable) BufferVictim() *Conn {
	if r.s.MaxBufferedBytes == 0 || r.bytes <= r.s.MaxBufferedBytes || r.fat.len() == 0 {
		return nil
	}
	a := r.fat.first()
	part, unread := a.own[StateReading].first, a.own[StateWriting].first
	if part == nil || unread != nil && unread.bytes > part.bytes {
		return unread
	}
	return part
}

// Full tells whether links hold so much that no new request of a link should be taken up: its client holds a good part of
// all, or all hold far too much.
func (r *ConnTable) IsOverBufferBudget(l *Conn) bool {
	return r.s.MaxBufferedBytes > 0 && r.bytes > r.s.MaxBufferedBytes && (fullPart*l.client.held >= r.bytes || r.bytes > 2*r.s.MaxBufferedBytes)
}
