package admission

const (
	// largeHolderDivisor makes a client a large holder that has at least one in so many of all buffered bytes.
	largeHolderDivisor = 4

	// minBodyBufferBytes and maxBodyBufferBytes bound the buffer for a body.
	minBodyBufferBytes = 64 << 10
	maxBodyBufferBytes = 1 << 20
	// bodyDivisor makes the buffer for the next body one in so many of the remaining budget.
	bodyDivisor = 8

	// minFlowBufferBytes and maxFlowBufferBytes bound the buffer for a peer that reads slowly.
	minFlowBufferBytes = 16 << 10
	maxFlowBufferBytes = 128 << 10
	// flowsDivisor makes the buffers for all slow readers together one in so many of the budget.
	flowsDivisor = 4
)

// SetBufferedBytes notes how many bytes are buffered for a connection: received without a complete request, or written and not sent.
func (t *ConnTable) SetBufferedBytes(conn *Conn, bytes int) {
	change := bytes - conn.bufferedBytes
	t.bufferedBytes += change
	conn.client.bufferedBytes += change
	if conn.isBufferReclaimable() {
		t.addReclaimable(conn.client, change)
	}
	conn.bufferedBytes = bytes
}

// BufferedBytes returns how many bytes are buffered for all connections.
func (t *ConnTable) BufferedBytes() int { return t.bufferedBytes }

// isBufferReclaimable returns whether the connection could be closed to free its buffer: its bytes are not those of a request in
// flight.
func (c *Conn) isBufferReclaimable() bool { return c.state == StateReading || c.state == StateWriting }

// addReclaimable changes a client's reclaimable bytes.
func (t *ConnTable) addReclaimable(c *client, bytes int) {
	c.reclaimableBytes += bytes
	if c.reclaimableBytes > 0 {
		t.clientsByReclaimable.push(byReclaimable{c})
	} else {
		t.clientsByReclaimable.remove(byReclaimable{c})
	}
}

// BufferVictim returns the connection to be closed while more than MaxBufferedBytes are buffered: of the client with the most
// reclaimable bytes, the oldest that is reading or the oldest that is writing, whichever has more. It returns nil if the
// budget is kept or nothing is reclaimable.
func (t *ConnTable) BufferVictim() *Conn {
	budget := t.settings.MaxBufferedBytes
	if budget == 0 || t.bufferedBytes <= budget || t.clientsByReclaimable.len() == 0 {
		return nil
	}
	c := t.clientsByReclaimable.first()
	reading, writing := c.byState[StateReading].first, c.byState[StateWriting].first
	if reading == nil || writing != nil && writing.bufferedBytes > reading.bufferedBytes {
		return writing
	}
	return reading
}

// IsOverBufferBudget returns whether a new request of a connection must be rejected for lack of buffers: more than MaxBufferedBytes are
// buffered and its client is a large holder, or more than twice as many are.
func (t *ConnTable) IsOverBufferBudget(conn *Conn) bool {
	budget := t.settings.MaxBufferedBytes
	if budget <= 0 || t.bufferedBytes <= budget {
		return false
	}
	return largeHolderDivisor*conn.client.bufferedBytes >= t.bufferedBytes || t.bufferedBytes > 2*budget
}

// BodyBufferBytes returns how many bytes of a body may be buffered, while bufferedBytes of the budget are in use, before the rest is
// forwarded as it arrives. A body that is buffered completely can be sent again in a retry. A budget of 0 has no limit.
//
// Danger: a fixed buffer would be too small for one large body or too large for a hundred.
func BodyBufferBytes(bufferedBytes, budget int) int {
	if budget <= 0 {
		return maxBodyBufferBytes
	}
	return min(max((budget-bufferedBytes)/bodyDivisor, minBodyBufferBytes), maxBodyBufferBytes)
}

// FlowBufferBytes returns how many bytes may be buffered for each of so many peers that read slowly. A budget of 0 has no limit.
func FlowBufferBytes(flows, budget int) int {
	if budget <= 0 || flows == 0 {
		return maxFlowBufferBytes
	}
	return min(max(budget/flowsDivisor/flows, minFlowBufferBytes), maxFlowBufferBytes)
}
