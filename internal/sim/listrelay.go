package sim

import (
	"encoding/json"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/sidecar"
)

// listRelay passes endpoint lists relayed by the fleet to a sidecar, and reports their entries to the checker.
type listRelay struct {
	sidecar.ListReceiver
	sidecar *simulatedSidecar
}

// statuses are the checker's codes for the status words of a list.
var statuses = map[string]int32{"SERVING": checker.Serving, "DRAINING": checker.Draining, "DELETED": checker.Deleted}

// ApplyList implements sidecar.ListReceiver. The checker gets each entry before the sidecar does, and decides whether the list
// is recent enough.
func (l listRelay) ApplyList(raw []byte) error {
	var list struct {
		Index     uint64
		Snapshot  bool
		Endpoints []struct {
			Name, Address, Status string
			SinceMS               float64 `json:"since_ms"`
		}
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return l.ListReceiver.ApplyList(raw)
	}
	d := l.sidecar.day
	indexByName := map[string]int{} // index of an entry + 1 by server; for lookups, never iterated
	for i, e := range list.Endpoints {
		indexByName[e.Name] = i + 1
	}
	for server := range d.spec.Servers {
		e := checker.Event{Kind: checker.EntryRelayed, At: d.network.Now(), Sidecar: int32(l.sidecar.number), Server: int32(server), ListIndex: list.Index, Status: checker.Deleted}
		if i := indexByName[d.spec.Servers[server].Name]; i > 0 {
			entry := &list.Endpoints[i-1]
			e.Status, e.ServingSince, e.Address = statuses[entry.Status], entry.SinceMS/1000, entry.Address
		} else if !list.Snapshot {
			continue
		}
		if d.observe(e); d.observer != nil {
			d.observer.Observe(e)
		}
	}
	return l.ListReceiver.ApplyList(raw)
}
