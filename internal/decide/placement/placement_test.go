package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/message"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func instances(count int, stage message.Stage) (list []message.Instance) {
	for i := range count {
		list = append(list, message.Instance{ID: fmt.Sprintf("i-%s%03d", stage, i), Service: "s", Address: fmt.Sprint("a", i),
			Zone: fmt.Sprint("z", i%3), Slots: 10, Stage: stage})
	}
	return list
}

func newPool(list []message.Instance) *Pool {
	p := NewPool("s", "z0", RetryBudget{WindowSeconds: 10, Ratio: 0.2, Slack: 50}, rand.New(rand.NewPCG(1, 1)))
	p.UpdateInstances(0, list)
	return p
}

// answerProbes records replies to all due probes except those of silent servers, in steps of 0.1 s.
func answerProbes(p *Pool, from, to float64, silent ...string) {
	for now := from; now < to; now += 0.1 {
		for _, e := range p.DueProbes(now) {
			answered := true
			for _, id := range silent {
				answered = answered && e.ID != id
			}
			e.RecordProbe(now, answered)
		}
	}
}
