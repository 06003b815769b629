// Package endpointset keeps the list of servers as discovery tells it, and turns it into what the decisions
// read. It knows no sockets.
package endpointset
