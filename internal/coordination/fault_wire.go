package coordination

// drillRun is a drill for the whole fleet.
type drillRun struct {
	ID    uint64  `msgpack:"i"`
	Name  string  `msgpack:"n"`
	LeftS float64 `msgpack:"l"` // until it ends
	Mark  []byte  `msgpack:"m"` // by who has looked at the secret
}

type drillRuns struct {
	Runs []drillRun `msgpack:"r,omitempty"`
}

// sane tells whether what came over a link can be a drill.
func (r *drillRun) sane() bool {
	return r.ID != 0 && r.Name != "" && len(r.Name) <= 64 && len(r.Mark) <= 64 && r.LeftS >= 0 && r.LeftS <= mostDrillS
}
