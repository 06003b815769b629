package message

import "hazelwheel/internal/decide/membership"

// Feed is an update that an agent sends to its proxy. Fields that have not changed since the previous update are nil.
type Feed struct {
	Table      *PackedTable  `msgpack:"t"`
	List       *InstanceList `msgpack:"l"`
	Loads      []Load        `msgpack:"o"`
	Plan       *StagePlan    `msgpack:"p"`
	ProxyRank  int           `msgpack:"r"` // of this proxy among the live proxies, from 0
	ProxyCount int           `msgpack:"c"` // live proxies; 0: rank and count are not known yet
}

// ProxyReport is what a proxy sends to its agent at regular intervals.
type ProxyReport struct {
	ConfigVersion uint64              `msgpack:"v"` // of the configuration in force
	Demands       []membership.Demand `msgpack:"d"` // one for each service with model servers
	Loads         []Load              `msgpack:"l"` // reported by servers since the previous report
}
