package message

import "hazelwheel/internal/decide/membership"

// Feed is what an agent tells its proxy. Fields that have not changed are missing.
type Feed struct {
	Table      *PackedTable  `msgpack:"t"`
	List       *InstanceList `msgpack:"l"`
	Loads      []Load        `msgpack:"o"`
	Plan       *StagePlan    `msgpack:"p"`
	ProxyRank  int           `msgpack:"r"`
	ProxyCount int           `msgpack:"c"` // of the proxies, 0: not told
}

// ProxyReport is what a proxy tells its agent.
type ProxyReport struct {
	ConfigVersion uint64              `msgpack:"v"` // of the configuration in force
	Demands       []membership.Demand `msgpack:"d"`
	Loads         []Load              `msgpack:"l"` // that servers have told this proxy since the report before
}
