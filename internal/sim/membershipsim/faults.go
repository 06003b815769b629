package membershipsim

import (
	"fmt"

	"hazelwheel/internal/decide/swim"
)

// FaultResult is the result of PlayFaults.
type FaultResult struct {
	HoursPlayed   float64  `json:"hours"`
	Faults        int      `json:"troubles"`
	FalseDeaths   int      `json:"false_deaths"` // of members that were up and that most others could reach
	Discrepancies []string `json:"wrong,omitempty"`
	Trace         uint64   `json:"trace"` // of Fleet.Trace
}

const (
	reachableSeconds   = 1.0  // for which a member must have been up and reachable before its death is a false one
	unreachable        = 1e18 // since when a member is reachable that is not
	formPerSecond      = 50
	faultWindowSeconds = 32.0 // after which all faults of a batch are over
	recoverySeconds    = 10.0 // after which all members must agree again
	maxFaultsOfBatch   = 5
	maxFalseDeathLines = 10
)

// faultPlay is a fleet under random faults, with a record of what each member should be able to do.
type faultPlay struct {
	fleet          *Fleet
	result         FaultResult
	reachableSince []float64 // by node; unreachable while it is not
	blocks         map[path]int
	isolation      []int // by node: how many others it is cut off from, in one direction or both
}

// PlayFaults simulates a fleet under random faults for some seconds: members freeze for up to 4 s again and again, paths are blocked,
// links are reset, members are killed and come back, a third restart within a second. After each batch of faults there is calm; it is
// an error if members disagree about the membership recoverySeconds later.
func PlayFaults(n int, seconds float64, seed uint64) (FaultResult, error) {
	p := &faultPlay{fleet: New(seed), reachableSince: make([]float64, n), blocks: map[path]int{}, isolation: make([]int, n)}
	f := p.fleet
	if _, ok := f.form(n, formPerSecond); !ok {
		return p.result, fmt.Errorf("%d members: not formed: %v", n, f.Discrepancies(3))
	}
	f.OnChange = p.checkDeath
	for end := f.Now() + seconds; f.Now() < end; {
		for range 1 + f.rng.IntN(maxFaultsOfBatch) {
			p.scheduleFault()
		}
		f.RunUntil(f.Now() + faultWindowSeconds)
		for _, node := range f.Nodes {
			node.Thaw()
		}
		f.RunUntil(f.Now() + recoverySeconds)
		if lines := f.Discrepancies(3); len(lines) > 0 {
			return p.result, fmt.Errorf("%d members, seed %d, 10 s after the last fault: %v", n, seed, lines)
		}
	}
	p.result.HoursPlayed, p.result.Trace = seconds/3600, f.Trace()
	return p.result, nil
}

// checkDeath counts a death that an unimpaired member declares or learns of, of a member that has been up and reachable for a while.
func (p *faultPlay) checkDeath(now float64, by *Node, r swim.Record, was swim.State, _ bool) {
	if r.State != swim.Dead || was == swim.Dead {
		return
	}
	for i, node := range p.fleet.Nodes {
		isMeant := node.IsRunning && node.View.Self().ID == r.ID && node.View.Self().Version == r.Version
		if isMeant && now-p.reachableSince[i] > reachableSeconds && !by.IsFrozen && p.isolation[by.Number] == 0 {
			p.result.FalseDeaths++
			if len(p.result.Discrepancies) < maxFalseDeathLines {
				p.result.Discrepancies = append(p.result.Discrepancies, fmt.Sprintf("%.2f: s%d has s%d as dead, accused by %v", now, by.Number, i, r.Accusers))
			}
		}
	}
}

// scheduleFault draws a fault of a random member.
func (p *faultPlay) scheduleFault() {
	p.result.Faults++
	rng := p.fleet.rng
	i := rng.IntN(len(p.fleet.Nodes))
	at := p.fleet.Now() + 10*rng.Float64()
	switch kind := rng.IntN(6); kind {
	case 0:
		p.scheduleFreezes(i, at)
	case 1, 2:
		p.scheduleBlocks(i, at, kind == 1)
	case 3:
		p.scheduleResets(i, at)
	case 4:
		p.scheduleKill(i, at)
	case 5:
		p.scheduleRestarts(at)
	}
}

// markUnreachable records that a member is down or frozen until the result is called.
func (p *faultPlay) markUnreachable(i int) (recovered func()) {
	p.reachableSince[i] = unreachable
	return func() { p.reachableSince[i] = p.fleet.Now() }
}

// scheduleFreezes freezes a member up to four times, 5 s apart.
func (p *faultPlay) scheduleFreezes(i int, at float64) {
	f, node := p.fleet, p.fleet.Nodes[i]
	for k := range 1 + f.rng.IntN(4) {
		lasts := 4 * f.rng.Float64()
		f.At(at+5*float64(k), func() {
			if node.IsRunning && !node.IsFrozen {
				recovered := p.markUnreachable(i)
				node.Freeze()
				f.At(f.Now()+lasts, func() { node.Thaw(); recovered() })
			}
		})
	}
}

// scheduleBlocks blocks the paths between a member and up to half of the others, in one direction or both.
func (p *faultPlay) scheduleBlocks(i int, at float64, oneWay bool) {
	f, n := p.fleet, len(p.fleet.Nodes)
	others := f.rng.Perm(n)[:1+f.rng.IntN(max(n/2, 1))]
	lasts := 0.3 + 6*f.rng.Float64()
	f.At(at, func() {
		for _, j := range others {
			if j == i {
				continue
			}
			p.block(path{i, j}, lasts)
			if !oneWay {
				p.block(path{j, i}, lasts)
			}
			p.isolate(i, j, lasts)
		}
	})
}

// block blocks a path for some seconds. Overlapping blocks of a path are counted.
func (p *faultPlay) block(way path, seconds float64) {
	f := p.fleet
	from, to := f.Nodes[way.from], f.Nodes[way.to]
	if p.blocks[way]++; p.blocks[way] == 1 {
		f.BlockPath(from, to)
	}
	f.At(f.Now()+seconds, func() {
		if p.blocks[way]--; p.blocks[way] == 0 {
			f.RestorePath(from, to)
		}
	})
}

// isolate records that two members are cut off from each other for some seconds. A member that is cut off from half of the others or
// more is not reachable.
func (p *faultPlay) isolate(i, j int, seconds float64) {
	f := p.fleet
	p.isolation[i]++
	p.isolation[j]++
	for _, k := range []int{i, j} {
		if p.isIsolated(k) {
			p.reachableSince[k] = unreachable
		}
	}
	f.At(f.Now()+seconds, func() {
		p.isolation[i]--
		p.isolation[j]--
		for _, k := range []int{i, j} {
			if p.reachableSince[k] == unreachable && !p.isIsolated(k) && !f.Nodes[k].IsFrozen {
				p.reachableSince[k] = f.Now()
			}
		}
	})
}

func (p *faultPlay) isIsolated(i int) bool { return p.isolation[i]*2 >= len(p.fleet.Nodes)-1 }

// scheduleResets resets links of a member, up to twenty times.
func (p *faultPlay) scheduleResets(i int, at float64) {
	f, node := p.fleet, p.fleet.Nodes[i]
	for k := range 1 + f.rng.IntN(20) {
		other := f.Nodes[f.rng.IntN(len(f.Nodes))]
		f.At(at+0.2*float64(k), func() { f.ResetLinks(node, other) })
	}
}

// scheduleKill kills a member, which comes back with its state or without.
func (p *faultPlay) scheduleKill(i int, at float64) {
	lasts := 8 * p.fleet.rng.Float64()
	kept := p.fleet.rng.IntN(3) > 0
	p.fleet.At(at, func() { p.restart(i, lasts, kept) })
}

// scheduleRestarts restarts a third of the members, each within a second.
func (p *faultPlay) scheduleRestarts(at float64) {
	f, n := p.fleet, len(p.fleet.Nodes)
	for _, j := range f.rng.Perm(n)[:max(n/3, 1)] {
		lasts := f.rng.Float64()
		f.At(at, func() { p.restart(j, lasts, true) })
	}
}

// restart kills a member, and starts it some seconds later.
func (p *faultPlay) restart(i int, downSeconds float64, kept bool) {
	f, node := p.fleet, p.fleet.Nodes[i]
	recovered := p.markUnreachable(i)
	node.Kill()
	f.At(f.Now()+downSeconds, func() {
		node.Start(kept, f.Nodes[0].Address, f.Nodes[len(f.Nodes)/2].Address)
		recovered()
	})
}
