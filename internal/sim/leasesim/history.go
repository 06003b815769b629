package leasesim

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is what a node did with a token: "acquire", "use" or "end".
type operation struct {
	kind  string
	token uint64
	node  int
}

// roleOperation is an operation on a role's lock.
type roleOperation struct {
	role string
	operation
}

// recordOperation adds an operation to the history that porcupine checks.
func (s *Simulation) recordOperation(n *node, name string, in operation, from, to float64) {
	s.operations = append(s.operations, porcupine.Operation{ClientId: n.number, Input: roleOperation{name, in}, Call: int64(from * 1e9), Output: nil, Return: int64(to * 1e9)})
}

// lockState is the state of a role's lock: the last token and the node that holds it, -1 for none.
type lockState struct {
	token uint64
	node  int
}

// lockModel is a lock with fencing tokens: it may be acquired under a higher token at any time, since the lease before has ended
// by then, is used only by its last holder, and ends once.
var lockModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		var names []string
		var parts [][]porcupine.Operation
		for _, o := range all {
			name := o.Input.(roleOperation).role
			i := slices.Index(names, name)
			if i < 0 {
				i, names, parts = len(names), append(names, name), append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
	Init: func() any { return lockState{node: -1} },
	Step: func(state, in, _ any) (bool, any) {
		s, o := state.(lockState), in.(roleOperation)
		switch o.kind {
		case "acquire":
			return o.token > s.token, lockState{o.token, o.node}
		case "use":
			return s.token == o.token && s.node == o.node, s
		}
		if s.token == o.token && s.node == o.node {
			return true, lockState{s.token, -1}
		}
		return o.token < s.token, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkHistory checks that the operations are linearizable. A check that takes longer than a minute counts as passed.
func (s *Simulation) checkHistory() {
	if porcupine.CheckOperationsTimeout(lockModel, s.operations, time.Minute) == porcupine.Illegal {
		s.breakRule(RuleNotLinearizable, "grants, uses and ends have no order")
	}
}
