package coordination

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/endpointset"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// stillNet is a network on which nothing happens but that time goes by.
type stillNet struct {
	netio.Net
	now  float64
	link *peers.Link
}

func (n *stillNet) Now() float64 { return n.now }

func (n *stillNet) Dial(_ string, _ float64, context any, _ func(error)) (stop func()) {
	n.link = context.(*peers.Link)
	return func() {}
}

// fedFleet returns a fleet of which nothing is up but one link, which takes nothing.
func fedFleet(h *holder) (*Node, *stillNet) {
	net := &stillNet{now: 100}
	f := &Node{net: net, log: slog.New(slog.DiscardHandler), links: map[int]*peers.Link{}, options: Options{Settings: Settings{Roles: expandListRoles([]string{"list"})}, Lists: h,
		Rand: rand.New(rand.NewPCG(1, 2))}}
	f.roles = newRoleManager(f)
	peers.New("yard", 1, f, net, f.log).Dial("x:1")
	return f, net
}

// holder is a sidecar as one that is fed.
type holder struct {
	g             *endpointset.Set
	at            string
	fed, own      bool
	starved, wary int
}

func (h *holder) Discovery() string { return h.at }
func (h *holder) ListVersion() (v sidecar.ListVersion, ok bool) {
	v.Index, ok = h.g.Index()
	v.Discovery, v.Sum = h.at, h.g.Sum()
	return v, ok
}
func (h *holder) WholeList() []byte { return h.g.Whole() }
func (h *holder) TakeList(raw []byte) error {
	_, _, err := h.g.Apply(raw, 1)
	return err
}
func (h *holder) Fed()             { h.fed = true }
func (h *holder) Starved()         { h.fed = false; h.starved++ }
func (h *holder) WatchOwn(on bool) { h.own = on }
func (h *holder) Distrust()        { h.fed = false; h.wary++; h.g.Unversion() }

// Words of three owners come late, twice and not at all. The list that is held never goes back, is the one of its version whenever it
// counts as fed, and does so no longer than news may be old.
func TestWordsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &holder{g: endpointset.New(nil, nil), at: "d:1"}
		f, net := fedFleet(h)
		l := f.roles.listRelay
		// What discovery has: the version n is the first n changes.
		truth := endpointset.New(nil, nil)
		var sums []uint64
		var words []listUpdate
		n := rapid.IntRange(1, 10).Draw(t, "versions")
		for i := range n + 1 {
			raw, err := json.Marshal(map[string]any{"index": i, "snapshot": i == 0, "endpoints": []map[string]any{{"name": string(rune('a' + i%4)), "address": "x:1",
				"status": rapid.SampledFrom([]string{"SERVING", "DRAINING", "DELETED"}).Draw(t, "status"), "weight": i}}})
			require.NoError(t, err)
			_, _, err = truth.Apply(raw, 1)
			require.NoError(t, err)
			if i == 0 {
				require.NoError(t, h.TakeList(raw))
			}
			sums = append(sums, truth.Sum())
			words = append(words, listUpdate{Discovery: "d:1", Index: uint64(i), Checksum: truth.Sum(), BaseIndex: uint64(max(i-1, 0)), Delta: compress(raw)})
		}
		held, good := uint64(0), 0.0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			net.now += rapid.Float64Range(0, 2).Draw(t, "pause")
			if rapid.IntRange(0, 4).Draw(t, "silent") > 0 {
				w := words[rapid.IntRange(0, n).Draw(t, "word")]
				w.AtSeconds = net.now - 100
				if rapid.Bool().Draw(t, "bare") {
					w.Delta = nil
				}
				if rapid.IntRange(0, 9).Draw(t, "elsewhere") == 0 {
					w.Discovery = "d:2"
				}
				if j := l.sources[rapid.IntRange(0, 2).Draw(t, "owner")]; rapid.IntRange(0, 9).Draw(t, "torn") == 0 {
					before := f.roles.state(j.name).malformed
					j.HandleMessage(net.link, &frames.RoleMessage{Role: j.name, Token: 1, Kind: kindListUpdate, Body: []byte{0xc1}})
					require.Equal(t, before+1, f.roles.state(j.name).malformed, "what makes no sense is counted")
				} else {
					j.HandleMessage(net.link, &frames.RoleMessage{Role: j.name, Token: 1, Kind: kindListUpdate, Body: mustMarshal(w)})
				}
			}
			l.checkFreshness(net.now)
			v, ok := h.ListVersion()
			require.True(t, ok)
			require.GreaterOrEqual(t, v.Index, held, "a lower version takes no later one's place")
			require.Equal(t, sums[v.Index], v.Sum)
			if held = v.Index; l.newestFreshAt() > good {
				good = l.newestFreshAt()
			}
			if h.fed {
				require.Less(t, net.now, good+staleSeconds)
			}
		}
		// A word that can't be discovery's.
		w := words[held]
		w.Checksum, w.AtSeconds = w.Checksum+1, net.now-100
		l.sources[0].HandleMessage(net.link, &frames.RoleMessage{Role: listRoleName, Token: 1, Kind: kindListUpdate, Body: mustMarshal(w)})
		assert.Equal(t, 1, h.wary)
		assert.False(t, h.fed)
		_, ok := h.ListVersion()
		assert.False(t, ok, "the whole list is asked for")
	})
}

// What waited in a queue is as old as it waited, however fresh it looks.
func TestHeldWordsAreOld(t *testing.T) {
	h := &holder{g: endpointset.New(nil, nil), at: "d:1"}
	f, net := fedFleet(h)
	l := f.roles.listRelay
	require.NoError(t, h.TakeList([]byte(`{"index":7,"snapshot":true,"endpoints":[]}`)))
	v, _ := h.ListVersion()
	say := func(at float64) {
		l.sources[1].HandleMessage(net.link, &frames.RoleMessage{Role: l.sources[1].name, Token: 1, Kind: kindListUpdate, Body: mustMarshal(listUpdate{Discovery: "d:1", Index: 7, Checksum: v.Sum, AtSeconds: at})})
		l.checkFreshness(net.now)
	}
	say(0)
	assert.True(t, h.fed)
	for i := 1; i <= 20; i++ { // each waits half a second longer than the one before
		net.now = 100 + 2.5*float64(i)
		say(2 * float64(i))
	}
	assert.False(t, h.fed, "ten seconds behind")
	assert.NotZero(t, h.starved)
}
