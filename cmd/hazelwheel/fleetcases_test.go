package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/lab/processcluster"
	"hazelwheel/internal/peers/frames"
)

func names(all []*fleetMember) (n []string) {
	for _, m := range all {
		n = append(n, m.name)
	}
	return n
}

// deaths returns how many deaths some members have declared in all.
func (c *testFleet) deaths(all ...*fleetMember) (n uint64) {
	c.Helper()
	for _, m := range all {
		s, ok := m.status()
		require.True(c, ok)
		n += s.View.Deaths
	}
	return n
}

func (m *fleetMember) id() string {
	s, _ := m.status()
	return s.ID
}

// A network partition splits seven sidecars four to three: each side counts only itself, and both serve. After it heals they are one
// fleet again. Then the same with a short partition.
func TestFleetPartition(t *testing.T) {
	c := newTestFleet(t, 7).start()
	c.ready(c.all...)
	stop := c.serveAll()
	c.awaitAgreement(c.all...)
	left, right := c.all[:4], c.all[4:]
	ways := processcluster.Directions(names(left), names(right), false)
	c.peerProxy.SetFault(processcluster.LinkFault{Cut: true}, ways...)
	t.Logf("the two sides have separate views after %v", max(c.awaitView(left, left), c.awaitView(right, right)))
	c.awaitRanks(left...)
	c.awaitRanks(right...)
	c.peerProxy.SetFault(processcluster.LinkFault{}, ways...)
	t.Logf("all agree again after %v", c.awaitAgreement(c.all...))
	c.awaitRanks(c.all...)

	c.peerProxy.SetFault(processcluster.LinkFault{Cut: true}, ways...)
	c.poll("a member is suspected", func() bool {
		s, _ := left[0].status()
		return slices.ContainsFunc(s.Members, func(m coordination.MemberStatus) bool { return m.State != "alive" })
	})
	c.peerProxy.SetFault(processcluster.LinkFault{}, ways...)
	t.Logf("all agree again %v after a short partition", c.awaitAgreement(c.all...))
	s, _ := c.all[0].status()
	assert.Len(t, s.Members, 7, "no member has changed its identity")
	stop()
}

// All links are limited to ten bytes a second, less than heartbeats need: some members are suspected, all serve, and once the limit is
// lifted all agree.
func TestFleetOverSlowLinks(t *testing.T) {
	c := newTestFleet(t, 5).start()
	c.ready(c.all...)
	stop := c.serveAll()
	c.awaitAgreement(c.all...)
	ways := processcluster.Directions(names(c.all), names(c.all), false)
	c.peerProxy.SetFault(processcluster.LinkFault{BytesPerSecond: 10}, ways...)
	c.poll("a member is suspected", func() bool {
		s, _ := c.all[0].status()
		return slices.ContainsFunc(s.Members, func(m coordination.MemberStatus) bool { return m.State != "alive" })
	})
	c.peerProxy.SetFault(processcluster.LinkFault{}, ways...)
	t.Logf("agree after %v", c.awaitAgreement(c.all...))
	stop()
}

// A member that most others can reach is not declared dead, whether one other can't hear it or two can't. The ones that can't hear it
// are among its watchers: only watchers expect heartbeats of it, so its silence means nothing to others.
func TestFleetPartialConnectivity(t *testing.T) {
	t.Parallel() // else all other tests wait until its last case has ended
	for name, deaf := range map[string]int{"one way": 1, "two of seven": 2} {
		t.Run(name, func(t *testing.T) {
			c := newTestFleet(t, 7).start()
			c.ready(c.all...)
			c.awaitAgreement(c.all...)
			stop := c.serveAll()
			mute, watchers := c.watched(deaf)
			ways := processcluster.Directions([]string{mute.name}, names(watchers[:deaf]), true)
			c.peerProxy.SetFault(processcluster.LinkFault{Cut: true}, ways...)
			// It is accused, refutes that, and is accused again after a while: by then it could have been declared dead.
			refutations := uint64(0)
			c.pollWith("the muted sidecar has refuted its suspicion twice", func() bool {
				s, _ := mute.status()
				refutations = s.View.Refutations
				return refutations >= 2
			}, func() string {
				return fmt.Sprintf("%s has refuted its suspicion %d times, watched by %v, not heard by %v", mute.name, refutations, names(watchers), names(watchers[:deaf]))
			})
			c.peerProxy.SetFault(processcluster.LinkFault{}, ways...)
			c.awaitAgreement(c.all...)
			assert.Zero(t, c.deaths(c.all...))
			stop()
		})
	}
}

// watched returns a member that at least so many others watch, and these watchers. Who watches whom depends on the identities, which are
// random: of seven members, two given ones are neighbors on no ring in a fifth of all cases.
func (c *testFleet) watched(atLeast int) (by *fleetMember, watchers []*fleetMember) {
	c.Helper()
	c.poll(fmt.Sprintf("a member is watched by %d", atLeast), func() bool {
		of := map[string][]*fleetMember{}
		for _, m := range c.all {
			s, ok := m.status()
			if !ok {
				return false
			}
			for _, other := range s.Members {
				if other.Monitored && other.Connected {
					of[other.Name] = append(of[other.Name], m)
				}
			}
		}
		for _, m := range c.all {
			if watchers = of[m.name]; len(watchers) >= atLeast {
				by = m
				return true
			}
		}
		return false
	})
	return by, watchers
}

// A member that is stopped for a while resumes with its old state, and no other member is declared dead because of it.
func TestFleetWithStoppedMember(t *testing.T) {
	t.Parallel() // else all other tests wait until its last case has ended
	for _, stall := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
		t.Run(stall.String(), func(t *testing.T) {
			c := newTestFleet(t, 5).start()
			c.ready(c.all...)
			c.awaitAgreement(c.all...)
			stop, still, others := c.serveAll(), c.all[2], c.all[:2]
			others = append(slices.Clone(others), c.all[3:]...)
			before, _ := still.status()
			began := time.Now()
			still.freeze()
			if stall > 4*time.Second {
				t.Logf("considered dead after %v", c.awaitView(others, others))
			}
			time.Sleep(stall - time.Since(began)) // the duration of the fault itself; its effects are polled for
			still.resume()
			t.Logf("a member again after %v", c.awaitAgreement(c.all...))
			after, _ := still.status()
			assert.Equal(t, before.ID, after.ID)
			for _, m := range c.all {
				s, _ := m.status()
				assert.Len(t, s.Members, 5, "no member has changed its identity")
			}
			if deaths := c.deaths(still); assert.Zero(t, deaths, "it suspects itself before others") && stall > 4*time.Second {
				assert.NotZero(t, after.View.Refutations+after.View.Stalls)
			}
			stop()
		})
	}
}

// A state folder was copied, so two processes claim one identity. Both serve, the one whose state is older takes another identity, and
// both are counted.
func TestFleetCopiedState(t *testing.T) {
	c := newTestFleet(t, 3).start()
	c.ready(c.all...)
	c.awaitAgreement(c.all...)
	was := c.all[2].id()
	twin := c.add()
	raw, err := os.ReadFile(filepath.Join(c.all[2].dir, "peer"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(twin.dir, "peer"), raw, 0o600))
	stop := c.serveAll()
	twin.gone.Store(true)
	twin.start()
	c.ready(twin)
	c.awaitAgreement(c.all...)
	ids := map[string]bool{}
	for _, m := range c.all {
		ids[m.id()] = true
	}
	assert.Len(t, ids, 4)
	assert.True(t, ids[was], "one of the two keeps the identity")
	c.poll("a sidecar reports that it changed its identity", func() bool {
		return strings.Contains(c.all[2].log.String()+twin.log.String(), "goes on under another identity")
	})
	// The new identity is stored: after a restart all members keep theirs.
	for _, m := range []*fleetMember{c.all[2], twin} {
		id := m.id()
		m.kill()
		c.ready(m.start())
		c.awaitAgreement(c.all...)
		assert.Equal(t, id, m.id())
	}
	stop()
}

// All members are killed and restart within a second, and only one of the addresses to join by is alive. Then members that find no peer
// serve alone until they meet.
func TestFleetRestart(t *testing.T) {
	c := newTestFleet(t, 6)
	for _, m := range c.all { // two of the three addresses to join by are never alive
		m.join = []string{freeAddress(t), freeAddress(t), c.all[0].advertise}
	}
	c.start().ready(c.all...)
	c.awaitAgreement(c.all...)
	stop := c.serveAll()
	ids := map[string]bool{}
	for _, m := range c.all {
		ids[m.id()] = true
	}
	for _, m := range c.all {
		m.gone.Store(true)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range c.all {
		<-m.ended
		m.start()
	}
	c.ready(c.all...)
	t.Logf("all members again after %v", c.awaitAgreement(c.all...))
	for _, m := range c.all {
		assert.True(t, ids[m.id()], "it keeps its identity")
	}
	stop()

	lonely := newTestFleetIn(t, 3)
	for _, m := range lonely.all {
		m.join = []string{lonely.all[2].advertise}
	}
	for _, m := range lonely.all[:2] {
		lonely.ready(m.start())
		var s coordination.Status
		lonely.poll("the sidecar has started", func() bool { // it serves before its identity is on disk
			s, _ = m.status()
			return s.ID != ""
		})
		assert.Equal(t, 1, s.Live)
		assert.Equal(t, 3, s.Count, "a member that is alone uses its settings")
	}
	lonely.all[2].gone.Store(true)
	lonely.ready(lonely.all[2].start())
	t.Logf("agree after %v", lonely.awaitAgreement(lonely.all...))
	lonely.awaitRanks(lonely.all...)
}

// If the state on disk is lost, truncated, of a later version or not writable, the process serves under a new identity. With its state
// it keeps its identity.
func TestFleetState(t *testing.T) {
	c := newTestFleet(t, 4).start()
	c.ready(c.all...)
	c.awaitAgreement(c.all...)
	stop, m := c.serveAll(), c.all[3]
	file := filepath.Join(m.dir, "peer")
	for _, k := range []struct {
		name, says string
		same       bool
		spoil      func(raw []byte)
	}{
		{"kept", "", true, func([]byte) {}},
		{"lost", "", false, func([]byte) { require.NoError(t, os.Remove(file)) }},
		{"torn", "it is torn", false, func(raw []byte) { require.NoError(t, os.WriteFile(file, raw[:len(raw)-3], 0o600)) }},
		{"changed", "it is torn", false, func(raw []byte) {
			raw[len(raw)-3] ^= 1
			require.NoError(t, os.WriteFile(file, raw, 0o600))
		}},
		{"of a later version", "of a form that is not known", false, func(raw []byte) {
			require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(raw), "peer 2 ", "peer 3 ", 1)), 0o600))
		}},
		{"kept once more", "", true, func([]byte) {}},
	} {
		id := m.id()
		m.kill()
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		k.spoil(slices.Clone(raw))
		m.log.forget()
		m.start()
		c.ready(m)
		c.awaitAgreement(c.all...)
		assert.Equal(t, k.same, id == m.id(), k.name)
		s, _ := m.status()
		assert.True(t, s.IdentityStored, k.name)
		c.poll(k.name, func() bool { return strings.Contains(m.log.String(), k.says) })
		if k.says != "" {
			kept, err := os.ReadFile(file + "-unusable")
			assert.NoError(t, err)
			assert.NotEmpty(t, kept, "nothing is lost")
		}
	}
	m.kill()
	m.dir = filepath.Join(file, "below a file") // nothing can be written below a file
	m.start()
	c.ready(m)
	c.awaitAgreement(c.all...)
	s, _ := m.status()
	assert.False(t, s.IdentityStored)
	c.poll("the log reports that the identity is not kept", func() bool { return strings.Contains(m.log.String(), "the identity can't be kept") })

	// A full disk: no byte of a file can be written.
	m.kill()
	m.dir, m.diskFull = t.TempDir(), true
	m.start()
	c.ready(m)
	c.awaitAgreement(c.all...)
	s, _ = m.status()
	assert.False(t, s.IdentityStored)
	stop()
}

// A fleet of five grows to thirty and shrinks to three, under load. Ranks are dense each time.
func TestFleetGrowsAndShrinks(t *testing.T) {
	c := newTestFleet(t, 30)
	for _, m := range c.all {
		m.gone.Store(true)
	}
	stop := c.serveAll()
	for _, m := range c.all[:5] {
		m.start()
	}
	c.ready(c.all[:5]...)
	c.awaitAgreement(c.all[:5]...)
	c.awaitRanks(c.all[:5]...)
	for _, m := range c.all[5:] {
		m.start()
	}
	c.ready(c.all...)
	t.Logf("thirty agree after %v", c.awaitAgreement(c.all...))
	c.awaitRanks(c.all...)
	for i, m := range c.all[3:] {
		if m.gone.Store(true); i%2 == 0 {
			m.signal(syscall.SIGTERM)
		} else {
			m.signal(syscall.SIGKILL)
		}
	}
	t.Logf("three agree after %v", c.awaitAgreement(c.all[:3]...))
	c.awaitRanks(c.all[:3]...)
	s, _ := c.all[0].status()
	assert.Equal(t, "left", states(s)["m03"])
	assert.Equal(t, "dead", states(s)["m04"])
	stop()
}

// The capture of a sidecar whose rank in its fleet changes replays without differences.
func TestFleetInACapture(t *testing.T) {
	c := newTestFleet(t, 4)
	c.replica = 2 // the configured number is wrong; the live members count
	for _, m := range c.all {
		m.capture = true
	}
	c.start().ready(c.all...)
	c.awaitAgreement(c.all...)
	c.awaitRanks(c.all...)
	m := c.all[0]
	w := &testSidecar{T: t, listen: m.listen}
	w.client.Timeout = patience
	w.load(80)
	m.signal(syscall.SIGUSR1)
	c.poll("the dump is complete", func() bool { return strings.Contains(m.log.String(), `"k":"end"}`) })
	text := m.log.String()
	text = text[strings.Index(text, `"k":"dump"}`)-len(`{"t":1234567890123,`):]
	assert.Contains(t, text, `"k":"place"`)
	code, out := w.replay(text)
	assert.Zero(t, code, out)
	assert.Greater(t, comparedDecisions(t, out), 20)
}

// A process takes over from another with its socket: it keeps the identity, and the two are never counted as two members.
func TestFleetReplacement(t *testing.T) {
	c := newTestFleet(t, 4)
	m := c.all[3]
	l, err := net.Listen("tcp", m.listen)
	require.NoError(t, err)
	m.inheritedSocket, err = l.(*net.TCPListener).File()
	require.NoError(t, err)
	defer m.inheritedSocket.Close()
	l.Close()
	m.env = []string{"TMPDIR=" + m.tmp, "GW_PASSED_SOCKET=4"}
	c.start().ready(c.all...)
	c.awaitAgreement(c.all...)
	id := m.id()
	over, most := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-over:
				most <- n
				return
			case <-time.After(5 * time.Millisecond):
				if s, ok := c.all[0].status(); ok {
					n = max(n, s.Live, s.Count)
				}
			}
		}
	}()
	for range 3 {
		old, ended, door := m.cmd, m.ended, m.ops
		m.ops = freeAddress(t) // each process has its own admin endpoint
		m.start()
		c.poll("the new process acts for the sidecar", func() bool {
			s, ok := m.status()
			return ok && s.ID == id && len(alive(s)) == 4 && s.Links.Links >= 3
		})
		c.poll("the old process is quiet", func() bool {
			text, err := callOnce(door, "PEERS\n")
			return err == nil && strings.Contains(text, `"quiet":true`)
		})
		require.NoError(t, old.Process.Signal(syscall.SIGTERM))
		<-ended
		c.awaitAgreement(c.all...)
		c.poll("peers reach the new one", func() bool { return strings.Contains(m.log.String(), "peers can come\"") })
		m.log.forget()
	}
	close(over)
	assert.Equal(t, 4, <-most)
	assert.Equal(t, id, m.id())
}

// A malicious peer sends arbitrary messages. Its connection is closed, the other members go on, and nobody's memory grows without bound.
func TestFleetMaliciousPeer(t *testing.T) {
	c := newTestFleet(t, 3).start()
	c.ready(c.all...)
	c.awaitAgreement(c.all...)
	stop, victim := c.serveAll(), c.all[0]
	hello := func(fleetName string) []byte {
		self := swim.Record{ID: 7, Version: swim.Version{Incarnation: 1 << 32, BootID: 1}, Name: "liar", Address: "127.0.0.1:1"}
		inner, err := frames.Marshal(swim.Hello{Self: self})
		require.NoError(t, err)
		body, err := frames.Marshal(frames.Hello{Fleet: fleetName, Name: "liar", ID: 7, Address: self.Address, Body: inner})
		require.NoError(t, err)
		frame, err := frames.Append(nil, frames.TopicHello, body)
		require.NoError(t, err)
		return frame
	}
	records := func(n int, seed uint64) []byte {
		rng := rand.New(rand.NewPCG(seed, 1))
		var m swim.Message
		for range n {
			m.Records = append(m.Records, swim.Record{ID: swim.ID(rng.Uint64()), Version: swim.Version{Incarnation: 1 << 32, BootID: 1}, Name: "phantom",
				Address: fmt.Sprintf("127.0.0.1:%d", 1+rng.IntN(9))})
		}
		body, err := frames.Marshal(m)
		require.NoError(t, err)
		frame, err := frames.Append(nil, frames.TopicMembership, body)
		require.NoError(t, err)
		return frame
	}
	bad := func(frame []byte, change func([]byte)) []byte {
		frame = slices.Clone(frame)
		change(frame)
		return frame
	}
	speak := func(texts ...[]byte) {
		conn, err := net.Dial("tcp", victim.peers)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
		for _, text := range texts {
			if _, err := conn.Write(text); err != nil {
				return // the sidecar has closed the connection
			}
		}
		_, _ = io.Copy(io.Discard, conn) // until the sidecar closes the connection, which an error shows too
	}
	for name, texts := range map[string][][]byte{
		"a huge frame":           {hello("yard"), binary.BigEndian.AppendUint32(nil, 1<<31)},
		"no frame":               {[]byte("GET / HTTP/1.1\r\n\r\n")},
		"half a frame":           {hello("yard")[:20]},
		"another fleet":          {hello("quarry")},
		"another version":        {bad(hello("yard"), func(f []byte) { f[4] = 9 })},
		"a body that is none":    {hello("yard"), bad(records(3, 1), func(f []byte) { f[6] = 0xc1 })},
		"members before a hello": {records(3, 1)},
	} {
		speak(texts...)
		_, ok := victim.status()
		require.True(t, ok, name)
	}
	var million [][]byte
	for i := range 10000 {
		million = append(million, records(100, uint64(i)))
	}
	speak(append([][]byte{hello("yard")}, million...)...)
	s, _ := victim.status()
	t.Logf("members known after a million forged messages: %d; links %+v", len(s.Members), s.Links)
	assert.Less(t, len(s.Members), 4000)
	// The last connection exceeds the rate limit if it sends fast enough. On a busy machine it is closed before that, as an unneeded
	// link.
	assert.GreaterOrEqual(t, s.Links.ProtocolErrors, uint64(6))
	assert.Less(t, s.Links.ReceivedBytes, uint64(4<<20))
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", victim.cmd.Process.Pid))
	require.NoError(t, err)
	peak := 0
	for line := range strings.Lines(string(raw)) {
		fmt.Sscanf(line, "VmHWM: %d kB", &peak)
	}
	t.Logf("at most %d kB resident", peak)
	assert.Less(t, peak, 200<<10)
	for _, text := range []string{"is of another fleet", "not spoken here"} {
		assert.Equal(t, 1, strings.Count(victim.log.String(), text), "logged once")
	}
	for _, m := range c.all {
		s, ok := m.status()
		require.True(t, ok)
		for _, other := range c.all {
			assert.Equal(t, "alive", states(s)[other.name], "live members are not evicted for dead ones")
		}
	}
	stop()
}
