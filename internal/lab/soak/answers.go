package soak

import "fmt"

// bodyOf is the body of a request.
func requestBody(id string) string { return "body of " + id }

// answerTo is the body that servers answer.
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

// feedEvents is the number of events in the answer to a feed.
const feedEvents = 6

// feedFrom returns the events of a feed from one of them on.
func feedEventsFrom(id string, first int) (events string) {
	for event := first; event <= feedEvents; event++ {
		events += feedEvent(id, event)
	}
	return events
}

func feedEvent(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, id, event)
}
