// Package admission decides what a sidecar holds when it is pressed: whose connection is kept and whose goes when there
// are too many, which requests wait for the loop and which are shed, and who asks for more than is fair. It is pure: it
// knows no sockets, reads no clock and starts nothing; times are seconds of one clock, given with each call.
package admission
