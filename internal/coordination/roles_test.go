package coordination

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// After a pause of the process that outlasts its lease, the status may be read before the loop has stopped the role. No token may be
// active then.
func TestNoTokenIsActiveWithoutALease(t *testing.T) {
	n, _ := newTestNode(Options{})
	m := &roleManager{node: n, states: []*roleState{{name: "report", heldToken: 7}}}
	require.NoError(t, m.start(1, nil))
	assert.Zero(t, m.status().Roles[0].HeldToken)
	assert.False(t, m.broadcast("report", 1, nil))
}
