package soak

import (
	"fmt"
	"strings"
)

// longBodyRepeats is how often the text of a body is repeated in a long one, which is more than the buffers of a connection hold.
const longBodyRepeats = 20_000

// hasLongBody reports whether the request with an identifier has a long body: one in sixteen.
func hasLongBody(id string) bool { return strings.HasSuffix(id, "0") }

// requestBody is the body of the request with an identifier.
func requestBody(id string) string {
	if hasLongBody(id) {
		return strings.Repeat("body of "+id+" ", longBodyRepeats)
	}
	return "body of " + id
}

// expectedAnswer is the complete body with which servers answer a request.
func expectedAnswer(kind RequestKind, id string) string {
	switch kind {
	case Prompt:
		return fmt.Sprintf(promptAnswerFormat, id)
	case ResumableFeed:
		return feedEventsFrom(id, 1)
	default:
		return "answer to " + id
	}
}

// feedEvents is the number of events in the complete answer to a resumable feed.
const feedEvents = 6

// feedEventsFrom returns the events of a feed from number first, counted from 1, to the last.
func feedEventsFrom(id string, first int) (events string) {
	for event := first; event <= feedEvents; event++ {
		events += feedEvent(id, event)
	}
	return events
}

// feedEvent is one event of a feed, in the format of server-sent events.
func feedEvent(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, id, event)
}
