// Package membershipsim plays the decisions about who is there by themselves, for as many members as a fleet may have: no sockets,
// no sidecars, a clock and a network that a seed draws. It judges from its own record of who lived, and counts what it costs.
package membershipsim
