package membership

import (
	"cmp"
)

// Kind is what a process does.
type Kind string

// The kinds of processes that take part.
const (
	Control Kind = "control"
	Agent   Kind = "agent"
	Gateway Kind = "gateway" // names control processes to the operator, and holds nothing itself
)

// Record is what is told of a process. A higher incarnation is a newer life. Within one, what a record says goes by its revision and
// that the process lives by its heartbeat: heartbeats also travel without records, and so reach a peer ahead of what has changed.
type Record struct {
	Name            string   `msgpack:"n"`
	Kind            Kind     `msgpack:"k"`
	Address         string   `msgpack:"a"` // where peers reach it, IP:PORT
	Zone            string   `msgpack:"z"`
	Incarnation     uint64   `msgpack:"i"`
	RunID           uint64   `msgpack:"l"` // drawn at each start; tells lives of one incarnation apart
	Heartbeat       uint64   `msgpack:"b"`
	Revision        uint64   `msgpack:"w"` // counts changes of what the record says within a life
	Leaving         bool     `msgpack:"x"`
	VoterID         string   `msgpack:"v"` // the identity on its disk, for control processes
	OperatorAddress string   `msgpack:"o"` // where the operator reaches it, for control processes
	ReleasedToken   uint64   `msgpack:"e"` // the token of the role that a control process has given up, 0: none
	Demands         []Demand `msgpack:"d"` // what a proxy asks of model servers
}

// newer tells whether r says more than other.
func (r *Record) newer(other *Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Heartbeat, other.Heartbeat)) > 0
}

// key tells lives apart.
func (r *Record) key() uint32 {
	const prime = 16777619
	key := uint32(r.RunID) ^ uint32(r.RunID>>32)
	for i := range len(r.Name) {
		key = (key ^ uint32(r.Name[i])) * prime
	}
	return key
}

// Demand is what one proxy asks of the model servers of a service.
type Demand struct {
	Service                string  `msgpack:"s"`
	PrefillTokensPerSecond float64 `msgpack:"r"` // prompt tokens to be read a second
	DecodeStreams          float64 `msgpack:"n"` // answers under way
	KVTokens               float64 `msgpack:"h"` // tokens that those answers hold in memory
}

// Heartbeat is the heartbeat of a life that the receiver knows by its record. Beats cost a few bytes, so that news of all live
// processes goes with each exchange while records are told now and then.
type Heartbeat struct {
	//lint:ignore U1000 the library goes by this field: many values go with each exchange, and either form is read
	_msgpack struct{} `msgpack:",as_array"`

	Key     uint32 `msgpack:"k"`
	Counter uint64 `msgpack:"b"`
}
