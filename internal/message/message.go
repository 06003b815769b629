// Package message holds what processes of the fleet say to one another. Package transport carries it.
package message

import (
	"hash/fnv"

	"hazelwheel/internal/decide/membership"
	"hazelwheel/internal/decide/register"
)

// FormatVersion is told with each message. A receiver turns other versions away.
const FormatVersion = 1

// Stage is what a model server does.
type Stage string

// The stages of model servers. Servers without a model have none.
const (
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Instance is a server as the platform lists it.
type Instance struct {
	ID       string  `msgpack:"i"`
	Service  string  `msgpack:"s"`
	Address  string  `msgpack:"a"`
	Zone     string  `msgpack:"z"`
	Slots    int     `msgpack:"n"`
	Draining bool    `msgpack:"d"`
	Stage    Stage   `msgpack:"g"`
	WarmupMs float64 `msgpack:"c"`
}

// List is a reading of the platform's list. It ages while it travels.
type InstanceList struct {
	Digest uint64  `msgpack:"d"` // 0: there is none
	AgeMs  float64 `msgpack:"a"` // since it was read, when this was sent
	Data   []byte  `msgpack:"i"` // the servers, packed; missing where only the age is told
}

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

// ConfigRequest asks a control process for a piece of a configuration's bytes.
type ConfigRequest struct {
	Digest register.Digest `msgpack:"d"`
	Offset int             `msgpack:"o"`
	Length int             `msgpack:"l"` // at most; 0: all
}

// ConfigReply holds the piece, and the size of the whole: 0 if it isn't there.
type ConfigReply struct {
	Data []byte `msgpack:"b"`
	Size int    `msgpack:"s"`
}

// Learn tells a control process of the value that was chosen last, and that it may fetch the configuration's bytes of the voters.
type LearnRequest struct {
	To        string          `msgpack:"t"` // the identity that is meant
	Ballot    register.Ballot `msgpack:"b"`
	Value     register.Value  `msgpack:"v"`
	MinBallot register.Ballot `msgpack:"s"` // of the value from which on what it holds is new enough; zero: At
}

// Learned answers Learn.
type LearnReply struct {
	UpToDate bool `msgpack:"h"` // what is on the disk, with the bytes of its configuration, is new enough
}

// Feed is what an agent tells its proxy. Fields that have not changed are missing.
type Feed struct {
	Table      *PackedTable  `msgpack:"t"`
	List       *InstanceList `msgpack:"l"`
	Loads      []Load        `msgpack:"o"`
	Plan       *StagePlan    `msgpack:"p"`
	ProxyRank  int           `msgpack:"r"`
	ProxyCount int           `msgpack:"c"` // of the proxies, 0: not told
}

// Load is what a server told of itself: requests running and waiting there.
type Load struct {
	//lint:ignore U1000 the library goes by this field: many values go with each exchange, and either form is read
	_msgpack struct{} `msgpack:",as_array"`

	InstanceKey uint32 `msgpack:"k"` // of the instance
	Running     uint16 `msgpack:"r"`
	Waiting     uint16 `msgpack:"w"`
	AgeMs       uint16 `msgpack:"a"` // since it was told, when this was sent
}

// LoadKey returns the key of an instance in loads.
func InstanceKey(instance string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instance))
	return hash.Sum32()
}

// ProxyReport is what a proxy tells its agent.
type ProxyReport struct {
	ConfigVersion uint64              `msgpack:"v"` // of the configuration in force
	Demands       []membership.Demand `msgpack:"d"`
	Loads         []Load              `msgpack:"l"` // that servers have told this proxy since the report before
}

// StagePlan names the servers that are changing their stage. A higher token, then a higher sequence, is newer.
type StagePlan struct {
	Token    uint64           `msgpack:"t"`
	Sequence uint64           `msgpack:"s"`
	Stages   map[string]Stage `msgpack:"m"` // by instance
}

// Newer tells whether p takes the place of other.
func (plan *StagePlan) IsNewerThan(other *StagePlan) bool {
	return plan.Token > other.Token || plan.Token == other.Token && plan.Sequence > other.Sequence
}
