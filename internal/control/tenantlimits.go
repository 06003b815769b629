package control

import (
	"sync"

	"hazelwheel/internal/decide/tokenlease"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
)

// currentTable is the newest configuration that was received by gossip, unpacked once for all parts of the process. It is safe for concurrent use.
type currentTable struct {
	control *Control

	mu     sync.Mutex // guards the fields below
	packed *message.PackedTable
	table  *routeconfig.Table
	limits map[string]tokenlease.Limit // of the tenants that have one
}

// get returns the configuration, or nil before the first one and if it can't be unpacked. It must not be changed.
func (t *currentTable) get() *routeconfig.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.table
}

// hasLimits reports whether any tenant has a limit.
func (t *currentTable) hasLimits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return len(t.limits) > 0
}

// limitOf returns the limit of a tenant, or the zero value if it has none.
func (t *currentTable) limitOf(tenant string) tokenlease.Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.limits[tenant]
}

// refresh unpacks the configuration if it has changed. The caller holds mu.
func (t *currentTable) refresh() {
	gossipState, _ := t.control.node.State()
	if gossipState.Table == t.packed {
		return
	}
	t.packed, t.table, t.limits = gossipState.Table, nil, nil
	table, err := t.packed.Unpack()
	if err != nil {
		t.control.log.WithField("version", t.packed.Version).WithError(err).Warn("unpacking the configuration failed")
		return
	}
	t.table, t.limits = table, map[string]tokenlease.Limit{}
	for i := range table.Tenants {
		if limit := table.Tenants[i].Limit; limit != nil {
			t.limits[table.Tenants[i].Name] = tokenlease.Limit{Rate: limit.RatePerSecond, Burst: limit.Burst}
		}
	}
}
