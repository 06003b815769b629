package coordination

import "slices"

// The messages of the role "drill". The numbers are the wire form.
const (
	kindFaultOrder = 1 // faultOrder, over one link after the other to the holder
	kindFaultList  = 2 // faultList, from the holder to all
)

const (
	maxFaultRuns           = 64 // that a sidecar knows, with ended ones
	maxFaultSeconds        = 86400.0
	maxFaultNameBytes      = 64
	maxFaultSignatureBytes = 64
)

// faultOrder is a fault that runs at all sidecars of the fleet.
type faultOrder struct {
	ID               uint64  `msgpack:"i"`
	Name             string  `msgpack:"n"`
	RemainingSeconds float64 `msgpack:"l"` // when it was sent
	Signature        []byte  `msgpack:"m"` // of faultinjection.Injector.Sign, by the sidecar that has checked the operator's secret
}

// faultList is all faults that the holder knows to run.
type faultList struct {
	Orders []faultOrder `msgpack:"r,omitempty"`
}

// isValid reports whether a received list is plausible.
func (l *faultList) isValid() bool {
	return len(l.Orders) <= maxFaultRuns && !slices.ContainsFunc(l.Orders, func(o faultOrder) bool { return !o.isValid() })
}

// isValid reports whether a received order is plausible.
func (o *faultOrder) isValid() bool {
	return o.ID != 0 && o.Name != "" && len(o.Name) <= maxFaultNameBytes && len(o.Signature) <= maxFaultSignatureBytes && o.RemainingSeconds >= 0 &&
		o.RemainingSeconds <= maxFaultSeconds
}
