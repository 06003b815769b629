// Package admission decides what a sidecar gives up under overload: which client connections are closed when there are too many,
// how much is buffered for whom, which requests wait for the event loop and which are shed, and whose load exceeds a fair
// share. It is pure: it does no I/O, reads no clock and starts no goroutines. Times are seconds of one clock, given with
// each call and not decreasing. Nothing in it is safe for concurrent use.
package admission
