package register_test

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// callInput is a change that is based on a version, or a read.
type callInput struct {
	isChange bool
	base     uint64
	digest   register.Digest
}

// callOutput is the result of a call. It is not known for a call that ended without a reply.
type callOutput struct {
	isKnown        bool
	isAcknowledged bool // the change was acknowledged
	version        uint64
	digest         register.Digest
}

// registerState is the observable state of the register.
type registerState struct {
	version uint64
	digest  register.Digest
}

// registerModel is a compare-and-swap register. A change without a reply may take effect at any time or never.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		held, in, out := state.(registerState), input.(callInput), output.(callOutput)
		applied := registerState{in.base + 1, in.digest}
		switch {
		case !out.isKnown && in.isChange && held.version == in.base:
			return true, applied
		case !out.isKnown:
			return true, held
		case in.isChange && out.isAcknowledged:
			return held.version == in.base, applied
		default:
			return out.version == held.version && out.digest == held.digest, held
		}
	},
}

func (op *operation) input() callInput {
	return callInput{isChange: op.isChange, base: op.base, digest: op.digest}
}

// record adds a call that has returned a value.
func (s *simulation) record(op *operation, value register.Value, outcome register.Outcome) {
	s.history = append(s.history, porcupine.Operation{ClientId: op.id, Input: op.input(), Call: op.startedAt, Return: s.now,
		Output: callOutput{isKnown: true, isAcknowledged: op.isChange && outcome == register.Chosen, version: value.ConfigVersion, digest: value.ConfigDigest}})
}

// recordUnknown adds a change that ended without a reply. A read without a reply constrains nothing and is left out.
func (s *simulation) recordUnknown(op *operation) {
	if op == nil || !op.isChange {
		return
	}
	s.history = append(s.history, porcupine.Operation{ClientId: op.id, Input: op.input(), Call: op.startedAt, Return: math.MaxInt64,
		Output: callOutput{}})
}

var _ = Describe("the history of all calls", func() {
	DescribeTable("is linearizable", func(nodes int) {
		for seed := range uint64(150) {
			s := simulate(seed+10_000, nodes, 600, hostFaults{})
			result := porcupine.CheckOperationsTimeout(registerModel, s.history, time.Minute)
			Expect(result).To(Equal(porcupine.Ok), "seed %d, %d calls", seed+10_000, len(s.history))
		}
	}, Entry("with three voters", 3), Entry("with five", 5))

	It("is not linearizable if a host replies before its disk has synced", func() {
		for seed := range uint64(200) {
			s := simulate(seed, 3, 600, hostFaults{repliesBeforeSync: true})
			if porcupine.CheckOperationsTimeout(registerModel, s.history, time.Minute) == porcupine.Illegal {
				return
			}
		}
		Fail("no illegal history among 200")
	})
})
