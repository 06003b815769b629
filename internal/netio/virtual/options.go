package virtual

import "math"

// ProcessOptions are the settings of a process and its sockets.
type ProcessOptions struct {
	Name                string
	Listen              []string // addresses and ports, which must be those of its machine
	MaxDescriptors      int      // limit of open descriptors; 0: unlimited
	ReservedDescriptors int      // in use from the start for purposes other than connections, listeners and dials
	Backlog             int      // length of each listener's accept queue; 0: 128
	SendBuffer          int      // of each connection, in bytes; 0: 64 KiB
	ReceiveBuffer       int      // of each connection, in bytes; 0: 64 KiB
	MaxWakeDelaySeconds float64  // maximum of the random delay from an event to the turn of the event loop that handles it
	CallSeconds         float64  // simulated duration of each call to the handler
	Shuffle             bool     // connections that are ready in the same turn are handled in random order
	ReadRate            float64  // of each connection, in bytes per second; 0: unlimited; below 0: nothing is read
	OnExit              func()   // called after the process has exited by itself
}

func (o *ProcessOptions) setDefaults() {
	if o.MaxDescriptors == 0 {
		o.MaxDescriptors = math.MaxInt32
	}
	if o.Backlog == 0 {
		o.Backlog = 128
	}
	if o.SendBuffer == 0 {
		o.SendBuffer = 64 << 10
	}
	if o.ReceiveBuffer == 0 {
		o.ReceiveBuffer = 64 << 10
	}
}
