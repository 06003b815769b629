package checker

import "math"

// seeBox takes what boxes tell.
func (c *Checker) observeServer(e *Event) {
	server := c.server(e.Server)
	switch e.Kind {
	case ServerStarted:
		server.incarnation++
		server.incarnationEnds = append(server.incarnationEnds, math.Inf(1))
		server.zone, server.cell, server.address, server.servingSince, server.recentWork = e.Zone, e.Cell, e.Address, e.ServingSince, server.recentWork[:0]
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
			attempt.repliedAt, attempt.status, attempt.digest, attempt.notStarted, attempt.malformed = e.At, e.Status, e.Digest, e.NotStarted, e.Malformed
		}
	}
}

// station returns what is known of a box.
func (c *Checker) server(server int32) *serverState {
	for int(server) >= len(c.servers) {
		c.servers = append(c.servers, serverState{})
	}
	return &c.servers[server]
}

// station is what the judge knows of a box.
type serverState struct {
	zone, cell      int32
	address         string
	servingSince    float64
	incarnation     int32
	incarnationEnds []float64  // of its lives
	recentWork      []coldWork // of a cold one, of the last window
	listChanges     []Event
}

type coldWork struct {
	at, seconds    float64
	isFromNotified bool
}

// endOf returns when a life of the box ended, +Inf: it goes on.
func (s *serverState) incarnationEnd(incarnation int32) float64 {
	if int(incarnation) <= len(s.incarnationEnds) && incarnation > 0 {
		return s.incarnationEnds[incarnation-1]
	}
	return math.Inf(1)
}

// linkState is a connection at a box with the attempt that came over it last.
type connectionState struct {
	request      *request
	attemptIndex int
}
