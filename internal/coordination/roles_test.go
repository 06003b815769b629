package coordination

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/netio"
)

// standing is a network of which only the clock is asked.
type standing struct {
	netio.Net
	now float64
}

func (s *standing) Now() float64 { return s.now }

// A process that stood still for longer than its lease may be asked before its loop has ended what it owned. It must not say that it
// still acts under that token: it doesn't.
func TestTokenWhoseLeaseHasEnded(t *testing.T) {
	f := &Node{net: &standing{now: 100}, options: Options{Rand: rand.New(rand.NewPCG(1, 1))}}
	o := &roleManager{node: f, states: []*roleState{{name: "report", heldToken: 7}}}
	require.NoError(t, o.start(1, nil))
	assert.Zero(t, o.status().Roles[0].HeldToken)
	assert.False(t, o.broadcast("report", 1, nil))
}
