package membership

import "cmp"

// Kind is the kind of a process.
type Kind string

// The kinds of processes in the membership.
const (
	Control Kind = "control" // may be a voter of the register, and serves the operator's interface
	Agent   Kind = "agent"   // serves the proxy of its machine
	Gateway Kind = "gateway" // redirects the operator's requests to control processes; stores nothing
)

// Record describes a process to its peers. Records of different runs are ordered by Incarnation. Within a run, Revision orders
// the content and Heartbeat shows liveness: heartbeats are also sent without records, so they may be ahead of the content.
type Record struct {
	Name            string   `msgpack:"n"`
	Kind            Kind     `msgpack:"k"`
	Address         string   `msgpack:"a"` // IP:PORT at which peers reach it
	Zone            string   `msgpack:"z"`
	Incarnation     uint64   `msgpack:"i"` // higher for each run
	RunID           uint64   `msgpack:"l"` // drawn at each start; distinguishes runs with the same incarnation
	Heartbeat       uint64   `msgpack:"b"` // incremented while the process runs
	Revision        uint64   `msgpack:"w"` // incremented by each change of the content within a run
	Leaving         bool     `msgpack:"x"` // the process is shutting down gracefully
	VoterID         string   `msgpack:"v"` // identity on the disk of a control process
	OperatorAddress string   `msgpack:"o"` // address at which the operator reaches a control process
	ReleasedToken   uint64   `msgpack:"e"` // fencing token of the role that a control process has released; 0 if none
	Demands         []Demand `msgpack:"d"` // only of agents: the demands of the proxy
}

// Demand is the load that one proxy puts on the model servers of a service.
type Demand struct {
	Service                string  `msgpack:"s"`
	PrefillTokensPerSecond float64 `msgpack:"r"` // prompt tokens that need prefill
	DecodeStreams          float64 `msgpack:"n"` // responses in progress
	KVTokens               float64 `msgpack:"h"` // tokens of those responses in the KV cache
}

// isNewerThan reports whether r is of a later incarnation than other, or has a higher heartbeat in the same one.
func (r *Record) isNewerThan(other *Record) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Heartbeat, other.Heartbeat)) > 0
}

// Heartbeat is the heartbeat counter of a run, for receivers that have its record. It takes only a few bytes: each exchange has
// room for the counters of all live processes, but only for a sample of the records.
type Heartbeat struct {
	//lint:ignore U1000 msgpack reads this field: values are encoded as arrays, and decoded from arrays and maps
	_msgpack struct{} `msgpack:",as_array"`

	Key     uint32 `msgpack:"k"` // see Record.heartbeatKey
	Counter uint64 `msgpack:"b"`
}

// heartbeatKey returns a hash of name and run. All versions of the software must compute the same key.
func (r *Record) heartbeatKey() uint32 {
	const prime = 16777619 // of FNV-1
	key := uint32(r.RunID) ^ uint32(r.RunID>>32)
	for i := range len(r.Name) {
		key = (key ^ uint32(r.Name[i])) * prime
	}
	return key
}
