package sidecar

// Asked is what a fleet asks of the sidecar that it is a part of.
type Asked interface {
	// Ending tells whether the sidecar has been told to end, and whether another process serves in its place by then.
	Ending() (ending, succeeded bool)
	// Fit tells whether it may work for others beside serving, or why not.
	Fit() (ok bool, why string)
	// Measured returns how requests have fared since it was called last, by class; nothing unless Measure was called.
	Measured() []Measured
}

// Placed is what a fleet tells it.
type Placed interface {
	// TakePlace tells it that it is the one of this number among so many that live.
	TakePlace(number, count int)
}

// Ending is for the loop.
func (s *Sidecar) Ending() (ending, succeeded bool) { return s.draining, s.succeeded }

// TakePlace is for the loop. The decisions go by the new place from the next event on.
func (s *Sidecar) TakePlace(number, count int) {
	s.enter(func() {
		s.push(func(now float64) {
			s.capture.Place(now, number, count)
			s.balancer.SetReplica(now, number, count)
		})
	})
}

// Reserve keeps descriptors for what is no link of the sidecar's. It comes before Start.
func (s *Sidecar) Reserve(descriptors int) { s.reserved += descriptors }

// ShowFleet has the counters and the door's dump hold what a fleet says of itself; it is asked on the loop.
func (s *Sidecar) ShowFleet(see func() any, counted Counted) { s.fleet, s.counted = see, counted }
