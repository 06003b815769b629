// Package membershipsim simulates package swim alone, for as many members as a fleet may have: without sockets and sidecars, on a clock
// and a network that a seed determines. It checks members against its own record of which ones were up, and measures what membership
// costs and how soon deaths are known.
package membershipsim
