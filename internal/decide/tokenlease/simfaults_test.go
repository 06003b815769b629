package tokenlease_test

// faultKind is a kind of fault; see addFault.
type faultKind int

const (
	lessorRestarts faultKind = iota
	lesseesRestart
	lessorFreezes
	lesseesFreeze
	lessorIsCutOff
	lesseesAreCutOff
	allRestart
	lesseesAreDoubled
	lessorsRestartRepeatedly
	faultKindCount
)

func (s *simulation) drawFaultKind() faultKind { return faultKind(s.rng.IntN(int(faultKindCount))) }

// drawFaults draws faults at random times of the run.
func (s *simulation) drawFaults() {
	for range s.plan.faults {
		s.addFault(s.drawFaultKind(), s.uniform(0, s.plan.seconds), s.uniform(0.05, 7), 1+s.rng.IntN(len(s.lessees)/4+1))
	}
}

// addFault schedules a fault of up to count lessees, of a lessor, or of all processes.
func (s *simulation) addFault(kind faultKind, at, lasts float64, count int) {
	forLessees := func(do func(index int)) {
		s.at(at, func() {
			for range count {
				do(s.rng.IntN(len(s.lessees)))
			}
		})
	}
	lessor := s.rng.IntN(len(s.lessors))
	switch kind {
	case lessorRestarts:
		s.at(at, func() { s.restartLessor(lessor, lasts) })
	case lesseesRestart:
		forLessees(func(index int) { s.restartLessee(index, lasts/4) })
	case lessorFreezes:
		s.at(at, func() { s.lessors[lessor].frozenUntil = s.now + lasts })
	case lesseesFreeze:
		forLessees(func(index int) { s.lessees[index].frozenUntil = s.now + lasts })
	case lessorIsCutOff:
		s.at(at, func() { s.lessors[lessor].cutUntil = s.now + lasts })
	case lesseesAreCutOff:
		forLessees(func(index int) { s.lessees[index].cutUntil = s.now + lasts })
	case allRestart:
		s.at(at, func() { s.restartAll(lasts / 4) })
	case lesseesAreDoubled:
		forLessees(s.doubleLessee)
	case lessorsRestartRepeatedly:
		for i := range 6 {
			s.at(at+float64(i)*max(lasts/6, 0.35), func() {
				for index := range s.lessors {
					s.restartLessor(index, 0.1)
				}
			})
		}
	}
}

// restartLessor kills a control process and restarts it.
func (s *simulation) restartLessor(index int, down float64) {
	h := s.lessors[index]
	h.isDown = true
	s.runs++
	h.run, h.shares = s.runs, map[int]*heldShare{}
	h.startedAt = s.now + down
	s.after(down, func() { h.isDown = false })
}

// restartLessee kills a proxy and restarts it with an empty state.
func (s *simulation) restartLessee(index int, down float64) {
	s.lessees[index].isReplaced = true // its tokens are lost
	next := s.newLessee(index)
	next.isDown = true
	s.lessees[index] = next
	s.after(down, func() { next.isDown = false })
}

// doubleLessee starts a second run of a proxy, while the first one still gets some requests for three seconds.
func (s *simulation) doubleLessee(index int) {
	old, next := s.lessees[index], s.newLessee(index)
	s.lessees[index] = next
	for _, t := range s.tenants {
		for at := s.uniform(0, 0.3); at < 3; at += s.uniform(0.01, 0.5) {
			tokens := max(int64(t.limit.Rate/s.uniform(20, 150)), 1)
			s.after(at, func() {
				if s.lessees[index] != next {
					return
				}
				s.lessees[index] = old
				s.request(t, index, tokens)
				s.lessees[index] = next
			})
		}
	}
}

// restartAll kills all processes and restarts them.
func (s *simulation) restartAll(down float64) {
	for i := range s.lessors {
		s.restartLessor(i, down+s.uniform(0, 0.5))
	}
	for i := range s.lessees {
		s.restartLessee(i, down+s.uniform(0, 0.5))
	}
}
