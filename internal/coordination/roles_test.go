package coordination

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process that stood still for longer than its lease may be asked before its loop has ended the role. It must not claim to act under
// that token.
func TestNoTokenIsActiveWithoutALease(t *testing.T) {
	n, _ := newTestNode(Options{})
	m := &roleManager{node: n, states: []*roleState{{name: "report", heldToken: 7}}}
	require.NoError(t, m.start(1, nil))
	assert.Zero(t, m.status().Roles[0].HeldToken)
	assert.False(t, m.broadcast("report", 1, nil))
}
