package register_test

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hazelwheel/internal/decide/register"
)

// callInput is a change on top of a version, or a read.
type callInput struct {
	change bool
	base   uint64
	digest register.Digest
}

// callOutput is what a call has returned. Of a call without an answer nothing is known.
type callOutput struct {
	known   bool
	done    bool // the change was acknowledged
	version uint64
	digest  register.Digest
}

// registerState is what the register holds, as far as calls can tell.
type registerState struct {
	version uint64
	digest  register.Digest
}

// registerModel is a register with compare-and-swap. A change without an answer may take place at any time or never.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		held, in, out := state.(registerState), input.(callInput), output.(callOutput)
		applied := registerState{in.base + 1, in.digest}
		switch {
		case !out.known && in.change && held.version == in.base:
			return true, applied
		case !out.known:
			return true, held
		case in.change && out.done:
			return held.version == in.base, applied
		default:
			return out.version == held.version && out.digest == held.digest, held
		}
	},
}

func (op *operation) input() callInput {
	return callInput{change: op.isChange, base: op.base, digest: op.digest}
}

// record adds a call that has returned a value.
func (w *world) record(op *operation, value register.Value, outcome register.Outcome) {
	w.history = append(w.history, porcupine.Operation{ClientId: op.id, Input: op.input(), Call: op.began, Return: w.now,
		Output: callOutput{known: true, done: op.isChange && outcome == register.Chosen, version: value.ConfigVersion, digest: value.ConfigDigest}})
}

// recordUnknown adds a call that has ended without an answer. Reads among them say nothing.
func (w *world) recordUnknown(op *operation) {
	if op == nil || !op.isChange {
		return
	}
	w.history = append(w.history, porcupine.Operation{ClientId: op.id, Input: op.input(), Call: op.began, Return: math.MaxInt64,
		Output: callOutput{}})
}

var _ = Describe("the history of all calls", func() {
	DescribeTable("is that of one register", func(nodes int) {
		for seed := range uint64(150) {
			w := play(seed+10_000, nodes, 600, faults{})
			result := porcupine.CheckOperationsTimeout(registerModel, w.history, time.Minute)
			Expect(result).To(Equal(porcupine.Ok), "seed %d, %d calls", seed+10_000, len(w.history))
		}
	}, Entry("with three voters", 3), Entry("with five", 5))

	It("is not where a host answers before its disk has synced", func() {
		for seed := range uint64(200) {
			w := play(seed, 3, 600, faults{answerBeforeSync: true})
			if porcupine.CheckOperationsTimeout(registerModel, w.history, time.Minute) == porcupine.Illegal {
				return
			}
		}
		Fail("no history of 200 was found wrong")
	})
})
