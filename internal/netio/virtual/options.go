package virtual

import "math"

// ProcessOptions is what a process is started with.
type ProcessOptions struct {
	Name                string
	Listen              []string // addresses and ports of its machine
	MaxDescriptors      int      // the most it may hold; 0: as many as it likes
	ReservedDescriptors int      // descriptors that are no connection, listener or dial
	Backlog             int      // of each listener; 0: 128
	SendBuffer          int      // of each connection, in bytes; 0: 64 KiB
	ReceiveBuffer       int      // likewise
	MaxWakeDelaySeconds float64  // the loop turns up to so much after something has come
	CallSeconds         float64  // how long each call of the host takes
	Shuffle             bool     // what has come for one turn is handed over in any order
	ReadRate            float64  // of each connection, in bytes a second; 0: as fast as they come; below 0: nothing is read
	OnExit              func()   // called once the process has ended by itself
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
