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

// recordingHandler records its calls, and checks that there is no call for a connection after Closed.
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
	_, isClosed := p.closed[id]
	assert.False(p.t, isClosed, "Traffic after Closed")
	assert.NotEmpty(p.t, data)
	p.received[id].Write(data)
	if p.onData != nil {
		p.onData(c, data)
	}
}

func (p *recordingHandler) Closed(c netio.Conn, err error) {
	p.calls = append(p.calls, "closed")
	id := c.(*Conn).id
	_, isClosed := p.closed[id]
	assert.False(p.t, isClosed, "Closed called twice")
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
func startHandler(t assert.TestingT, network *Network, ip string, o ProcessOptions) *recordingHandler {
	p := &recordingHandler{t: t, received: map[uint64]*bytes.Buffer{}, closed: map[uint64]error{}}
	o.Name = ip
	p.process = network.Machine(ip).Process(o)
	assert.NoError(t, p.process.Run(p))
	return p
}

const serverAddress = "10.0.0.2:80"

// connectPair starts two handlers, a and b. a dials b, and the results of the dial are appended to dialResults.
func connectPair(t assert.TestingT, network *Network, client, server ProcessOptions) (a, b *recordingHandler, dialResults *[]error) {
	server.Listen = []string{serverAddress}
	a, b = startHandler(t, network, "10.0.0.1", client), startHandler(t, network, "10.0.0.2", server)
	dialResults = &[]error{}
	a.process.Dial(serverAddress, network.Now()+3, "mine", func(err error) { *dialResults = append(*dialResults, err) })
	network.RunUntil(network.Now() + 0.1)
	return a, b, dialResults
}

// Written bytes arrive completely and in order, however segments are split, lost and delayed and however slowly they are read. Closed is
// called once at each side.
func TestBytesArriveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := New(rapid.Uint64().Draw(t, "seed"), startTime)
		network.SplitProbability = rapid.Float64Range(0, 1).Draw(t, "cuts")
		network.Path.LossProbability = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "loss")
		options := func() ProcessOptions {
			return ProcessOptions{SendBuffer: rapid.IntRange(1, 500).Draw(t, "send"), ReceiveBuffer: rapid.IntRange(1, 500).Draw(t, "receive"),
				MaxWakeDelaySeconds: rapid.Float64Range(0, 0.001).Draw(t, "wake"), CallSeconds: rapid.Float64Range(0, 0.0001).Draw(t, "call"), Shuffle: true,
				ReadRate: rapid.SampledFrom([]float64{0, 5000}).Draw(t, "rate")}
		}
		a, b, dialResults := connectPair(t, network, options(), options())
		network.RunUntil(network.Now() + 5)
		if len(b.conns) == 0 {
			require.Len(t, *dialResults, 1)
			return // the dial failed because its packets were lost
		}
		ends := []*Conn{a.conns[0], b.conns[0]}
		var sent [2]bytes.Buffer
		machines := []*Machine{a.process.machine, b.process.machine}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			side := rapid.IntRange(0, 1).Draw(t, "side")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				ends[side].process.Stall(network.Now() + rapid.Float64Range(0, 0.1).Draw(t, "stall"))
			case 1:
				network.SetPartitioned(machines[side], machines[1-side], rapid.Bool().Draw(t, "cut"))
			default:
				data := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "data")
				n, err := ends[side].Write(data)
				require.NoError(t, err)
				require.Equal(t, len(data), n)
				sent[side].Write(data)
			}
			network.RunUntil(network.Now() + rapid.Float64Range(0, 0.01).Draw(t, "time"))
		}
		network.SetPartitioned(machines[0], machines[1], false)
		network.SetPartitioned(machines[1], machines[0], false)
		network.RunUntil(network.Now() + 40)
		assert.Equal(t, sent[0].Bytes(), b.received[ends[0].id].Bytes())
		assert.Equal(t, sent[1].Bytes(), a.received[ends[0].id].Bytes())
		assert.Zero(t, ends[0].OutboundBuffered()+ends[1].OutboundBuffered())
		last := rapid.SliceOfN(rapid.Byte(), 1, ends[0].process.options.SendBuffer).Draw(t, "last")
		_, err := ends[0].Write(last)
		require.NoError(t, err)
		ends[0].process.Close(ends[0]) // the bytes that the socket has accepted are still sent
		network.RunUntil(network.Now() + 40)
		assert.Equal(t, append(sent[0].Bytes(), last...), b.received[ends[0].id].Bytes())
		assert.Equal(t, map[uint64]error{ends[0].id: nil}, a.closed)
		assert.ErrorIs(t, b.closed[ends[0].id], io.EOF)
		assert.Zero(t, a.process.descriptors)
		assert.Equal(t, 1, b.process.descriptors)
	})
}

// Handler.Closed gets the error at each side that fits the way in which the connection ended.
func TestConnectionEnds(t *testing.T) {
	write := func(p *recordingHandler, text string) { _, _ = p.conns[0].Write([]byte(text)) }
	for name, c := range map[string]struct {
		run         func(network *Network, a, b *recordingHandler)
		received    string // by the dialing side
		a, b        error  // of Handler.Closed
		aUnnotified bool
		bUnnotified bool
		bReceive    string
	}{
		"FIN behind an answer": {run: func(network *Network, a, b *recordingHandler) {
			write(a, "ask")
			network.RunUntil(network.Now() + 0.1)
			write(b, "answer")
			b.process.Close(b.conns[0])
		}, received: "answer", a: io.EOF, bReceive: "ask"},
		"CloseWrite ends both directions": {run: func(network *Network, a, b *recordingHandler) { b.process.CloseWrite(b.conns[0]) }, a: io.EOF, b: io.EOF},
		"closing with unread bytes resets": {run: func(network *Network, a, b *recordingHandler) {
			b.process.Stall(network.Now() + 0.2)
			write(a, "ask")
			network.RunUntil(network.Now() + 0.1)
			b.process.Close(b.conns[0])
		}, a: syscall.ECONNRESET},
		"a reset drops unsent bytes": {run: func(network *Network, a, b *recordingHandler) {
			network.SetPartitioned(b.process.machine, a.process.machine, true)
			write(b, "answer")
			network.RunUntil(network.Now() + 0.05)
			network.SetPartitioned(b.process.machine, a.process.machine, false)
			write(a, "more")
			b.process.Stall(network.Now() + 0.05)
			network.RunUntil(network.Now() + 0.01)
			b.process.Close(b.conns[0])
		}, a: syscall.ECONNRESET},
		"bytes before a reset are read": {run: func(network *Network, a, b *recordingHandler) {
			a.process.Stall(network.Now() + 0.2)
			write(b, "answer")
			b.process.Kill()
		}, received: "answer", a: syscall.ECONNRESET, bUnnotified: true},
		"bytes for a closed socket are answered with a reset": {run: func(network *Network, a, b *recordingHandler) {
			a.process.Stall(network.Now() + 0.2)
			b.process.Close(b.conns[0])
			network.RunUntil(network.Now() + 0.1)
			write(a, "late")
		}, a: syscall.ECONNRESET},
		"a machine that is powered off sends nothing": {run: func(network *Network, a, b *recordingHandler) {
			b.process.machine.PowerOff()
			network.RunUntil(network.Now() + 20)
			write(a, "anybody?")
		}, aUnnotified: true, bUnnotified: true},
		"a machine that is powered on again resets": {run: func(network *Network, a, b *recordingHandler) {
			b.process.machine.PowerOff()
			network.RunUntil(network.Now() + 20)
			b.process.machine.PowerOn()
			network.RunUntil(network.Now() + 20)
			assert.Empty(t, a.closed)
			write(a, "anybody?")
		}, a: syscall.ECONNRESET, bUnnotified: true},
		"bytes written while it was off are answered with a reset": {run: func(network *Network, a, b *recordingHandler) {
			b.process.machine.PowerOff()
			write(a, "anybody?")
			network.RunUntil(network.Now() + 20)
			b.process.machine.PowerOn()
		}, a: syscall.ECONNRESET, bUnnotified: true},
		"a blackholed connection stays open": {run: func(network *Network, a, b *recordingHandler) {
			network.Blackhole(a.conns[0])
			write(a, "anybody?")
		}, aUnnotified: true, bUnnotified: true},
		"a reset by a middlebox": {run: func(network *Network, a, b *recordingHandler) { network.Reset(a.conns[0]) }, a: syscall.ECONNRESET, b: syscall.ECONNRESET},
		"a loop that stops":      {run: func(network *Network, a, b *recordingHandler) { b.process.Stop() }, a: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			network := New(1, startTime)
			a, b, dialResults := connectPair(t, network, ProcessOptions{}, ProcessOptions{})
			require.Equal(t, []error{nil}, *dialResults)
			assert.Equal(t, "mine", a.conns[0].Context())
			assert.Equal(t, serverAddress, a.conns[0].RemoteAddr().String())
			c.run(network, a, b)
			network.RunUntil(network.Now() + 30)
			for side, p := range []*recordingHandler{a, b} {
				err, notified := p.closed[a.conns[0].id]
				assert.NotEqual(t, []bool{c.aUnnotified, c.bUnnotified}[side], notified)
				assert.ErrorIs(t, err, []error{c.a, c.b}[side])
			}
			assert.Equal(t, c.received, a.text(0))
			if c.bReceive != "" {
				assert.Equal(t, c.bReceive, b.text(0))
			}
		})
	}
}

// The error and the time of a dial's result depend on how the dial fails or succeeds.
func TestDialResults(t *testing.T) {
	var network *Network
	var a, b *recordingHandler
	for name, c := range map[string]struct {
		prepare func()
		want    error
		at      float64 // time from the start of the dial to its result
	}{
		"refused":                        {func() { b.process.StopListening(func() {}) }, syscall.ECONNREFUSED, 0.001},
		"refused after a kill":           {func() { b.process.Kill() }, syscall.ECONNREFUSED, 0.001},
		"powered off":                    {func() { b.process.machine.PowerOff() }, syscall.ETIMEDOUT, 2.5},
		"SYN-ACK lost":                   {func() { network.SetPartitioned(b.process.machine, a.process.machine, true) }, syscall.ETIMEDOUT, 2.5},
		"powered on without the program": {func() { b.process.machine.PowerOff(); network.Schedule(network.Now()+0.5, b.process.machine.PowerOn) }, syscall.ECONNREFUSED, 1.001},
		"SYN retried after a partition": {func() {
			network.SetPartitioned(a.process.machine, b.process.machine, true)
			network.Schedule(network.Now()+0.5, func() { network.SetPartitioned(a.process.machine, b.process.machine, false) })
		}, nil, 1.001},
		"listener stalled": {func() { b.process.Stall(network.Now() + 20) }, nil, 0.001},
		"reused address": {func() {
			b.process.Kill()
			startHandler(t, network, "10.0.0.2", ProcessOptions{Listen: []string{serverAddress}})
		}, nil, 0.001},
		"out of descriptors": {func() { a.process.options.MaxDescriptors = 1 }, syscall.EMFILE, 0},
		"backlog full": {func() {
			b.process.options.MaxDescriptors = 2
			b.process.listeners[0].backlog = 3
			for range 4 {
				a.process.Dial(serverAddress, network.Now()+20, nil, func(error) {})
				network.RunUntil(network.Now() + 0.01)
			}
			assert.Len(t, b.process.listeners[0].queue, 3)
		}, syscall.ETIMEDOUT, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			network = New(2, startTime)
			a, b, _ = connectPair(t, network, ProcessOptions{}, ProcessOptions{})
			c.prepare()
			start := network.Now()
			calls := 0
			a.process.Dial(serverAddress, start+2.5, nil, func(err error) {
				calls++
				assert.ErrorIs(t, err, c.want)
				assert.InDelta(t, c.at, network.Now()-start, 0.002)
			})
			network.RunUntil(start + 10)
			assert.Equal(t, 1, calls)
		})
	}
	network = New(3, startTime)
	a, b, _ = connectPair(t, network, ProcessOptions{}, ProcessOptions{})
	assert.Error(t, b.process.machine.Process(ProcessOptions{Listen: []string{serverAddress}}).Run(a), "the address is in use")
	var ends []error
	cancel := a.process.Dial(serverAddress, network.Now()+1, nil, func(err error) { ends = append(ends, err) })
	cancel()
	cancel()
	assert.Empty(t, ends)
	network.RunUntil(network.Now() + 5)
	assert.Equal(t, []error{errDialCancelled}, ends)
	assert.Len(t, b.conns, 1)
	assert.Equal(t, 1, a.process.descriptors)
}

// If a peer doesn't read, its receive window fills first, then the send buffer, then the buffer of the event loop. Once it reads, sending
// continues.
func TestBackpressureOfSlowReader(t *testing.T) {
	network := New(4, startTime)
	a, b, _ := connectPair(t, network, ProcessOptions{SendBuffer: 1000}, ProcessOptions{ReceiveBuffer: 500})
	b.process.SetConnReadRate(b.conns[0], -1)
	_, err := a.conns[0].Write(make([]byte, 10_000))
	require.NoError(t, err)
	assert.Equal(t, 9_000, a.conns[0].OutboundBuffered())
	network.RunUntil(network.Now() + 10)
	assert.Equal(t, 8_500, a.conns[0].OutboundBuffered())
	assert.False(t, b.process.NothingToRead(b.conns[0]))
	b.process.SetConnReadRate(b.conns[0], 1000)
	start := network.Now()
	for a.conns[0].OutboundBuffered() > 0 {
		require.True(t, network.Step())
	}
	assert.InDelta(t, 8.5, network.Now()-start, 0.2)
	network.RunUntil(network.Now() + 3)
	assert.Len(t, b.text(0), 10_000)
	assert.True(t, b.process.NothingToRead(b.conns[0]))
	// During Closed, OutboundBuffered still returns the number of bytes that were never sent.
	b.process.SetConnReadRate(b.conns[0], -1)
	_, err = a.conns[0].Write(make([]byte, 10_000))
	require.NoError(t, err)
	left := 0
	a.onClosed = func(c netio.Conn) { left = c.OutboundBuffered() }
	network.RunUntil(network.Now() + 1)
	b.process.Kill()
	network.RunUntil(network.Now() + 1)
	assert.Equal(t, 8_500, left)
	assert.ErrorIs(t, a.closed[a.conns[0].id], syscall.EPIPE)
}

// Connections beyond the limit of descriptors wait in the accept queue until a descriptor is free.
func TestConnectionsWaitInBacklogForDescriptor(t *testing.T) {
	network := New(5, startTime)
	a, b, _ := connectPair(t, network, ProcessOptions{}, ProcessOptions{MaxDescriptors: 3, ReservedDescriptors: 1})
	a.process.Dial(serverAddress, network.Now()+1, nil, func(err error) { assert.NoError(t, err) })
	network.RunUntil(network.Now() + 1)
	assert.Len(t, b.conns, 1)
	assert.Equal(t, 1, b.process.DescriptorFailures())
	_, _ = a.conns[1].Write([]byte("early"))
	b.process.Close(b.conns[0])
	network.RunUntil(network.Now() + 1)
	require.Len(t, b.conns, 2)
	assert.Equal(t, "early", b.text(1))
	now, peak := b.process.Descriptors()
	assert.Equal(t, []int{3, 3}, []int{now, peak})
}

// After a stall, the event loop handles everything that has arrived in one turn, the alarm last.
func TestStalledLoopHandlesAllAtOnce(t *testing.T) {
	network := New(6, startTime)
	a, b, _ := connectPair(t, network, ProcessOptions{}, ProcessOptions{})
	b.calls = nil
	b.process.Stall(network.Now() + 1)
	b.process.SetAlarm(network.Now() + 0.1)
	b.process.Post(func() { b.calls = append(b.calls, "post") })
	_, _ = a.conns[0].Write([]byte("one"))
	network.RunUntil(network.Now() + 0.5)
	_, _ = a.conns[0].Write([]byte("two"))
	a.process.Close(a.conns[0])
	network.RunUntil(network.Now() + 0.4)
	assert.Empty(t, b.calls)
	network.RunUntil(network.Now() + 1)
	assert.Equal(t, []string{"traffic", "closed", "post", "alarm"}, b.calls)
	assert.InDelta(t, startTime+0.6, b.conns[0].PeerWrote(), 1e-3) // when "two" was written
	assert.Equal(t, b.conns[0].PeerWrote(), b.conns[0].PeerEnded())
	assert.Equal(t, "onetwo", b.text(0))
}

// Posts, yields, alarms and closes are called in the order that netio.EventLoop specifies.
func TestOrderOfCalls(t *testing.T) {
	network := New(7, startTime)
	a, b, _ := connectPair(t, network, ProcessOptions{}, ProcessOptions{})
	// Closed is called during Close, and posts are called after the current call, in order.
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
	network.RunUntil(network.Now() + 1)
	assert.Equal(t, []string{"traffic", "closed", "end of call", "first", "second", "third"}, b.calls)
	// A yielded function is called after all pending events, including those that arrived during posts.
	a.process.Dial(serverAddress, network.Now()+1, nil, func(error) {})
	network.RunUntil(network.Now() + 1)
	b.calls, b.onData = nil, nil
	b.process.options.CallSeconds = 0.01
	b.process.Post(func() {
		b.calls = append(b.calls, "post")
		b.process.Yield(func() { b.calls = append(b.calls, "yield") })
	})
	_, _ = a.conns[1].Write([]byte("came meanwhile"))
	network.RunUntil(network.Now() + 1)
	assert.Equal(t, []string{"post", "traffic", "yield"}, b.calls)
	b.process.options.CallSeconds = 0
	// Only the latest alarm is called, once.
	b.calls = nil
	start := network.Now()
	b.process.SetAlarm(start + 1)
	b.process.SetAlarm(start + 3)
	b.process.SetAlarm(start + 2)
	b.onAlarm = func() { assert.InDelta(t, start+2, network.Now(), 1e-6) }
	network.RunUntil(start + 5)
	assert.Equal(t, []string{"alarm"}, b.calls)
	b.process.SetAlarm(math.NaN())
	// A connection that Open rejects is closed without reading from it.
	b.refuse, b.calls = true, nil
	a.process.Dial(serverAddress, network.Now()+1, nil, func(error) {})
	network.RunUntil(network.Now() + 1)
	assert.Equal(t, []string{"open", "closed"}, b.calls)
	// Write on a broken connection returns an error and closes the connection, even before the event loop has detected the reset.
	b.refuse = false
	a.process.Dial(serverAddress, network.Now()+1, nil, func(error) {})
	network.RunUntil(network.Now() + 1)
	b.calls = nil
	b.process.Stall(network.Now() + 1)
	a.process.Kill()
	network.RunUntil(network.Now() + 0.5)
	last := b.conns[len(b.conns)-1]
	assert.False(t, b.process.NothingToRead(last))
	_, err := last.Write([]byte("x"))
	assert.True(t, errors.Is(err, syscall.EPIPE))
	assert.Equal(t, []string{"closed"}, b.calls)
}

// runEcho runs echo programs through a partition and a kill, and returns the hash of the history.
func runEcho(seed uint64) uint64 {
	network := New(seed, startTime)
	network.SplitProbability = 0.5
	server := startHandler(discardT{}, network, "10.0.0.2", ProcessOptions{Listen: []string{serverAddress}, Shuffle: true, MaxWakeDelaySeconds: 1e-4})
	server.onData = func(c netio.Conn, data []byte) { _, _ = c.Write(data) }
	for _, ip := range []string{"10.0.0.3", "10.0.0.4", "10.0.0.5"} {
		p := startHandler(discardT{}, network, ip, ProcessOptions{Shuffle: true, MaxWakeDelaySeconds: 1e-4})
		p.onData = server.onData
		for range 5 {
			p.process.Dial(serverAddress, startTime+5, nil, func(err error) {
				if err == nil {
					_, _ = p.conns[len(p.conns)-1].Write([]byte("hello there"))
				}
			})
		}
	}
	network.RunUntil(startTime + 0.5)
	network.SetPartitioned(network.Machine("10.0.0.3"), network.Machine("10.0.0.2"), true)
	network.RunUntil(startTime + 0.8)
	network.SetPartitioned(network.Machine("10.0.0.3"), network.Machine("10.0.0.2"), false)
	network.Machine("10.0.0.4").processes[0].Kill()
	network.RunUntil(startTime + 2)
	return network.Hash()
}

// discardT is a TestingT that ignores failed assertions.
type discardT struct{}

func (discardT) Errorf(string, ...any) {}

// The same seed produces the same history, even if several networks run on different goroutines.
func TestSeedDeterminesHistory(t *testing.T) {
	first := runEcho(1)
	for range 3 {
		done := make(chan uint64)
		go func() { done <- runEcho(1) }()
		assert.NotEqual(t, first, runEcho(2))
		assert.Equal(t, first, <-done)
	}
}

func BenchmarkEcho(b *testing.B) {
	for range b.N {
		runEcho(1)
	}
}
