package admission

// State is what a client link is doing.
type State uint8

// The states. Asking links are owed an answer and are never given up.
const (
	StateNew     State = iota // nothing has come on it
	StateReading              // a part of a request has come
	StateActive               // a request is out
	StateWriting              // an answer is written, and the socket does not take it
	StateIdle                 // it has carried a request, and nothing is under way
	StateClosing              // its last answer is written; it is read until the client closes
	states
)

// String names a state.
func (s State) String() string {
	return [...]string{"silent", "partial", "asking", "unread", "resting", "ending"}[s]
}

// Link is a client link in a Room.
type Conn struct {
	Owner any // whose it is; the Room passes it on

	client *address
	state  State
	since  float64
	bytes  int
	beyond bool    // it takes no place
	hooks  [2]hook // in the lists of the Room and of its address
}

// Known tells whether a link's client is known.
func (l *Conn) IsKnown() bool { return l.client.known }

// State returns what a link does, and since when.
func (l *Conn) State() (State, float64) { return l.state, l.since }
