package coordination

// faultOrder is a drill for the whole fleet.
type faultOrder struct {
	ID               uint64  `msgpack:"i"`
	Name             string  `msgpack:"n"`
	RemainingSeconds float64 `msgpack:"l"` // until it ends
	Signature        []byte  `msgpack:"m"` // by who has looked at the secret
}

type faultList struct {
	Orders []faultOrder `msgpack:"r,omitempty"`
}

// isValid tells whether what came over a link can be a drill.
func (r *faultOrder) isValid() bool {
	return r.ID != 0 && r.Name != "" && len(r.Name) <= 64 && len(r.Signature) <= 64 && r.RemainingSeconds >= 0 && r.RemainingSeconds <= maxFaultSeconds
}
