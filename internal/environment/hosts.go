package environment

import "hazelwheel/internal/netio"

// Hosts run the machines, processes and paths of an environment: a simulated network, or processes on loopback addresses.
// Faults that aren't an actor's own are injected through it. A machine is named by its IP; a sidecar and its application
// share one, and operations on a sidecar's process leave its application alone. All take effect at once.
type Hosts interface {
	// Now returns the time.
	Now() float64
	// Kill ends a machine's process: its connections are reset, new ones are refused.
	Kill(ip string)
	// Vanish makes a machine unreachable: open connections stay open and silent, new ones are never established.
	Vanish(ip string)
	// Start starts a process on a machine that was killed or has vanished. A connection that was open before is reset
	// when its peer sends next.
	Start(ip string)
	// Terminate tells a sidecar's process to shut down gracefully. Its exit is reported to the observer.
	Terminate(sidecar int)
	// Reload has a sidecar's process read a new configuration.
	Reload(sidecar int, configuration []byte)
	// Cordon has a sidecar's operators cordon a server, or end that; yes is called once the sidecar has confirmed.
	Cordon(sidecar int, server string, enabled bool, yes func())
	// DropTraffic loses what is sent from one machine to another, in this direction alone, until RestoreTraffic.
	// Connections stay open.
	DropTraffic(from, to string)
	RestoreTraffic(from, to string)
	// DelayConnects delays a share of the connections that are dialed to a machine by up to maxDelaySeconds; a share of 0
	// ends that.
	DelayConnects(ip string, share, maxDelaySeconds float64)
	// ResetConnections resets all connections between two machines.
	ResetConnections(a, b string)
	// DropPeerTraffic loses what one sidecar sends to another, in this direction alone, or ends that; HoldPeerTraffic
	// holds it back instead.
	DropPeerTraffic(from, to int, enabled bool)
	HoldPeerTraffic(from, to int, enabled bool)
	// LimitPeerTraffic limits what one sidecar sends to another to so many bytes a second on each connection; 0 ends that.
	LimitPeerTraffic(from, to int, bytesPerSecond float64)
	// ResetPeerConnections resets the connections between two sidecars.
	ResetPeerConnections(a, b int)
	// QueryWithoutReading has a client send a sidecar so many queries a second, as a peer does, until a time, and read no
	// answer.
	QueryWithoutReading(sidecar int, ratePerSecond, until float64)
	// Suspend suspends a sidecar's process, or resumes it.
	Suspend(sidecar int, enabled bool)
	// StartStandby starts a standby sidecar with the actors beside it. One that has started already is left alone.
	StartStandby(sidecar int)
	// FillDisk makes all writes to a sidecar's disk fail, or ends that.
	FillDisk(sidecar int, enabled bool)
	// SetClockRate has a sidecar's clock run at a rate; 1 is that of the others. An offset that it has by then stays.
	SetClockRate(sidecar int, rate float64)
	// DamageState loses, tears or rolls back what a stopped sidecar has on its disk; state is one of StateLost, StateTorn
	// and StateOld.
	DamageState(sidecar int, state StoredState)
	// LimitReading has a sidecar's application read during a share of its time only, 0 to 1, until it is called with 1.
	LimitReading(sidecar int, share float64)
}

// Machine is a host of the environment for Hosts to run.
type Machine struct {
	Name   string
	IP     string
	Listen string // address and port; empty: it dials only
	Site   int
	// Boot returns a new process of its program. The former one must have ended.
	Boot func(net netio.EventLoop) netio.Handler
	// StartsLater: it starts when Hosts.Start is called for it.
	StartsLater bool
}
