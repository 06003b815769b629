package sidecar

// requestTable holds the requests that are open, or answered with attempts still under way.
type requestTable struct {
	byID       map[uint32]*request
	byClientID map[string]*request
	nextID     uint32 // the first to be tried
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint32]*request{}, byClientID: map[string]*request{}, nextID: 1}
}

// add gives a request an ID that is not in use, and keeps it. IDs wrap around, and 0 is none.
func (t *requestTable) add(r *request) {
	for t.byID[t.nextID] != nil || t.nextID == 0 {
		t.nextID++
	}
	r.id = t.nextID
	t.nextID++
	t.byID[r.id], t.byClientID[r.clientID] = r, r
}

// remove drops a request; one that was dropped before, and whose ID another may have by now, is left alone.
func (t *requestTable) remove(r *request) {
	if t.byID[r.id] == r {
		delete(t.byID, r.id)
		t.releaseClientID(r)
	}
}

// releaseClientID lets another request use the client's ID of this one, unless one does already.
func (t *requestTable) releaseClientID(r *request) {
	if t.byClientID[r.clientID] == r {
		delete(t.byClientID, r.clientID)
	}
}

// isOpen reports whether a request holds a client's ID.
func (t *requestTable) isOpen(clientID string) bool { return t.byClientID[clientID] != nil }

// len returns how many requests are held, by whichever ID more are.
func (t *requestTable) len() int { return max(len(t.byID), len(t.byClientID)) }
