package membership

import "cmp"

// Kind is what a process does.
type Kind string

// The kinds of processes that take part.
const (
	Control Kind = "control" // replicates the register and serves the operator
	Agent   Kind = "agent"   // supplies the proxy of its machine
	Gateway Kind = "gateway" // redirects the operator to control processes and stores nothing
)

// Record describes a process to its peers. Between runs a higher incarnation is newer. Within a run the content is ordered by
// Revision and liveness by Heartbeat: heartbeats also travel without records, so they may be ahead of the content.
type Record struct {
	Name            string   `msgpack:"n"`
	Kind            Kind     `msgpack:"k"`
	Address         string   `msgpack:"a"` // where peers reach it, IP:PORT
	Zone            string   `msgpack:"z"`
	Incarnation     uint64   `msgpack:"i"` // grows from run to run
	RunID           uint64   `msgpack:"l"` // drawn at each start; distinguishes runs with the same incarnation
	Heartbeat       uint64   `msgpack:"b"` // counts up while the process runs
	Revision        uint64   `msgpack:"w"` // counts changes of the content within a run
	Leaving         bool     `msgpack:"x"` // the process is shutting down gracefully
	VoterID         string   `msgpack:"v"` // identity on the disk of a control process
	OperatorAddress string   `msgpack:"o"` // where the operator reaches a control process
	ReleasedToken   uint64   `msgpack:"e"` // fencing token of the role that a control process has released, 0: none
	Demands         []Demand `msgpack:"d"` // of the proxy, for agents
}

// Demand is the load that one proxy puts on the model servers of a service.
type Demand struct {
	Service                string  `msgpack:"s"`
	PrefillTokensPerSecond float64 `msgpack:"r"` // prompt tokens that need prefill
	DecodeStreams          float64 `msgpack:"n"` // answers in progress
	KVTokens               float64 `msgpack:"h"` // tokens that those answers hold in the KV cache
}

// isNewerThan reports whether r is of a later incarnation than other, or has a higher heartbeat in the same one.
func (r *Record) isNewerThan(other *Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Heartbeat, other.Heartbeat)) > 0
}

// Heartbeat is the heartbeat counter of a run, for receivers that have its record. It takes a few bytes, so that the counters
// of all live processes fit into each exchange while records are sampled.
type Heartbeat struct {
	//lint:ignore U1000 msgpack reads this field: values are encoded as arrays, and decoded from arrays and maps
	_msgpack struct{} `msgpack:",as_array"`

	Key     uint32 `msgpack:"k"` // see Record.heartbeatKey
	Counter uint64 `msgpack:"b"`
}

// heartbeatKey returns a hash of name and run. Peers of all versions must derive the same one.
func (r *Record) heartbeatKey() uint32 {
	const prime = 16777619 // of FNV-1
	key := uint32(r.RunID) ^ uint32(r.RunID>>32)
	for i := range len(r.Name) {
		key = (key ^ uint32(r.Name[i])) * prime
	}
	return key
}
