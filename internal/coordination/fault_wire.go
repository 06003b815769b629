package coordination

import "slices"

// The messages of the role "drill". The numbers are the wire form.
const (
	kindFaultOrder = 1 // faultOrder, forwarded from link to link to the holder
	kindFaultList  = 2 // faultList, from the holder to all
)

const (
	maxFaultRuns           = 64 // faults that a sidecar remembers, including ended ones
	maxFaultSeconds        = 86400.0
	maxFaultNameBytes      = 64
	maxFaultSignatureBytes = 64
)

// faultOrder is a fault that runs at all sidecars of the fleet.
type faultOrder struct {
	ID               uint64  `msgpack:"i"`
	Name             string  `msgpack:"n"`
	RemainingSeconds float64 `msgpack:"l"` // of the fault, at the time of sending
	Signature        []byte  `msgpack:"m"` // from faultinjection.Injector.Sign, at the sidecar that has checked the operator's secret
}

// faultList holds all running faults that the holder knows.
type faultList struct {
	Orders []faultOrder `msgpack:"r,omitempty"`
}

// isValid reports whether a received list is within its bounds.
func (l *faultList) isValid() bool {
	return len(l.Orders) <= maxFaultRuns && !slices.ContainsFunc(l.Orders, func(o faultOrder) bool { return !o.isValid() })
}

// isValid reports whether a received order is within its bounds.
func (o *faultOrder) isValid() bool {
	return o.ID != 0 && o.Name != "" && len(o.Name) <= maxFaultNameBytes && len(o.Signature) <= maxFaultSignatureBytes && o.RemainingSeconds >= 0 &&
		o.RemainingSeconds <= maxFaultSeconds
}
