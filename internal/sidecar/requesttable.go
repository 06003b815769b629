package sidecar

// requestTable holds the open requests, and answered ones with attempts still in flight.
type requestTable struct {
	byID       map[uint32]*request
	byClientID map[string]*request
	nextID     uint32 // the first ID to try
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint32]*request{}, byClientID: map[string]*request{}, nextID: 1}
}

// add assigns an unused ID to a request and adds it. IDs wrap around and are never 0.
func (t *requestTable) add(r *request) {
	for t.byID[t.nextID] != nil || t.nextID == 0 {
		t.nextID++
	}
	r.id = t.nextID
	t.nextID++
	t.byID[r.id], t.byClientID[r.clientID] = r, r
}

// remove removes a request. If it was removed before, nothing happens, even if its ID has been reused.
func (t *requestTable) remove(r *request) {
	if t.byID[r.id] == r {
		delete(t.byID, r.id)
		t.releaseClientID(r)
	}
}

// releaseClientID frees a request's client ID for another request, unless another has already taken it.
func (t *requestTable) releaseClientID(r *request) {
	if t.byClientID[r.clientID] == r {
		delete(t.byClientID, r.clientID)
	}
}

// isOpen reports whether a request with this client ID is open.
func (t *requestTable) isOpen(clientID string) bool { return t.byClientID[clientID] != nil }

// len returns the number of requests in the table. The two maps can differ in size; the larger one counts.
func (t *requestTable) len() int { return max(len(t.byID), len(t.byClientID)) }
