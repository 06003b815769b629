package message

import (
	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
)

// Gossip is one half of an exchange between two processes. Configuration and list go along only where they are asked for, so that
// news goes out to many as a few bytes and each process takes what is large once.
type Gossip struct {
	FormatVersion int                 `msgpack:"f"`
	Records       []membership.Record `msgpack:"r"`
	Heartbeats    []membership.Beat   `msgpack:"b"`
	Voters        register.Value      `msgpack:"v"` // the voters alone
	Grants        []register.Grant    `msgpack:"g"`
	Plan          StagePlan           `msgpack:"p"`
	ConfigVersion uint64              `msgpack:"n"` // of the configuration
	Table         *PackedTable        `msgpack:"t"`
	List          InstanceList        `msgpack:"l"`
	Loads         []Load              `msgpack:"o"`
	WantsTable    bool                `msgpack:"tt"` // a newer configuration is wanted in the answer, or in the next message
	WantsList     bool                `msgpack:"tl"` // the same of a younger list
	UpdatesOnly   bool                `msgpack:"w"`  // only what has changed is told: records, heartbeats and loads are left out here and in the answer
}
