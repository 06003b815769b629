package capture

import "strings"

// recordedDecision is a decision read from the record. A truncated one, of which only a fragment is left, matches any decision.
type recordedDecision struct {
	Decision
	lineNumber int
	text       string
	isFragment bool
}

// compareEvent compares the decisions that were replayed for the last input with the recorded ones, in order. With isComplete the
// record has all decisions of the input; else the last ones may be missing.
func (r *replayer) compareEvent(isComplete bool) {
	replayed, recorded := r.replayed, r.recorded
	r.replayed, r.recorded = r.replayed[:0], r.recorded[:0]
	for len(replayed) > 0 || len(recorded) > 0 {
		switch {
		case len(recorded) > 0 && recorded[0].isFragment:
			recorded = recorded[1:]
			replayed = replayed[min(1, len(replayed)):]
		case len(recorded) == 0:
			if !isComplete {
				return
			}
			r.reportDifference(r.eventLine, "", &replayed[0])
			replayed = replayed[1:]
		case len(replayed) == 0:
			r.reportDifference(recorded[0].lineNumber, recorded[0].text, nil)
			recorded = recorded[1:]
		case equalDecisions(recorded[0].Decision, replayed[0]):
			r.summary.Compared++
			recorded, replayed = recorded[1:], replayed[1:]
		case len(replayed) > 1 && equalDecisions(recorded[0].Decision, replayed[1]): // one is missing in the record
			r.reportDifference(r.eventLine, "", &replayed[0])
			replayed = replayed[1:]
		case len(recorded) > 1 && !recorded[1].isFragment && equalDecisions(recorded[1].Decision, replayed[0]): // one is missing in the replay
			r.reportDifference(recorded[0].lineNumber, recorded[0].text, nil)
			recorded = recorded[1:]
		default:
			r.reportDifference(recorded[0].lineNumber, recorded[0].text, &replayed[0])
			recorded, replayed = recorded[1:], replayed[1:]
		}
	}
}

// reportDifference counts and prints a difference. An empty recorded or a nil replayed decision means that there is none.
func (r *replayer) reportDifference(lineNumber int, recorded string, replayed *Decision) {
	r.summary.Compared++
	r.summary.Different++
	if recorded == "" {
		recorded = "nothing"
	}
	replayedText := "nothing"
	if replayed != nil {
		replayedText = strings.TrimSpace(string(replayed.append(nil, r.now)))
	}
	r.printf("line %d: recorded %s\nline %d: replayed %s\n", lineNumber, recorded, lineNumber, replayedText)
}

// equalDecisions returns whether two decisions are equal. A name that one of them does not have is not compared.
func equalDecisions(a, b Decision) bool {
	for _, names := range [...][2]*string{{&a.ID, &b.ID}, {&a.Class, &b.Class}, {&a.HostName, &b.HostName}} {
		if *names[0] == "" || *names[1] == "" {
			*names[0], *names[1] = "", ""
		}
	}
	return a == b
}
