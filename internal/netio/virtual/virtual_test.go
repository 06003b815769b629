package virtual

import (
	"bytes"
	"errors"
	"io"
	"math"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hazelwheel/internal/netio"
)

const day = 1.7e9

// program is a host that notes all its calls and checks that they come in order.
type program struct {
	t        assert.TestingT
	net      *Process
	conns    []*Conn
	got      map[uint64]*bytes.Buffer
	ended    map[uint64]error
	calls    []string
	refuse   bool
	onData   func(c netio.Conn, data []byte)
	onAlarm  func()
	onClosed func(c netio.Conn)
	onStart  func()
}

func (p *program) Start() {
	if p.onStart != nil {
		p.onStart()
	}
}

func (p *program) Open(c netio.Conn) bool {
	p.calls = append(p.calls, "open")
	p.conns = append(p.conns, c.(*Conn))
	p.got[c.(*Conn).id] = &bytes.Buffer{}
	return !p.refuse
}

func (p *program) Traffic(c netio.Conn, data []byte) {
	p.calls = append(p.calls, "traffic")
	id := c.(*Conn).id
	_, over := p.ended[id]
	assert.False(p.t, over, "bytes after the end")
	assert.NotEmpty(p.t, data)
	p.got[id].Write(data)
	if p.onData != nil {
		p.onData(c, data)
	}
}

func (p *program) Closed(c netio.Conn, err error) {
	p.calls = append(p.calls, "closed")
	id := c.(*Conn).id
	_, over := p.ended[id]
	assert.False(p.t, over, "two ends")
	p.ended[id] = err
	if p.onClosed != nil {
		p.onClosed(c)
	}
}

func (p *program) Alarm() {
	p.calls = append(p.calls, "alarm")
	if p.onAlarm != nil {
		p.onAlarm()
	}
}

func (p *program) text(i int) string { return p.got[p.conns[i].id].String() }

// begin starts a program on a machine.
func begin(t assert.TestingT, w *Network, ip string, o ProcessOptions) *program {
	p := &program{t: t, got: map[uint64]*bytes.Buffer{}, ended: map[uint64]error{}}
	o.Name = ip
	p.net = w.Machine(ip).Process(o)
	assert.NoError(t, p.net.Run(p))
	return p
}

const far = "10.0.0.2:80"

// pair starts two programs, of which the first has dialed the second; it returns what became of the dial.
func pair(t assert.TestingT, w *Network, o, server ProcessOptions) (a, b *program, up *[]error) {
	server.Listen = []string{far}
	a, b = begin(t, w, "10.0.0.1", o), begin(t, w, "10.0.0.2", server)
	up = &[]error{}
	a.net.Dial(far, w.Now()+3, "mine", func(err error) { *up = append(*up, err) })
	w.RunUntil(w.Now() + 0.1)
	return a, b, up
}

// What is written comes, in order and whole, however it is cut, held up, lost on the way and read; and both sides get
// one end.
func TestBytesKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(rapid.Uint64().Draw(t, "seed"), day)
		w.SplitProbability = rapid.Float64Range(0, 1).Draw(t, "cuts")
		w.Path.LossProbability = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "loss")
		options := func() ProcessOptions {
			return ProcessOptions{SendBuffer: rapid.IntRange(1, 500).Draw(t, "send"), ReceiveBuffer: rapid.IntRange(1, 500).Draw(t, "receive"),
				MaxWakeDelaySeconds: rapid.Float64Range(0, 0.001).Draw(t, "wake"), CallSeconds: rapid.Float64Range(0, 0.0001).Draw(t, "call"), Shuffle: true,
				ReadRate: rapid.SampledFrom([]float64{0, 5000}).Draw(t, "rate")}
		}
		a, b, up := pair(t, w, options(), options())
		w.RunUntil(w.Now() + 5)
		if len(b.conns) == 0 {
			require.Len(t, *up, 1)
			return // the dial was lost on the way
		}
		ends := []*Conn{a.conns[0], b.conns[0]}
		var sent [2]bytes.Buffer
		machines := []*Machine{a.net.machine, b.net.machine}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			side := rapid.IntRange(0, 1).Draw(t, "side")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				ends[side].process.Stall(w.Now() + rapid.Float64Range(0, 0.1).Draw(t, "stall"))
			case 1:
				w.SetPartitioned(machines[side], machines[1-side], rapid.Bool().Draw(t, "cut"))
			default:
				data := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "data")
				n, err := ends[side].Write(data)
				require.NoError(t, err)
				require.Equal(t, len(data), n)
				sent[side].Write(data)
			}
			w.RunUntil(w.Now() + rapid.Float64Range(0, 0.01).Draw(t, "time"))
		}
		w.SetPartitioned(machines[0], machines[1], false)
		w.SetPartitioned(machines[1], machines[0], false)
		w.RunUntil(w.Now() + 40)
		assert.Equal(t, sent[0].Bytes(), b.got[ends[0].id].Bytes())
		assert.Equal(t, sent[1].Bytes(), a.got[ends[0].id].Bytes())
		assert.Zero(t, ends[0].OutboundBuffered()+ends[1].OutboundBuffered())
		last := rapid.SliceOfN(rapid.Byte(), 1, ends[0].process.options.SendBuffer).Draw(t, "last")
		_, err := ends[0].Write(last)
		require.NoError(t, err)
		ends[0].process.Close(ends[0]) // behind what the socket has taken
		w.RunUntil(w.Now() + 40)
		assert.Equal(t, append(sent[0].Bytes(), last...), b.got[ends[0].id].Bytes())
		assert.Equal(t, map[uint64]error{ends[0].id: nil}, a.ended)
		assert.ErrorIs(t, b.ended[ends[0].id], io.EOF)
		assert.Zero(t, a.net.descriptors)
		assert.Equal(t, 1, b.net.descriptors)
	})
}

// How connections end, and fail to begin.
func TestEnds(t *testing.T) {
	say := func(p *program, text string) { _, _ = p.conns[0].Write([]byte(text)) }
	for name, c := range map[string]struct {
		play     func(w *Network, a, b *program)
		heard    string // by the dialing side
		a, b     error  // what the sides are told
		aUntold  bool
		bUntold  bool
		bReceive string
	}{
		"FIN behind an answer": {play: func(w *Network, a, b *program) {
			say(a, "ask")
			w.RunUntil(w.Now() + 0.1)
			say(b, "answer")
			b.net.Close(b.conns[0])
		}, heard: "answer", a: io.EOF, bReceive: "ask"},
		"half a close ends it, too": {play: func(w *Network, a, b *program) { b.net.CloseWrite(b.conns[0]) }, a: io.EOF, b: io.EOF},
		"closing with unread bytes resets": {play: func(w *Network, a, b *program) {
			b.net.Stall(w.Now() + 0.2)
			say(a, "ask")
			w.RunUntil(w.Now() + 0.1)
			b.net.Close(b.conns[0])
		}, a: syscall.ECONNRESET},
		"a reset destroys what the socket still holds": {play: func(w *Network, a, b *program) {
			w.SetPartitioned(b.net.machine, a.net.machine, true)
			say(b, "answer")
			w.RunUntil(w.Now() + 0.05)
			w.SetPartitioned(b.net.machine, a.net.machine, false)
			say(a, "more")
			b.net.Stall(w.Now() + 0.05)
			w.RunUntil(w.Now() + 0.01)
			b.net.Close(b.conns[0])
		}, a: syscall.ECONNRESET},
		"bytes before a reset are read": {play: func(w *Network, a, b *program) {
			a.net.Stall(w.Now() + 0.2)
			say(b, "answer")
			b.net.Kill()
		}, heard: "answer", a: syscall.ECONNRESET, bUntold: true},
		"bytes for what is closed are answered with a reset": {play: func(w *Network, a, b *program) {
			a.net.Stall(w.Now() + 0.2)
			b.net.Close(b.conns[0])
			w.RunUntil(w.Now() + 0.1)
			say(a, "late")
		}, a: syscall.ECONNRESET},
		"a machine that vanishes says nothing": {play: func(w *Network, a, b *program) {
			b.net.machine.PowerOff()
			w.RunUntil(w.Now() + 20)
			say(a, "anybody?")
		}, aUntold: true, bUntold: true},
		"one that is back resets what is written": {play: func(w *Network, a, b *program) {
			b.net.machine.PowerOff()
			w.RunUntil(w.Now() + 20)
			b.net.machine.PowerOn()
			w.RunUntil(w.Now() + 20)
			assert.Empty(t, a.ended)
			say(a, "anybody?")
		}, a: syscall.ECONNRESET, bUntold: true},
		"also what was written meanwhile": {play: func(w *Network, a, b *program) {
			b.net.machine.PowerOff()
			say(a, "anybody?")
			w.RunUntil(w.Now() + 20)
			b.net.machine.PowerOn()
		}, a: syscall.ECONNRESET, bUntold: true},
		"a link that is silent stays open": {play: func(w *Network, a, b *program) {
			w.Blackhole(a.conns[0])
			say(a, "anybody?")
		}, aUntold: true, bUntold: true},
		"a reset from between": {play: func(w *Network, a, b *program) { w.Reset(a.conns[0]) }, a: syscall.ECONNRESET, b: syscall.ECONNRESET},
		"a loop that ends":     {play: func(w *Network, a, b *program) { b.net.Stop() }, a: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(1, day)
			a, b, up := pair(t, w, ProcessOptions{}, ProcessOptions{})
			require.Equal(t, []error{nil}, *up)
			assert.Equal(t, "mine", a.conns[0].Context())
			assert.Equal(t, far, a.conns[0].RemoteAddr().String())
			c.play(w, a, b)
			w.RunUntil(w.Now() + 30)
			for side, p := range []*program{a, b} {
				err, told := p.ended[a.conns[0].id]
				assert.NotEqual(t, []bool{c.aUntold, c.bUntold}[side], told)
				assert.ErrorIs(t, err, []error{c.a, c.b}[side])
			}
			assert.Equal(t, c.heard, a.text(0))
			if c.bReceive != "" {
				assert.Equal(t, c.bReceive, b.text(0))
			}
		})
	}
}

func TestDials(t *testing.T) {
	var w *Network
	var a, b *program
	for name, c := range map[string]struct {
		prepare func()
		want    error
		at      float64 // when the dial ends, from its beginning
	}{
		"refused":              {func() { b.net.StopListening(func() {}) }, syscall.ECONNREFUSED, 0.001},
		"refused by the dead":  {func() { b.net.Kill() }, syscall.ECONNREFUSED, 0.001},
		"never up":             {func() { b.net.machine.PowerOff() }, syscall.ETIMEDOUT, 2.5},
		"no way back":          {func() { w.SetPartitioned(b.net.machine, a.net.machine, true) }, syscall.ETIMEDOUT, 2.5},
		"back without program": {func() { b.net.machine.PowerOff(); w.Schedule(w.Now()+0.5, b.net.machine.PowerOn) }, syscall.ECONNREFUSED, 1.001},
		"up once the way is": {func() {
			w.SetPartitioned(a.net.machine, b.net.machine, true)
			w.Schedule(w.Now()+0.5, func() { w.SetPartitioned(a.net.machine, b.net.machine, false) })
		}, nil, 1.001},
		"stalled, yet up": {func() { b.net.Stall(w.Now() + 20) }, nil, 0.001},
		"reused address": {func() {
			b.net.Kill()
			begin(t, w, "10.0.0.2", ProcessOptions{Listen: []string{far}})
		}, nil, 0.001},
		"out of descriptors": {func() { a.net.options.MaxDescriptors = 1 }, syscall.EMFILE, 0},
		"backlog full": {func() {
			b.net.options.MaxDescriptors = 2
			b.net.listeners[0].backlog = 3
			for range 4 {
				a.net.Dial(far, w.Now()+20, nil, func(error) {})
				w.RunUntil(w.Now() + 0.01)
			}
			assert.Len(t, b.net.listeners[0].queue, 3)
		}, syscall.ETIMEDOUT, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			w = New(2, day)
			a, b, _ = pair(t, w, ProcessOptions{}, ProcessOptions{})
			c.prepare()
			start := w.Now()
			calls := 0
			a.net.Dial(far, start+2.5, nil, func(err error) {
				calls++
				assert.ErrorIs(t, err, c.want)
				assert.InDelta(t, c.at, w.Now()-start, 0.002)
			})
			w.RunUntil(start + 10)
			assert.Equal(t, 1, calls)
		})
	}
	w = New(3, day)
	a, b, _ = pair(t, w, ProcessOptions{}, ProcessOptions{})
	assert.Error(t, b.net.machine.Process(ProcessOptions{Listen: []string{far}}).Run(a), "the address is in use")
	var ends []error
	cancel := a.net.Dial(far, w.Now()+1, nil, func(err error) { ends = append(ends, err) })
	cancel()
	cancel()
	assert.Empty(t, ends)
	w.RunUntil(w.Now() + 5)
	assert.Equal(t, []error{errDialCancelled}, ends)
	assert.Len(t, b.conns, 1)
	assert.Equal(t, 1, a.net.descriptors)
}

// A peer that does not read fills its window, then the socket, then what the loop keeps; it goes on where it stopped.
func TestBackpressure(t *testing.T) {
	w := New(4, day)
	a, b, _ := pair(t, w, ProcessOptions{SendBuffer: 1000}, ProcessOptions{ReceiveBuffer: 500})
	b.net.SetConnReadRate(b.conns[0], -1)
	_, err := a.conns[0].Write(make([]byte, 10_000))
	require.NoError(t, err)
	assert.Equal(t, 9_000, a.conns[0].OutboundBuffered())
	w.RunUntil(w.Now() + 10)
	assert.Equal(t, 8_500, a.conns[0].OutboundBuffered())
	assert.False(t, b.net.NothingToRead(b.conns[0]))
	b.net.SetConnReadRate(b.conns[0], 1000)
	start := w.Now()
	for a.conns[0].OutboundBuffered() > 0 {
		require.True(t, w.Step())
	}
	assert.InDelta(t, 8.5, w.Now()-start, 0.2)
	w.RunUntil(w.Now() + 3)
	assert.Len(t, b.text(0), 10_000)
	assert.True(t, b.net.NothingToRead(b.conns[0]))
	// At the end it still shows what was never sent.
	b.net.SetConnReadRate(b.conns[0], -1)
	_, err = a.conns[0].Write(make([]byte, 10_000))
	require.NoError(t, err)
	left := 0
	a.onClosed = func(c netio.Conn) { left = c.OutboundBuffered() }
	w.RunUntil(w.Now() + 1)
	b.net.Kill()
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, 8_500, left)
	assert.ErrorIs(t, a.ended[a.conns[0].id], syscall.EPIPE)
}

// Connections beyond the limit wait in the backlog until a descriptor is free.
func TestDescriptorLimit(t *testing.T) {
	w := New(5, day)
	a, b, _ := pair(t, w, ProcessOptions{}, ProcessOptions{MaxDescriptors: 3, ReservedDescriptors: 1})
	a.net.Dial(far, w.Now()+1, nil, func(err error) { assert.NoError(t, err) })
	w.RunUntil(w.Now() + 1)
	assert.Len(t, b.conns, 1)
	assert.Equal(t, 1, b.net.DescriptorFailures())
	_, _ = a.conns[1].Write([]byte("early"))
	b.net.Close(b.conns[0])
	w.RunUntil(w.Now() + 1)
	require.Len(t, b.conns, 2)
	assert.Equal(t, "early", b.text(1))
	now, most := b.net.Descriptors()
	assert.Equal(t, []int{3, 3}, []int{now, most})
}

// A loop that stalls gets all at once when it goes on, its alarm last.
func TestStall(t *testing.T) {
	w := New(6, day)
	a, b, _ := pair(t, w, ProcessOptions{}, ProcessOptions{})
	b.calls = nil
	b.net.Stall(w.Now() + 1)
	b.net.SetAlarm(w.Now() + 0.1)
	b.net.Post(func() { b.calls = append(b.calls, "post") })
	_, _ = a.conns[0].Write([]byte("one"))
	w.RunUntil(w.Now() + 0.5)
	_, _ = a.conns[0].Write([]byte("two"))
	a.net.Close(a.conns[0])
	w.RunUntil(w.Now() + 0.4)
	assert.Empty(t, b.calls)
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, []string{"traffic", "closed", "post", "alarm"}, b.calls)
	assert.InDelta(t, day+0.6, b.conns[0].PeerWrote(), 1e-3) // the time of "two"
	assert.Equal(t, b.conns[0].PeerWrote(), b.conns[0].PeerEnded())
	assert.Equal(t, "onetwo", b.text(0))
}

func TestCalls(t *testing.T) {
	w := New(7, day)
	a, b, _ := pair(t, w, ProcessOptions{}, ProcessOptions{})
	// Closed comes within Close, and what is posted after the present call, in order.
	b.onData = func(c netio.Conn, _ []byte) {
		b.net.Post(func() { b.calls = append(b.calls, "first"); b.net.Post(func() { b.calls = append(b.calls, "third") }) })
		b.net.Post(func() { b.calls = append(b.calls, "second") })
		b.net.Close(c)
		b.net.Close(c)
		b.calls = append(b.calls, "end of call")
		_, err := c.Write([]byte("x"))
		assert.Error(t, err)
	}
	_, _ = a.conns[0].Write([]byte("go"))
	b.calls = nil
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, []string{"traffic", "closed", "end of call", "first", "second", "third"}, b.calls)
	// What yields comes once all that had come has been looked at, also what came while posts took their time.
	a.net.Dial(far, w.Now()+1, nil, func(error) {})
	w.RunUntil(w.Now() + 1)
	b.calls, b.onData = nil, nil
	b.net.options.CallSeconds = 0.01
	b.net.Post(func() {
		b.calls = append(b.calls, "post")
		b.net.Yield(func() { b.calls = append(b.calls, "yield") })
	})
	_, _ = a.conns[1].Write([]byte("came meanwhile"))
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, []string{"post", "traffic", "yield"}, b.calls)
	b.net.options.CallSeconds = 0
	// The latest alarm counts, and it rings once.
	b.calls = nil
	start := w.Now()
	b.net.SetAlarm(start + 1)
	b.net.SetAlarm(start + 3)
	b.net.SetAlarm(start + 2)
	b.onAlarm = func() { assert.InDelta(t, start+2, w.Now(), 1e-6) }
	w.RunUntil(start + 5)
	assert.Equal(t, []string{"alarm"}, b.calls)
	b.net.SetAlarm(math.NaN())
	// A connection that is turned away is closed with nothing of it read.
	b.refuse, b.calls = true, nil
	a.net.Dial(far, w.Now()+1, nil, func(error) {})
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, []string{"open", "closed"}, b.calls)
	// Write tells the end at once where the connection has broken and the loop has not been told.
	b.refuse = false
	a.net.Dial(far, w.Now()+1, nil, func(error) {})
	w.RunUntil(w.Now() + 1)
	b.calls = nil
	b.net.Stall(w.Now() + 1)
	a.net.Kill()
	w.RunUntil(w.Now() + 0.5)
	last := b.conns[len(b.conns)-1]
	assert.False(t, b.net.NothingToRead(last))
	_, err := last.Write([]byte("x"))
	assert.True(t, errors.Is(err, syscall.EPIPE))
	assert.Equal(t, []string{"closed"}, b.calls)
}

// chatter has programs talk for a while, through a cut and a kill, and returns the hash of it.
func chatter(seed uint64) uint64 {
	w := New(seed, day)
	w.SplitProbability = 0.5
	server := begin(nothing{}, w, "10.0.0.2", ProcessOptions{Listen: []string{far}, Shuffle: true, MaxWakeDelaySeconds: 1e-4})
	server.onData = func(c netio.Conn, data []byte) { _, _ = c.Write(data) }
	for _, ip := range []string{"10.0.0.3", "10.0.0.4", "10.0.0.5"} {
		p := begin(nothing{}, w, ip, ProcessOptions{Shuffle: true, MaxWakeDelaySeconds: 1e-4})
		p.onData = server.onData
		for range 5 {
			p.net.Dial(far, day+5, nil, func(err error) {
				if err == nil {
					_, _ = p.conns[len(p.conns)-1].Write([]byte("hello there"))
				}
			})
		}
	}
	w.RunUntil(day + 0.5)
	w.SetPartitioned(w.Machine("10.0.0.3"), w.Machine("10.0.0.2"), true)
	w.RunUntil(day + 0.8)
	w.SetPartitioned(w.Machine("10.0.0.3"), w.Machine("10.0.0.2"), false)
	w.Machine("10.0.0.4").processes[0].Kill()
	w.RunUntil(day + 2)
	return w.Hash()
}

type nothing struct{}

func (nothing) Errorf(string, ...any) {}

func TestSameSeedSameHistory(t *testing.T) {
	first := chatter(1)
	for range 3 {
		done := make(chan uint64)
		go func() { done <- chatter(1) }()
		assert.NotEqual(t, first, chatter(2))
		assert.Equal(t, first, <-done)
	}
}

func BenchmarkChatter(b *testing.B) {
	for range b.N {
		chatter(1)
	}
}
