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

// longAnswerRepeats is how often the text of an answer is repeated in a long one, which is more than a proxy holds for another attempt.
const longAnswerRepeats = 12_000

// hasLongAnswer reports whether the answer to the request with an identifier is long: one in sixteen, if it is no stream.
func hasLongAnswer(id string) bool { return strings.HasSuffix(id, "1") }

// expectedAnswer is the complete body with which servers answer a request.
func expectedAnswer(kind RequestKind, id string) string {
	switch {
	case kind == Prompt:
		return fmt.Sprintf(promptAnswerFormat, id)
	case kind == ResumableFeed:
		return feedEventsFrom(id, 1)
	case hasLongAnswer(id):
		return strings.Repeat("answer to "+id+" ", longAnswerRepeats)
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
