package checker

import "math"

// serverState is what is known of a server.
type serverState struct {
	zone, cell      int32
	address         string
	servingSince    float64
	incarnation     int32
	incarnationEnds []float64  // of all incarnations so far; +Inf: it is up
	recentWork      []coldWork // of the last overload window, while it is cold
	listChanges     []Event
}

// coldWork is work that a sidecar has brought to a cold server.
type coldWork struct {
	at, seconds    float64
	isFromNotified bool // the sidecar knew of the server's start
}

// incarnationEnd returns when an incarnation ended; +Inf: it has not.
func (s *serverState) incarnationEnd(incarnation int32) float64 {
	if int(incarnation) <= len(s.incarnationEnds) && incarnation > 0 {
		return s.incarnationEnds[incarnation-1]
	}
	return math.Inf(1)
}

// connectionState is a connection to a server with the last attempt on it.
type connectionState struct {
	request      *request
	attemptIndex int
}

// server returns the state of a server.
func (c *Checker) server(server int32) *serverState {
	for int(server) >= len(c.servers) {
		c.servers = append(c.servers, serverState{})
	}
	return &c.servers[server]
}

// observeServer handles what servers report.
func (c *Checker) observeServer(e *Event) {
	server := c.server(e.Server)
	switch e.Kind {
	case ServerStarted:
		server.incarnation++
		server.incarnationEnds = append(server.incarnationEnds, math.Inf(1))
		server.zone, server.cell, server.address = e.Zone, e.Cell, e.Address
		server.servingSince = e.ServingSince
		server.recentWork = server.recentWork[:0]
	case ServerStopped:
		if len(server.incarnationEnds) > 0 {
			server.incarnationEnds[len(server.incarnationEnds)-1] = e.At
		}
	case ServerOverloaded:
		c.checkColdOverload(server, e)
	case ConnectionOpened:
		c.costs.Connections++
		c.recordColdWork(server, e)
	case ConnectionClosed:
		if connection := c.connections[e.Connection]; connection != nil {
			attempt := &connection.request.attempts[connection.attemptIndex]
			attempt.closedAt, attempt.isClosedAtExact = e.Sent, e.Sent < e.At
			delete(c.connections, e.Connection)
		}
	case HealthCheckReceived:
		c.costs.HealthChecks++
		c.recordColdWork(server, e)
	case AttemptReceived:
		c.recordColdWork(server, e)
		c.attemptReceived(server, e)
	case ResponseSent:
		if connection := c.connections[e.Connection]; connection != nil && connection.request.id == e.Request {
			attempt := &connection.request.attempts[connection.attemptIndex]
			attempt.repliedAt = e.At
			attempt.status, attempt.digest = e.Status, e.Digest
			attempt.notStarted, attempt.malformed = e.NotStarted, e.Malformed
		}
	}
}
