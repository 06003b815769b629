package coordination

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/endpointset"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// fakeLists is the endpoint list of a sidecar that receives updates.
type fakeLists struct {
	set                        *endpointset.Set
	discovery                  string
	isConfirmed                bool
	expirations, invalidations int
}

func (f *fakeLists) DiscoveryAddress() string { return f.discovery }

func (f *fakeLists) ListVersion() (v sidecar.ListVersion, ok bool) {
	v.Index, ok = f.set.Index()
	v.DiscoveryAddress, v.Checksum = f.discovery, f.set.Checksum()
	return v, ok
}

func (f *fakeLists) CompleteList() []byte { return f.set.Snapshot() }

func (f *fakeLists) ApplyList(raw []byte) error {
	_, _, err := f.set.Apply(raw, 1)
	return err
}

func (f *fakeLists) ConfirmList()        { f.isConfirmed = true }
func (f *fakeLists) ExpireList()         { f.isConfirmed = false; f.expirations++ }
func (f *fakeLists) SetDirectWatch(bool) {}
func (f *fakeLists) InvalidateList()     { f.isConfirmed = false; f.invalidations++; f.set.ForgetIndex() }

// newListNode returns a node that receives updates, and its list.
func newListNode() (*Node, *clockLoop, *fakeLists) {
	lists := &fakeLists{set: endpointset.New(nil, nil), discovery: "d:1"}
	n, loop := newTestNode(Options{Settings: Settings{Roles: expandListRoles([]string{"list"})}, Lists: lists})
	return n, loop, lists
}

// sendUpdate makes a role handle an update that was sent atSeconds after the grant.
func sendUpdate(r *listRole, loop *clockLoop, u listUpdate, atSeconds float64) {
	u.AtSeconds = atSeconds
	r.HandleMessage(loop.link, &frames.RoleMessage{Role: r.name, Token: 1, Kind: kindListUpdate, Body: mustMarshal(u)})
}

// Updates of three holders arrive late, twice or not at all. The list is never replaced by an earlier version, always has the content
// of its version, and counts as current for at most staleSeconds after the last update that confirmed it.
func TestListUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, loop, lists := newListNode()
		l := n.roles.listRelay
		// The list of discovery: version i consists of the changes up to i.
		discovered := endpointset.New(nil, nil)
		var checksums []uint64
		var updates []listUpdate
		versions := rapid.IntRange(1, 10).Draw(t, "versions")
		for i := range versions + 1 {
			raw, err := json.Marshal(map[string]any{"index": i, "snapshot": i == 0, "endpoints": []map[string]any{{"name": string(rune('a' + i%4)), "address": "x:1",
				"status": rapid.SampledFrom([]string{"SERVING", "DRAINING", "DELETED"}).Draw(t, "status"), "weight": i}}})
			require.NoError(t, err)
			_, _, err = discovered.Apply(raw, 1)
			require.NoError(t, err)
			if i == 0 {
				require.NoError(t, lists.ApplyList(raw))
			}
			checksums = append(checksums, discovered.Checksum())
			updates = append(updates, listUpdate{Discovery: "d:1", Index: uint64(i), Checksum: discovered.Checksum(), BaseIndex: uint64(max(i-1, 0)), Delta: compress(raw)})
		}
		index, freshAt := uint64(0), 0.0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			loop.now += rapid.Float64Range(0, 2).Draw(t, "pause")
			if rapid.IntRange(0, 4).Draw(t, "silent") > 0 {
				u := updates[rapid.IntRange(0, versions).Draw(t, "update")]
				if rapid.Bool().Draw(t, "without delta") {
					u.Delta = nil
				}
				if rapid.IntRange(0, 9).Draw(t, "of another service") == 0 {
					u.Discovery = "d:2"
				}
				if r := l.sources[rapid.IntRange(0, 2).Draw(t, "role")]; rapid.IntRange(0, 9).Draw(t, "malformed") == 0 {
					before := n.roles.state(r.name).malformed
					r.HandleMessage(loop.link, &frames.RoleMessage{Role: r.name, Token: 1, Kind: kindListUpdate, Body: []byte{0xc1}})
					require.Equal(t, before+1, n.roles.state(r.name).malformed, "malformed messages are counted")
				} else {
					sendUpdate(r, loop, u, loop.now-100)
				}
			}
			l.checkFreshness(loop.now)
			v, ok := lists.ListVersion()
			require.True(t, ok)
			require.GreaterOrEqual(t, v.Index, index, "no version is replaced by an earlier one")
			require.Equal(t, checksums[v.Index], v.Checksum)
			if index = v.Index; l.newestFreshAt() > freshAt {
				freshAt = l.newestFreshAt()
			}
			if lists.isConfirmed {
				require.Less(t, loop.now, freshAt+staleSeconds)
			}
		}
		// An update that contradicts the list.
		u := updates[index]
		u.Checksum++
		sendUpdate(l.sources[0], loop, u, loop.now-100)
		assert.Equal(t, 1, lists.invalidations)
		assert.False(t, lists.isConfirmed)
		_, ok := lists.ListVersion()
		assert.False(t, ok, "the whole list is requested from discovery")
	})
}

// An update that was delayed in a queue confirms the list only as of the time when it was sent.
func TestDelayedUpdatesAreOld(t *testing.T) {
	n, loop, lists := newListNode()
	l := n.roles.listRelay
	require.NoError(t, lists.ApplyList([]byte(`{"index":7,"snapshot":true,"endpoints":[]}`)))
	v, _ := lists.ListVersion()
	send := func(at float64) {
		sendUpdate(l.sources[1], loop, listUpdate{Discovery: "d:1", Index: 7, Checksum: v.Checksum}, at)
		l.checkFreshness(loop.now)
	}
	send(0)
	assert.True(t, lists.isConfirmed)
	for i := 1; i <= 20; i++ { // each is delayed half a second longer than the one before
		loop.now = 100 + 2.5*float64(i)
		send(2 * float64(i))
	}
	assert.False(t, lists.isConfirmed, "ten seconds behind")
	assert.NotZero(t, lists.expirations)
}
