package admission

const (
	// A client that holds at least 1/largeHolderDivisor of all buffered bytes is a large holder.
	largeHolderDivisor = 4

	// minBodyBufferBytes and maxBodyBufferBytes bound the buffer for a body.
	minBodyBufferBytes = 64 << 10
	maxBodyBufferBytes = 1 << 20
	// The buffer for the next body is 1/bodyDivisor of the remaining budget.
	bodyDivisor = 8

	// minFlowBufferBytes and maxFlowBufferBytes bound the buffer for a peer that reads slowly.
	minFlowBufferBytes = 16 << 10
	maxFlowBufferBytes = 128 << 10
	// The buffers for all slow readers together are 1/flowsDivisor of the budget.
	flowsDivisor = 4
)

// SetBufferedBytes records how many bytes are buffered for a connection: received parts of an incomplete request, or written data
// that has not been sent.
func (t *ConnTable) SetBufferedBytes(conn *Conn, bytes int) {
	change := bytes - conn.bufferedBytes
	t.bufferedBytes += change
	conn.client.bufferedBytes += change
	if conn.isBufferReclaimable() {
		t.addReclaimable(conn.client, change)
	}
	conn.bufferedBytes = bytes
}

// BufferedBytes returns how many bytes are buffered for all connections together.
func (t *ConnTable) BufferedBytes() int { return t.bufferedBytes }

// isBufferReclaimable returns whether the connection could be closed to free its buffer, since it has no request in flight.
func (c *Conn) isBufferReclaimable() bool { return c.state == StateReading || c.state == StateWriting }

// addReclaimable adds bytes, which may be negative, to a client's reclaimable bytes.
func (t *ConnTable) addReclaimable(c *client, bytes int) {
	c.reclaimableBytes += bytes
	if c.reclaimableBytes > 0 {
		t.clientsByReclaimable.push(byReclaimable{c})
	} else {
		t.clientsByReclaimable.remove(byReclaimable{c})
	}
}

// BufferVictim returns the connection to be closed while more than MaxBufferedBytes are buffered. It belongs to the client with
// the most reclaimable bytes and is either its oldest reading or its oldest writing connection, whichever holds more bytes. The
// result is nil if the budget is not exceeded or nothing is reclaimable.
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

// IsOverBufferBudget returns whether a new request of a connection must be rejected for lack of buffers: MaxBufferedBytes is
// exceeded and the client is a large holder, or twice MaxBufferedBytes is exceeded.
func (t *ConnTable) IsOverBufferBudget(conn *Conn) bool {
	budget := t.settings.MaxBufferedBytes
	if budget <= 0 || t.bufferedBytes <= budget {
		return false
	}
	return largeHolderDivisor*conn.client.bufferedBytes >= t.bufferedBytes || t.bufferedBytes > 2*budget
}

// BodyBufferBytes returns how many bytes of a body may be buffered before the rest is forwarded as it arrives, while
// bufferedBytes of the budget are in use. A body that is buffered completely can be sent again in a retry. A budget of 0 means no
// limit.
//
// A fixed size would be too small for a single large body or too large for a hundred of them.
func BodyBufferBytes(bufferedBytes, budget int) int {
	if budget <= 0 {
		return maxBodyBufferBytes
	}
	return min(max((budget-bufferedBytes)/bodyDivisor, minBodyBufferBytes), maxBodyBufferBytes)
}

// FlowBufferBytes returns how many bytes may be buffered for each slow reader if there are flows of them. A budget of 0 means no
// limit.
func FlowBufferBytes(flows, budget int) int {
	if budget <= 0 || flows == 0 {
		return maxFlowBufferBytes
	}
	return min(max(budget/flowsDivisor/flows, minFlowBufferBytes), maxFlowBufferBytes)
}
