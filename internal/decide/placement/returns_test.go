package placement

import "testing"

// TestServerThatAnswersAsItselfReturns has a server turn a request away as not its own, and then answer a probe as itself: what it said
// of one request holds no longer than its next sign of life.
func TestServerThatAnswersAsItselfReturns(t *testing.T) {
	p := newPool(instances(1, ""))
	e := p.endpoints["i-000"]
	e.Misplaced()
	for now := 0.0; now < 10; now += 0.1 {
		for _, due := range p.DueProbes(now) {
			due.Probed(now, true)
		}
	}
	if p.Pick(10, nil) == nil {
		t.Fatal("it is out for good")
	}
}
