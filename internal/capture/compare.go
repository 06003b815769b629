package capture

import (
	"fmt"
	"strings"
)

// recorded is a decision as the record has it. One that is torn stands for any.
type recorded struct {
	Decision
	number int
	text   string
	torn   bool
}

// finish compares what the decisions did at the last event with what was recorded; whole tells that the record holds
// all of it.
func (r *replayer) finish(whole bool) {
	did, said := r.did, r.said
	r.did, r.said = r.did[:0], r.said[:0]
	for len(did) > 0 || len(said) > 0 {
		switch {
		case len(said) > 0 && said[0].torn:
			said, did = said[1:], did[min(1, len(did)):]
		case len(said) == 0:
			if !whole {
				return
			}
			r.differ(r.event, "", &did[0])
			did = did[1:]
		case len(did) == 0:
			r.differ(said[0].number, said[0].text, nil)
			said = said[1:]
		case alike(said[0].Decision, did[0]):
			r.tally.Compared++
			said, did = said[1:], did[1:]
		case len(did) > 1 && alike(said[0].Decision, did[1]): // one is missing
			r.differ(r.event, "", &did[0])
			did = did[1:]
		case len(said) > 1 && !said[1].torn && alike(said[1].Decision, did[0]): // one is too many
			r.differ(said[0].number, said[0].text, nil)
			said = said[1:]
		default:
			r.differ(said[0].number, said[0].text, &did[0])
			said, did = said[1:], did[1:]
		}
	}
}

// differ prints a difference.
func (r *replayer) differ(number int, said string, did *Decision) {
	r.tally.Compared++
	r.tally.Different++
	if said == "" {
		said = "nothing"
	}
	text := "nothing"
	if did != nil {
		text = strings.TrimSpace(string(did.append(nil, r.now)))
	}
	fmt.Fprintf(r.out, "line %d: recorded %s\nline %d: replayed %s\n", number, said, number, text)
}

// alike tells whether two decisions are the same; a name that one of them does not know counts for nothing.
func alike(a, b Decision) bool {
	for _, names := range [...][2]*string{{&a.ID, &b.ID}, {&a.Class, &b.Class}, {&a.HostName, &b.HostName}} {
		if *names[0] == "" || *names[1] == "" {
			*names[0], *names[1] = "", ""
		}
	}
	return a == b
}
