package processcluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/peers/frames"
)

// A confirmation of a stale grant, requested after the next grant is known, is not linearizable.
func TestCheckLinearizable(t *testing.T) {
	say := func(g *GrantHistory, from, to string, m lease.Message) {
		body, err := frames.Marshal(m)
		require.NoError(t, err)
		g.ObserveFrame(1, Direction{from, to}, frames.TopicLease, body)
	}
	renewal := func(number, token uint64) *lease.Renewal {
		return &lease.Renewal{Number: number, Grants: []lease.Grant{{Role: "report", Holder: 7, Token: token}}}
	}
	for _, c := range []struct {
		name  string
		late  bool // the first owner sends a renewal after the second grant is known
		holds bool
	}{{"one after the other", false, true}, {"an old grant is confirmed after the next", true, false}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewGrantHistory()
			say(g, "a", "leader", lease.Message{RenewRequest: renewal(1, 5)})
			say(g, "leader", "a", lease.Message{RenewReply: renewal(1, 5)})
			say(g, "a", "leader", lease.Message{RenewRequest: renewal(2, 5)}) // in flight while the next is granted
			say(g, "leader", "b", lease.Message{Table: &lease.Table{Grants: []lease.Grant{{Role: "report", Holder: 8, Token: 6}}}})
			say(g, "b", "leader", lease.Message{RenewRequest: renewal(1, 6)})
			say(g, "leader", "b", lease.Message{RenewReply: renewal(1, 6)})
			if c.late {
				say(g, "a", "leader", lease.Message{RenewRequest: renewal(3, 5)})
				say(g, "leader", "a", lease.Message{RenewReply: renewal(3, 5)})
			} else {
				say(g, "leader", "a", lease.Message{RenewReply: renewal(2, 5)})
			}
			n, why := g.CheckLinearizable()
			assert.Equal(t, c.holds, why == "", why)
			assert.Equal(t, c.holds, n == 3)
		})
	}
}

// Effects of two sidecars under one token are a violation.
func TestEffectCheckerFindsTwoOriginsOfAToken(t *testing.T) {
	e := NewEffectChecker()
	for i, origin := range []uint64{7, 7, 8} {
		body, err := frames.Marshal(frames.RoleMessage{Role: "report", Token: 5, Origin: origin, Sequence: uint64(i + 1), Kind: 1})
		require.NoError(t, err)
		e.ObserveFrame(uint64(i), Direction{"a", "b"}, frames.TopicRole, body)
	}
	wrong, _, _, _ := e.Results()
	assert.Len(t, wrong, 1)
}
