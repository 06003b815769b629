package admission

// Each connection is in two lists. These are the indices in Conn.links.
const (
	tableList  = iota // a list of ConnTable.byState
	clientList        // a list of client.byState
)

// links are a connection's neighbours in a list.
type links struct{ previous, next *Conn }

// list is a doubly linked list of connections. Any connection can be removed in constant time.
type list struct {
	first, last *Conn
	length      int
	linksIndex  int // tableList or clientList
}

// append adds a connection at the end.
func (t *list) append(conn *Conn) {
	conn.links[t.linksIndex] = links{previous: t.last}
	if t.last != nil {
		t.last.links[t.linksIndex].next = conn
	} else {
		t.first = conn
	}
	t.last = conn
	t.length++
}

// insertBySince inserts a connection in order of Conn.since. It takes linear time, which is acceptable since it is only used for
// the few connections of a client that becomes known or unknown.
func (t *list) insertBySince(conn *Conn) {
	previous := t.last
	for previous != nil && previous.since > conn.since {
		previous = previous.links[t.linksIndex].previous
	}
	if previous == t.last {
		t.append(conn)
		return
	}
	neighbours := links{previous: previous}
	if previous == nil {
		neighbours.next = t.first
		t.first = conn
	} else {
		neighbours.next = previous.links[t.linksIndex].next
		previous.links[t.linksIndex].next = conn
	}
	neighbours.next.links[t.linksIndex].previous = conn
	conn.links[t.linksIndex] = neighbours
	t.length++
}

// remove removes a connection, which must be in the list.
func (t *list) remove(conn *Conn) {
	neighbours := conn.links[t.linksIndex]
	if neighbours.previous != nil {
		neighbours.previous.links[t.linksIndex].next = neighbours.next
	} else {
		t.first = neighbours.next
	}
	if neighbours.next != nil {
		neighbours.next.links[t.linksIndex].previous = neighbours.previous
	} else {
		t.last = neighbours.previous
	}
	conn.links[t.linksIndex] = links{}
	t.length--
}
