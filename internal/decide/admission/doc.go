// Package admission decides how a sidecar sheds load: which client connections are closed when there are too many, how much may
// be buffered for each connection, which requests wait for the event loop and which are rejected, and which clients exceed their
// fair share. It is pure: it does no I/O, reads no clock and starts no goroutines. Times are seconds on one clock; the caller
// passes them in, and they never decrease. Nothing in the package is safe for concurrent use.
package admission
