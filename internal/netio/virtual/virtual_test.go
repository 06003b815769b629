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

// startTime is the Unix time at which the tests' networks start.
const startTime = 1.7e9

// recordingHandler records its calls and checks their order.
type recordingHandler struct {
	t        assert.TestingT
	process  *Process
	conns    []*Conn
	received map[uint64]*bytes.Buffer
	closed   map[uint64]error
	calls    []string
	refuse   bool
	onData   func(c netio.Conn, data []byte)
	onAlarm  func()
	onClosed func(c netio.Conn)
	onStart  func()
}

func (p *recordingHandler) Start() {
	if p.onStart != nil {
		p.onStart()
	}
}

func (p *recordingHandler) Open(c netio.Conn) bool {
	p.calls = append(p.calls, "open")
	p.conns = append(p.conns, c.(*Conn))
	p.received[c.(*Conn).id] = &bytes.Buffer{}
	return !p.refuse
}

func (p *recordingHandler) Traffic(c netio.Conn, data []byte) {
	p.calls = append(p.calls, "traffic")
	id := c.(*Conn).id
	_, over := p.closed[id]
	assert.False(p.t, over, "bytes after the end")
	assert.NotEmpty(p.t, data)
	p.received[id].Write(data)
	if p.onData != nil {
		p.onData(c, data)
	}
}

func (p *recordingHandler) Closed(c netio.Conn, err error) {
	p.calls = append(p.calls, "closed")
	id := c.(*Conn).id
	_, over := p.closed[id]
	assert.False(p.t, over, "two ends")
	p.closed[id] = err
	if p.onClosed != nil {
		p.onClosed(c)
	}
}

func (p *recordingHandler) Alarm() {
	p.calls = append(p.calls, "alarm")
	if p.onAlarm != nil {
		p.onAlarm()
	}
}

func (p *recordingHandler) text(i int) string { return p.received[p.conns[i].id].String() }

// startHandler starts a recordingHandler on a machine.
func startHandler(t assert.TestingT, w *Network, ip string, o ProcessOptions) *recordingHandler {
	p := &recordingHandler{t: t, received: map[uint64]*bytes.Buffer{}, closed: map[uint64]error{}}
	o.Name = ip
	p.process = w.Machine(ip).Process(o)
	assert.NoError(t, p.process.Run(p))
	return p
}

const serverAddress = "10.0.0.2:80"

// connectPair starts two handlers, of which the first dials the second, and returns the dial's results.
func connectPair(t assert.TestingT, w *Network, o, server ProcessOptions) (a, b *recordingHandler, up *[]error) {
	server.Listen = []string{serverAddress}
	a, b = startHandler(t, w, "10.0.0.1", o), startHandler(t, w, "10.0.0.2", server)
	up = &[]error{}
	a.process.Dial(serverAddress, w.Now()+3, "mine", func(err error) { *up = append(*up, err) })
	w.RunUntil(w.Now() + 0.1)
	return a, b, up
}

// Written bytes arrive complete and in order, however segments are split, lost and delayed and however slowly they are read;
// each side gets one end.
func TestBytesArriveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := New(rapid.Uint64().Draw(t, "seed"), startTime)
		w.SplitProbability = rapid.Float64Range(0, 1).Draw(t, "cuts")
		w.Path.LossProbability = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "loss")
		options := func() ProcessOptions {
			return ProcessOptions{SendBuffer: rapid.IntRange(1, 500).Draw(t, "send"), ReceiveBuffer: rapid.IntRange(1, 500).Draw(t, "receive"),
				MaxWakeDelaySeconds: rapid.Float64Range(0, 0.001).Draw(t, "wake"), CallSeconds: rapid.Float64Range(0, 0.0001).Draw(t, "call"), Shuffle: true,
				ReadRate: rapid.SampledFrom([]float64{0, 5000}).Draw(t, "rate")}
		}
		a, b, up := connectPair(t, w, options(), options())
		w.RunUntil(w.Now() + 5)
		if len(b.conns) == 0 {
			require.Len(t, *up, 1)
			return // the dial was lost on the way
		}
		ends := []*Conn{a.conns[0], b.conns[0]}
		var sent [2]bytes.Buffer
		machines := []*Machine{a.process.machine, b.process.machine}
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
		assert.Equal(t, sent[0].Bytes(), b.received[ends[0].id].Bytes())
		assert.Equal(t, sent[1].Bytes(), a.received[ends[0].id].Bytes())
		assert.Zero(t, ends[0].OutboundBuffered()+ends[1].OutboundBuffered())
		last := rapid.SliceOfN(rapid.Byte(), 1, ends[0].process.options.SendBuffer).Draw(t, "last")
		_, err := ends[0].Write(last)
		require.NoError(t, err)
		ends[0].process.Close(ends[0]) // behind what the socket has taken
		w.RunUntil(w.Now() + 40)
		assert.Equal(t, append(sent[0].Bytes(), last...), b.received[ends[0].id].Bytes())
		assert.Equal(t, map[uint64]error{ends[0].id: nil}, a.closed)
		assert.ErrorIs(t, b.closed[ends[0].id], io.EOF)
		assert.Zero(t, a.process.descriptors)
		assert.Equal(t, 1, b.process.descriptors)
	})
}

// Each way for a connection to end reports its own error at either end.
func TestConnectionEnds(t *testing.T) {
	write := func(p *recordingHandler, text string) { _, _ = p.conns[0].Write([]byte(text)) }
	for name, c := range map[string]struct {
		play     func(w *Network, a, b *recordingHandler)
		heard    string // by the dialing side
		a, b     error  // what the sides are told
		aUntold  bool
		bUntold  bool
		bReceive string
	}{
		"FIN behind an answer": {play: func(w *Network, a, b *recordingHandler) {
			write(a, "ask")
			w.RunUntil(w.Now() + 0.1)
			write(b, "answer")
			b.process.Close(b.conns[0])
		}, heard: "answer", a: io.EOF, bReceive: "ask"},
		"half a close ends it, too": {play: func(w *Network, a, b *recordingHandler) { b.process.CloseWrite(b.conns[0]) }, a: io.EOF, b: io.EOF},
		"closing with unread bytes resets": {play: func(w *Network, a, b *recordingHandler) {
			b.process.Stall(w.Now() + 0.2)
			write(a, "ask")
			w.RunUntil(w.Now() + 0.1)
			b.process.Close(b.conns[0])
		}, a: syscall.ECONNRESET},
		"a reset destroys what the socket still holds": {play: func(w *Network, a, b *recordingHandler) {
			w.SetPartitioned(b.process.machine, a.process.machine, true)
			write(b, "answer")
			w.RunUntil(w.Now() + 0.05)
			w.SetPartitioned(b.process.machine, a.process.machine, false)
			write(a, "more")
			b.process.Stall(w.Now() + 0.05)
			w.RunUntil(w.Now() + 0.01)
			b.process.Close(b.conns[0])
		}, a: syscall.ECONNRESET},
		"bytes before a reset are read": {play: func(w *Network, a, b *recordingHandler) {
			a.process.Stall(w.Now() + 0.2)
			write(b, "answer")
			b.process.Kill()
		}, heard: "answer", a: syscall.ECONNRESET, bUntold: true},
		"bytes for what is closed are answered with a reset": {play: func(w *Network, a, b *recordingHandler) {
			a.process.Stall(w.Now() + 0.2)
			b.process.Close(b.conns[0])
			w.RunUntil(w.Now() + 0.1)
			write(a, "late")
		}, a: syscall.ECONNRESET},
		"a machine that vanishes says nothing": {play: func(w *Network, a, b *recordingHandler) {
			b.process.machine.PowerOff()
			w.RunUntil(w.Now() + 20)
			write(a, "anybody?")
		}, aUntold: true, bUntold: true},
		"one that is back resets what is written": {play: func(w *Network, a, b *recordingHandler) {
			b.process.machine.PowerOff()
			w.RunUntil(w.Now() + 20)
			b.process.machine.PowerOn()
			w.RunUntil(w.Now() + 20)
			assert.Empty(t, a.closed)
			write(a, "anybody?")
		}, a: syscall.ECONNRESET, bUntold: true},
		"also what was written meanwhile": {play: func(w *Network, a, b *recordingHandler) {
			b.process.machine.PowerOff()
			write(a, "anybody?")
			w.RunUntil(w.Now() + 20)
			b.process.machine.PowerOn()
		}, a: syscall.ECONNRESET, bUntold: true},
		"a link that is silent stays open": {play: func(w *Network, a, b *recordingHandler) {
			w.Blackhole(a.conns[0])
			write(a, "anybody?")
		}, aUntold: true, bUntold: true},
		"a reset from between": {play: func(w *Network, a, b *recordingHandler) { w.Reset(a.conns[0]) }, a: syscall.ECONNRESET, b: syscall.ECONNRESET},
		"a loop that ends":     {play: func(w *Network, a, b *recordingHandler) { b.process.Stop() }, a: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(1, startTime)
			a, b, up := connectPair(t, w, ProcessOptions{}, ProcessOptions{})
			require.Equal(t, []error{nil}, *up)
			assert.Equal(t, "mine", a.conns[0].Context())
			assert.Equal(t, serverAddress, a.conns[0].RemoteAddr().String())
			c.play(w, a, b)
			w.RunUntil(w.Now() + 30)
			for side, p := range []*recordingHandler{a, b} {
				err, told := p.closed[a.conns[0].id]
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

// Each way for a dial to fail reports its own error, at its own time.
func TestDialResults(t *testing.T) {
	var w *Network
	var a, b *recordingHandler
	for name, c := range map[string]struct {
		prepare func()
		want    error
		at      float64 // when the dial ends, from its beginning
	}{
		"refused":              {func() { b.process.StopListening(func() {}) }, syscall.ECONNREFUSED, 0.001},
		"refused by the dead":  {func() { b.process.Kill() }, syscall.ECONNREFUSED, 0.001},
		"never up":             {func() { b.process.machine.PowerOff() }, syscall.ETIMEDOUT, 2.5},
		"no way back":          {func() { w.SetPartitioned(b.process.machine, a.process.machine, true) }, syscall.ETIMEDOUT, 2.5},
		"back without program": {func() { b.process.machine.PowerOff(); w.Schedule(w.Now()+0.5, b.process.machine.PowerOn) }, syscall.ECONNREFUSED, 1.001},
		"up once the way is": {func() {
			w.SetPartitioned(a.process.machine, b.process.machine, true)
			w.Schedule(w.Now()+0.5, func() { w.SetPartitioned(a.process.machine, b.process.machine, false) })
		}, nil, 1.001},
		"stalled, yet up": {func() { b.process.Stall(w.Now() + 20) }, nil, 0.001},
		"reused address": {func() {
			b.process.Kill()
			startHandler(t, w, "10.0.0.2", ProcessOptions{Listen: []string{serverAddress}})
		}, nil, 0.001},
		"out of descriptors": {func() { a.process.options.MaxDescriptors = 1 }, syscall.EMFILE, 0},
		"backlog full": {func() {
			b.process.options.MaxDescriptors = 2
			b.process.listeners[0].backlog = 3
			for range 4 {
				a.process.Dial(serverAddress, w.Now()+20, nil, func(error) {})
				w.RunUntil(w.Now() + 0.01)
			}
			assert.Len(t, b.process.listeners[0].queue, 3)
		}, syscall.ETIMEDOUT, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			w = New(2, startTime)
			a, b, _ = connectPair(t, w, ProcessOptions{}, ProcessOptions{})
			c.prepare()
			start := w.Now()
			calls := 0
			a.process.Dial(serverAddress, start+2.5, nil, func(err error) {
				calls++
				assert.ErrorIs(t, err, c.want)
				assert.InDelta(t, c.at, w.Now()-start, 0.002)
			})
			w.RunUntil(start + 10)
			assert.Equal(t, 1, calls)
		})
	}
	w = New(3, startTime)
	a, b, _ = connectPair(t, w, ProcessOptions{}, ProcessOptions{})
	assert.Error(t, b.process.machine.Process(ProcessOptions{Listen: []string{serverAddress}}).Run(a), "the address is in use")
	var ends []error
	cancel := a.process.Dial(serverAddress, w.Now()+1, nil, func(err error) { ends = append(ends, err) })
	cancel()
	cancel()
	assert.Empty(t, ends)
	w.RunUntil(w.Now() + 5)
	assert.Equal(t, []error{errDialCancelled}, ends)
	assert.Len(t, b.conns, 1)
	assert.Equal(t, 1, a.process.descriptors)
}

// A peer that doesn't read fills its receive window, then the send buffer, then the event loop's buffer; once it reads, sending
// continues.
func TestBackpressureOfSlowReader(t *testing.T) {
	w := New(4, startTime)
	a, b, _ := connectPair(t, w, ProcessOptions{SendBuffer: 1000}, ProcessOptions{ReceiveBuffer: 500})
	b.process.SetConnReadRate(b.conns[0], -1)
	_, err := a.conns[0].Write(make([]byte, 10_000))
	require.NoError(t, err)
	assert.Equal(t, 9_000, a.conns[0].OutboundBuffered())
	w.RunUntil(w.Now() + 10)
	assert.Equal(t, 8_500, a.conns[0].OutboundBuffered())
	assert.False(t, b.process.NothingToRead(b.conns[0]))
	b.process.SetConnReadRate(b.conns[0], 1000)
	start := w.Now()
	for a.conns[0].OutboundBuffered() > 0 {
		require.True(t, w.Step())
	}
	assert.InDelta(t, 8.5, w.Now()-start, 0.2)
	w.RunUntil(w.Now() + 3)
	assert.Len(t, b.text(0), 10_000)
	assert.True(t, b.process.NothingToRead(b.conns[0]))
	// At the end it still shows what was never sent.
	b.process.SetConnReadRate(b.conns[0], -1)
	_, err = a.conns[0].Write(make([]byte, 10_000))
	require.NoError(t, err)
	left := 0
	a.onClosed = func(c netio.Conn) { left = c.OutboundBuffered() }
	w.RunUntil(w.Now() + 1)
	b.process.Kill()
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, 8_500, left)
	assert.ErrorIs(t, a.closed[a.conns[0].id], syscall.EPIPE)
}

// Connections above the limit of descriptors wait in the accept queue until one is free.
func TestConnectionsWaitInBacklogForDescriptor(t *testing.T) {
	w := New(5, startTime)
	a, b, _ := connectPair(t, w, ProcessOptions{}, ProcessOptions{MaxDescriptors: 3, ReservedDescriptors: 1})
	a.process.Dial(serverAddress, w.Now()+1, nil, func(err error) { assert.NoError(t, err) })
	w.RunUntil(w.Now() + 1)
	assert.Len(t, b.conns, 1)
	assert.Equal(t, 1, b.process.DescriptorFailures())
	_, _ = a.conns[1].Write([]byte("early"))
	b.process.Close(b.conns[0])
	w.RunUntil(w.Now() + 1)
	require.Len(t, b.conns, 2)
	assert.Equal(t, "early", b.text(1))
	now, most := b.process.Descriptors()
	assert.Equal(t, []int{3, 3}, []int{now, most})
}

// A stalled event loop handles all that has arrived in one turn after the stall, the alarm last.
func TestStalledLoopHandlesAllAtOnce(t *testing.T) {
	w := New(6, startTime)
	a, b, _ := connectPair(t, w, ProcessOptions{}, ProcessOptions{})
	b.calls = nil
	b.process.Stall(w.Now() + 1)
	b.process.SetAlarm(w.Now() + 0.1)
	b.process.Post(func() { b.calls = append(b.calls, "post") })
	_, _ = a.conns[0].Write([]byte("one"))
	w.RunUntil(w.Now() + 0.5)
	_, _ = a.conns[0].Write([]byte("two"))
	a.process.Close(a.conns[0])
	w.RunUntil(w.Now() + 0.4)
	assert.Empty(t, b.calls)
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, []string{"traffic", "closed", "post", "alarm"}, b.calls)
	assert.InDelta(t, startTime+0.6, b.conns[0].PeerWrote(), 1e-3) // the time of "two"
	assert.Equal(t, b.conns[0].PeerWrote(), b.conns[0].PeerEnded())
	assert.Equal(t, "onetwo", b.text(0))
}

// Posts, yields, alarms and closes are called in the order that netio.EventLoop specifies.
func TestOrderOfCalls(t *testing.T) {
	w := New(7, startTime)
	a, b, _ := connectPair(t, w, ProcessOptions{}, ProcessOptions{})
	// Closed comes within Close, and what is posted after the present call, in order.
	b.onData = func(c netio.Conn, _ []byte) {
		b.process.Post(func() {
			b.calls = append(b.calls, "first")
			b.process.Post(func() { b.calls = append(b.calls, "third") })
		})
		b.process.Post(func() { b.calls = append(b.calls, "second") })
		b.process.Close(c)
		b.process.Close(c)
		b.calls = append(b.calls, "end of call")
		_, err := c.Write([]byte("x"))
		assert.Error(t, err)
	}
	_, _ = a.conns[0].Write([]byte("go"))
	b.calls = nil
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, []string{"traffic", "closed", "end of call", "first", "second", "third"}, b.calls)
	// What yields comes once all that had come has been looked at, also what came while posts took their time.
	a.process.Dial(serverAddress, w.Now()+1, nil, func(error) {})
	w.RunUntil(w.Now() + 1)
	b.calls, b.onData = nil, nil
	b.process.options.CallSeconds = 0.01
	b.process.Post(func() {
		b.calls = append(b.calls, "post")
		b.process.Yield(func() { b.calls = append(b.calls, "yield") })
	})
	_, _ = a.conns[1].Write([]byte("came meanwhile"))
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, []string{"post", "traffic", "yield"}, b.calls)
	b.process.options.CallSeconds = 0
	// The latest alarm counts, and it rings once.
	b.calls = nil
	start := w.Now()
	b.process.SetAlarm(start + 1)
	b.process.SetAlarm(start + 3)
	b.process.SetAlarm(start + 2)
	b.onAlarm = func() { assert.InDelta(t, start+2, w.Now(), 1e-6) }
	w.RunUntil(start + 5)
	assert.Equal(t, []string{"alarm"}, b.calls)
	b.process.SetAlarm(math.NaN())
	// A connection that is turned away is closed with nothing of it read.
	b.refuse, b.calls = true, nil
	a.process.Dial(serverAddress, w.Now()+1, nil, func(error) {})
	w.RunUntil(w.Now() + 1)
	assert.Equal(t, []string{"open", "closed"}, b.calls)
	// Write tells the end at once where the connection has broken and the loop has not been told.
	b.refuse = false
	a.process.Dial(serverAddress, w.Now()+1, nil, func(error) {})
	w.RunUntil(w.Now() + 1)
	b.calls = nil
	b.process.Stall(w.Now() + 1)
	a.process.Kill()
	w.RunUntil(w.Now() + 0.5)
	last := b.conns[len(b.conns)-1]
	assert.False(t, b.process.NothingToRead(last))
	_, err := last.Write([]byte("x"))
	assert.True(t, errors.Is(err, syscall.EPIPE))
	assert.Equal(t, []string{"closed"}, b.calls)
}

// runEchoDay runs echoing programs through a partition and a kill, and returns the history's hash.
func runEchoDay(seed uint64) uint64 {
	w := New(seed, startTime)
	w.SplitProbability = 0.5
	server := startHandler(discardT{}, w, "10.0.0.2", ProcessOptions{Listen: []string{serverAddress}, Shuffle: true, MaxWakeDelaySeconds: 1e-4})
	server.onData = func(c netio.Conn, data []byte) { _, _ = c.Write(data) }
	for _, ip := range []string{"10.0.0.3", "10.0.0.4", "10.0.0.5"} {
		p := startHandler(discardT{}, w, ip, ProcessOptions{Shuffle: true, MaxWakeDelaySeconds: 1e-4})
		p.onData = server.onData
		for range 5 {
			p.process.Dial(serverAddress, startTime+5, nil, func(err error) {
				if err == nil {
					_, _ = p.conns[len(p.conns)-1].Write([]byte("hello there"))
				}
			})
		}
	}
	w.RunUntil(startTime + 0.5)
	w.SetPartitioned(w.Machine("10.0.0.3"), w.Machine("10.0.0.2"), true)
	w.RunUntil(startTime + 0.8)
	w.SetPartitioned(w.Machine("10.0.0.3"), w.Machine("10.0.0.2"), false)
	w.Machine("10.0.0.4").processes[0].Kill()
	w.RunUntil(startTime + 2)
	return w.Hash()
}

// discardT is a TestingT for runs whose assertions don't matter.
type discardT struct{}

func (discardT) Errorf(string, ...any) {}

// Equal seeds give equal histories, also on several goroutines at once.
func TestSeedDeterminesHistory(t *testing.T) {
	first := runEchoDay(1)
	for range 3 {
		done := make(chan uint64)
		go func() { done <- runEchoDay(1) }()
		assert.NotEqual(t, first, runEchoDay(2))
		assert.Equal(t, first, <-done)
	}
}

func BenchmarkEcho(b *testing.B) {
	for range b.N {
		runEchoDay(1)
	}
}
