package admission

// State is what a client connection is doing.
type State uint8

// The states. A StateActive connection is never closed to make room for another one, since its client waits for an answer.
const (
	StateNew     State = iota // nothing has been received
	StateReading              // a part of a request has been received
	StateActive               // a request is in flight
	StateWriting              // an answer waits for the client to read it
	StateIdle                 // keep-alive between requests
	StateClosing              // the last answer has been sent; input is read until the client closes
	stateCount
)

// String returns the name of the state as operators see it.
func (s State) String() string {
	return [...]string{"silent", "partial", "asking", "unread", "resting", "ending"}[s]
}

// Conn is a client connection in a ConnTable.
type Conn struct {
	Owner any // set by ConnTable.Add; not used in this package

	client        *client
	state         State
	since         float64 // when it entered the state
	bufferedBytes int
	isOverflow    bool
	links         [2]links // indices: tableList, clientList
}

// IsKnown returns whether the connection's client is known (see ConnTable.RecordServed).
func (c *Conn) IsKnown() bool { return c.client.isKnown }

// State returns the connection's state and the time when it entered it.
func (c *Conn) State() (State, float64) { return c.state, c.since }
