package admission

// State is what a client connection is doing.
type State uint8

// The states. A StateActive connection is never closed for another one: its client waits for an answer.
const (
	StateNew     State = iota // nothing was received
	StateReading              // a part of a request was received
	StateActive               // a request is in flight
	StateWriting              // an answer waits for the client to read it
	StateIdle                 // keep-alive between requests
	StateClosing              // the last answer was sent; it is read until the client closes
	stateCount
)

// String returns the state as it is spelled in answers to operators.
func (s State) String() string {
	return [...]string{"silent", "partial", "asking", "unread", "resting", "ending"}[s]
}

// Conn is a client connection in a ConnTable.
type Conn struct {
	Owner any // passed to ConnTable.Add; not used here

	client        *client
	state         State
	since         float64 // when it entered the state
	bufferedBytes int
	isOverflow    bool
	links         [2]links // of tableList and clientList
}

// IsKnown returns whether the connection's client is known (see ConnTable.RecordServed).
func (c *Conn) IsKnown() bool { return c.client.isKnown }

// State returns the connection's state, and since when it is in it.
func (c *Conn) State() (State, float64) { return c.state, c.since }
