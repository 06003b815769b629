package environment

import "hazelwheel/internal/netio"

// Ground is what machines, processes and paths stand on, in simulated time a network of its own. Troubles that are
// none of the actors' are done to it. A machine is named by its IP; a sidecar and its application share one, and what
// is said of a sidecar's process leaves its application alone. All take effect at once.
type Hosts interface {
	// Now returns the time.
	Now() float64
	// Kill ends a machine's process: its connections are reset, new ones are refused.
	Kill(ip string)
	// Vanish takes a machine away without a word: open connections stay open and silent, new ones never come up.
	Vanish(ip string)
	// Return begins a process on a machine that was killed or has vanished. What was open before is reset when it
	// speaks next.
	Start(ip string)
	// Terminate tells a sidecar's process to end in its own time; Ended comes of it.
	Terminate(sidecar int)
	// Hangup tells a sidecar's process to read its configuration again.
	Reload(sidecar int, configuration []byte)
	// TakeOut has a sidecar's operators take a box out of use, or give it back; yes is called once the sidecar has said so.
	Cordon(sidecar int, box string, on bool, yes func())
	// Cut loses what is sent from one machine to another, in this direction alone, until Mend. Connections stay.
	DropTraffic(from, to string)
	RestoreTraffic(from, to string)
	// LateConnects has a share of the connections that are dialed to a machine come up late, by up to so many seconds; a share of 0
	// ends that.
	DelayConnects(ip string, share, mostS float64)
	// Reset breaks all connections between two machines.
	ResetConnections(a, b string)
	// PeersCut loses what one sidecar sends to another, in this direction alone, or ends that; PeersHold has it wait.
	DropPeerTraffic(from, to int, on bool)
	HoldPeerTraffic(from, to int, on bool)
	// PeersSlow has what one sidecar sends to another go at so many bytes a second on each link; 0 ends that.
	LimitPeerTraffic(from, to int, perS float64)
	// PeersReset breaks the links between two sidecars.
	ResetPeerConnections(a, b int)
	// PeersDeaf has somebody ask a sidecar so many times a second what it knows, until a time, and read nothing.
	QueryWithoutReading(sidecar int, perS, until float64)
	// Freeze has a sidecar's process stand still, or go on.
	Suspend(sidecar int, on bool)
	// Begin begins a sidecar that has stood by, with what is beside it. One that is there already is left alone.
	StartStandby(sidecar int)
	// DiskFull has nothing be written to a sidecar's disk, or ends that.
	FillDisk(sidecar int, on bool)
	// Clock has a sidecar's clock run at a rate; 1 is that of the others. What it is ahead by then stays.
	SetClockRate(sidecar int, rate float64)
	// Spoil loses or tears what a sidecar's process, which does not run, has kept on its disk.
	DamageState(sidecar int, state string)
	// Stall slows what a sidecar's application reads to a share of its time, 0 to 1, until it is called with 1.
	LimitReading(sidecar int, share float64)
}

// Machine is a host of the world for a Ground to run.
type Machine struct {
	Name   string
	IP     string
	Listen string // address and port; empty: it dials only
	Site   int
	// Boot returns a new life of its program. One that is up already must have been ended.
	Boot func(net netio.EventLoop) netio.Handler
	// Late machines begin when the Ground is told to Return them.
	StartsLater bool
}
