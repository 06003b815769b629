package virtual

import "math"

// ProcessOptions are the settings of a process and its sockets.
type ProcessOptions struct {
	Name                string
	Listen              []string // addresses and ports, which must be those of its machine
	MaxDescriptors      int      // limit of open descriptors; 0: none
	ReservedDescriptors int      // in use from the start for other things than connections, listeners and dials
	Backlog             int      // length of each listener's accept queue; 0: 128
	SendBuffer          int      // of each connection, in bytes; 0: 64 KiB
	ReceiveBuffer       int      // of each connection, in bytes; 0: 64 KiB
	MaxWakeDelaySeconds float64  // the event loop turns up to so much after something has arrived
	CallSeconds         float64  // duration of each call of the handler
	Shuffle             bool     // connections ready in one turn are handled in random order
	ReadRate            float64  // of each connection, in bytes a second; 0: unlimited; below 0: nothing is read
	OnExit              func()   // called once the process has exited by itself
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
