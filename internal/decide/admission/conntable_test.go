package admission

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func mustParseAddr(text string) netip.Addr { return netip.MustParseAddr(text) }

// testTable uses a ConnTable as a sidecar does: it closes the victim of each new connection.
type testTable struct {
	*ConnTable
	now    float64
	closed []*Conn
}

func newTestTable(s Settings) *testTable { return &testTable{ConnTable: NewConnTable(s), now: 1000} }

// connect adds a connection of an address after some seconds. It returns nil if the connection is refused.
func (c *testTable) connect(addr string, after float64) *Conn {
	c.now += after
	l, v := c.Add(c.now, mustParseAddr(addr), nil)
	if v != Admitted {
		victim := c.VictimFor(c.now, l, v)
		if victim == nil {
			c.Remove(l)
			return nil
		}
		c.closed = append(c.closed, victim)
		c.Remove(victim)
	}
	return l
}

// serve marks a request of a connection as served completely.
func (c *testTable) serve(l *Conn) *Conn {
	c.SetState(c.now, l, StateActive)
	c.RecordServed(l)
	c.SetState(c.now, l, StateIdle)
	return l
}

// connectKnown adds a connection of an address and makes the address known.
func (c *testTable) connectKnown(addr string) *Conn {
	l := c.connect(addr, 0)
	for range knownScore {
		c.serve(l)
	}
	return l
}

// A flood loses only its own connections, whatever their state and however many addresses it has. New connections of a known
// client are always admitted, its idle connection is kept, and so is the active one of an unknown client.
func TestFloodLosesItsOwnConnections(t *testing.T) {
	for name, from := range map[string]func(int) string{
		"one address":          func(int) string { return "10.0.0.2" },
		"a thousand addresses": func(i int) string { return fmt.Sprintf("10.1.%d.%d", i/250%4, i%250) },
		"one IPv6 network":     func(i int) string { return fmt.Sprintf("2001:db8::%x", i+1) },
		"many IPv6 networks":   func(i int) string { return fmt.Sprintf("2001:db8:0:%x::1", i%500) },
	} {
		for _, s := range []State{StateNew, StateReading, StateWriting, StateClosing, StateIdle} {
			for _, every := range []float64{0.0001, 0.02} { // seconds between two connections: faster than any grace period, and slower than some
				c := newTestTable(Settings{MaxConns: 100, ReservedForKnown: 10})
				kept := c.connectKnown("10.0.0.3")
				active := c.connect("10.0.0.4", 0)
				require.NotNil(t, active)
				c.SetState(c.now, active, StateActive)
				for i := range 1000 {
					if l := c.connect(from(i), every); l != nil {
						c.SetState(c.now, l, s)
					}
					if i%20 == 19 {
						fresh := c.connect("10.0.0.3", 0)
						require.NotNil(t, fresh, "%s, %s, every %g s: a known client is shut out", name, s, every)
						c.Remove(c.serve(fresh))
					}
					if i > 200 && i%20 == 9 {
						third := c.connect("10.9.0.1", 0)
						require.NotNil(t, third, "%s, %s, every %g s: an unknown client is shut out", name, s, every)
						c.Remove(third)
					}
				}
				assert.NotContains(t, c.closed, kept)
				assert.NotContains(t, c.closed, active)
				assert.LessOrEqual(t, c.Len(), 100)
			}
		}
	}
}

// Active connections of unknown clients can fill only the unreserved part of the table. The reserve is for known clients, even
// after a part of it is used.
func TestReserveIsForKnownClients(t *testing.T) {
	c := newTestTable(Settings{MaxConns: 20, ReservedForKnown: 5})
	l := c.connectKnown("10.0.0.3")
	c.SetState(c.now, l, StateActive)
	taken := 0
	for i := range 40 {
		if s := c.connect(fmt.Sprintf("10.2.0.%d", i+1), 0.001); s != nil {
			c.SetState(c.now, s, StateActive)
			taken++
		}
	}
	assert.Equal(t, 15, taken)
	for i := range 4 {
		require.NotNil(t, c.connect("10.0.0.3", 0), "connection %d of a known client", i)
	}
	assert.Empty(t, c.closed, "no active connection is closed for a new one")
	assert.Nil(t, c.connect("10.0.0.9", 0))
}

// A known client that floods the table loses its own connections, as an unknown one does.
func TestFloodOfKnownClient(t *testing.T) {
	c := newTestTable(Settings{MaxConns: 100})
	c.connectKnown("10.0.0.2")
	for range 500 {
		if l := c.connect("10.0.0.2", 0.0001); l != nil {
			c.SetState(c.now, l, StateReading)
		}
	}
	for range 20 {
		l := c.connect("10.9.0.1", 0.001)
		require.NotNil(t, l)
		c.Remove(l)
	}
	for _, l := range c.closed {
		assert.Equal(t, mustParseAddr("10.0.0.2"), l.client.addr)
	}
	for range knownScore { // wasted connections make the client unknown again
		c.RecordWasted(c.Oldest(StateReading))
	}
	assert.False(t, c.Oldest(StateReading).IsKnown())
}

func TestLimitsOfAddressAndPrefix(t *testing.T) {
	c := newTestTable(Settings{MaxConns: 100, MaxPerAddress: 3, PrefixLimits: []PrefixLimit{{netip.MustParsePrefix("10.1.0.0/16"), 4}}})
	for i, want := range []bool{true, true, true, false} {
		l := c.connect("10.0.0.2", 0)
		assert.Equal(t, want, l != nil, i)
		if l != nil {
			c.SetState(c.now, l, StateActive)
		}
	}
	for i, want := range []bool{true, true, true, true, false} {
		l := c.connect(fmt.Sprintf("10.1.0.%d", i+1), 0)
		assert.Equal(t, want, l != nil, i)
		if l != nil {
			c.SetState(c.now, l, StateActive)
		}
	}
	mapped, v := c.Add(c.now, mustParseAddr("::ffff:10.0.0.2"), nil)
	assert.Equal(t, OverLimit, v, "an IPv4-mapped IPv6 address counts as the IPv4 address")
	c.Remove(mapped)
	c.SetState(c.now, c.Oldest(StateActive), StateIdle)
	assert.NotNil(t, c.connect("10.0.0.2", 1), "an idle connection of the same address is closed for it")
	assert.Len(t, c.closed, 1)
}

// The buffered bytes of all connections are bounded. The connections of the client with the most reclaimable bytes are closed
// first.
func TestBufferBudget(t *testing.T) {
	c := newTestTable(Settings{MaxConns: 10, MaxBufferedBytes: 90_000})
	var all []*Conn
	for i := range 3 {
		l := c.connect("10.0.0.2", 0)
		c.SetState(c.now, l, []State{StateReading, StateActive, StateWriting}[i])
		c.SetBufferedBytes(l, 30_000+10_000*(i%2))
		all = append(all, l)
	}
	assert.Same(t, all[0], c.BufferVictim(), "it has as many bytes as the third, and the second is active")
	assert.False(t, func() bool { c.Remove(all[0]); return c.IsOverBufferBudget(all[1]) }())
	assert.Nil(t, c.BufferVictim())
	c.SetBufferedBytes(all[1], 200_000)
	assert.True(t, c.IsOverBufferBudget(all[1]))
	modest := c.connect("10.0.0.3", 0)
	assert.True(t, c.IsOverBufferBudget(modest), "more than twice the budget is buffered")
	c.SetBufferedBytes(all[1], 100_000)
	assert.False(t, c.IsOverBufferBudget(modest))
	assert.True(t, c.IsOverBufferBudget(all[1]))
	assert.Same(t, all[2], c.BufferVictim())
}

func TestExceedsFairShare(t *testing.T) {
	c := newTestTable(Settings{MaxConns: 1000})
	ask := func(addr string, n int) (l *Conn) {
		for range n {
			l = c.connect(addr, 0)
			c.SetState(c.now, l, StateActive)
		}
		return l
	}
	alone := ask("10.0.0.2", 100)
	assert.False(t, c.ExceedsFairShare(alone), "nobody else is active")
	modest := ask("10.0.0.3", 3)
	assert.True(t, c.ExceedsFairShare(alone))
	assert.False(t, c.ExceedsFairShare(modest))
	for range knownScore {
		c.RecordServed(modest)
	}
	assert.True(t, modest.IsKnown())
	assert.False(t, c.ExceedsFairShare(ask("10.0.0.3", 10)), "a known client may have more")
}

// After any events the counts are right, memory is bounded by the number of connections, and no active connection has been closed
// for another. A known client is never refused while an unknown one holds a connection that could be closed, and the connection
// closed to free a buffer is always one of the client with the most reclaimable bytes.
func TestConnTableProperties(t *testing.T) { rapid.Check(t, checkTableProperties) }

// FuzzConnTable checks the same properties for sequences of events from the fuzzer.
func FuzzConnTable(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkTableProperties)) }

func checkTableProperties(t *rapid.T) {
	{
		s := Settings{MaxConns: rapid.IntRange(4, 30).Draw(t, "most"), MaxBufferedBytes: 50_000}
		s.ReservedForKnown = rapid.IntRange(0, s.MaxConns/2).Draw(t, "reserve")
		c := newTestTable(s)
		addresses := []string{"10.0.0.1", "10.0.0.2", "10.0.1.1", "10.7.0.1", "2001:db8::1", "2001:db8::2"}
		var present []*Conn
		pick := func() *Conn {
			if len(present) == 0 {
				return nil
			}
			return present[rapid.IntRange(0, len(present)-1).Draw(t, "link")]
		}
		remove := func(l *Conn) {
			for i := range present {
				if present[i] == l {
					present = append(present[:i], present[i+1:]...)
					return
				}
			}
			t.Fatal("a connection was closed that is not in the table")
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			c.now += rapid.Float64Range(0, 0.2).Draw(t, "dt")
			switch rapid.IntRange(0, 5).Draw(t, "do") {
			case 0, 1:
				l, v := c.Add(c.now, mustParseAddr(rapid.SampledFrom(addresses).Draw(t, "from")), nil)
				if v != Admitted {
					victim := c.VictimFor(c.now, l, v)
					if victim == nil {
						if l.IsKnown() {
							for _, x := range present {
								state, since := x.State()
								if !x.IsKnown() && state != StateActive && since < c.now-1 {
									t.Fatalf("a known client was refused although a connection of an unknown client has been in state %s for a second", state)
								}
							}
						}
						c.Remove(l)
						continue
					}
					if victim == l || victim.state == StateActive {
						t.Fatal("an active connection or the new one itself was chosen as the victim")
					}
					remove(victim)
					c.Remove(victim)
				}
				present = append(present, l)
			case 2:
				if l := pick(); l != nil {
					c.SetState(c.now, l, State(rapid.IntRange(0, int(stateCount)-1).Draw(t, "state")))
				}
			case 3:
				if l := pick(); l != nil {
					c.SetBufferedBytes(l, rapid.IntRange(0, 30_000).Draw(t, "bytes"))
				}
				for victim := c.BufferVictim(); victim != nil; victim = c.BufferVictim() {
					holds := map[netip.Addr]int{}
					for _, x := range present {
						if x.isBufferReclaimable() {
							holds[x.client.addr] += x.bufferedBytes
						}
					}
					for addr, n := range holds {
						if !victim.isBufferReclaimable() || n > holds[victim.client.addr] {
							t.Fatalf("the victim does not belong to the client with the most reclaimable bytes, %s", addr)
						}
					}
					remove(victim)
					c.Remove(victim)
				}
			case 4:
				if l := pick(); l != nil {
					if rapid.Bool().Draw(t, "good") {
						c.RecordServed(l)
					} else {
						c.RecordWasted(l)
					}
				}
			case 5:
				if l := pick(); l != nil {
					remove(l)
					c.Remove(l)
				}
			}
			checkCounts(t, c.ConnTable, present)
		}
	}
}

// checkCounts compares the counts of a table with the connections that are in it.
func checkCounts(t *rapid.T, r *ConnTable, present []*Conn) {
	n, unknown, active, bytes, clients := 0, 0, 0, 0, map[netip.Addr]float64{}
	for _, l := range present {
		n++
		bytes += l.bufferedBytes
		if !l.client.isKnown {
			unknown++
		}
		if l.state == StateActive {
			active++
		} else {
			clients[l.client.addr]++
		}
		clients[l.client.addr] += 0
	}
	if n != r.conns || n > r.settings.MaxConns || unknown != r.unknownConns || active != r.activeConns || bytes != r.bufferedBytes || len(clients) != len(r.clients) {
		t.Fatalf("%d connections of at most %d, %d unknown, %d active, %d bytes, %d clients; counted %d, %d, %d, %d, %d",
			n, r.settings.MaxConns, unknown, active, bytes, len(clients), r.conns, r.unknownConns, r.activeConns, r.bufferedBytes, len(r.clients))
	}
	for addr, free := range clients {
		a := r.clients[addr]
		if w := a.reclaimableWeight(); a.isKnown && w != free*knownClientWeight || !a.isKnown && w != free || a.countedWeight != w {
			t.Fatalf("%s has weight %g with %g reclaimable connections", addr, w, free)
		}
	}
}

// BenchmarkConnTable measures new connections in a full table. With 4,000 connections from 1,000 addresses they should cost
// little more than in a small table.
func BenchmarkConnTable(b *testing.B) {
	for _, n := range []int{40, 400, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newTestTable(Settings{MaxConns: n})
			from := make([]string, 1000)
			for i := range from {
				from[i] = fmt.Sprintf("10.%d.%d.1", i/250, i%250)
			}
			for i := range n {
				c.SetState(c.now, c.connect(from[i%len(from)], 0), State(i%2)) // StateNew or StateReading
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if l := c.connect(from[i%len(from)], 0.0001); l != nil {
					c.SetState(c.now, l, StateReading)
				}
				c.closed = c.closed[:0]
			}
		})
	}
}
