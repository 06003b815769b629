package processcluster

import (
	"fmt"
	"sync"

	"hazelwheel/internal/peers/frames"
)

// Effects judges from what sidecars say whether they take old owners' effects: who takes one that is for all passes it on at once,
// and what it says on a link comes in the order in which it was said. So on no link a token follows a greater one of its job. It
// can be used from any goroutine.
type EffectChecker struct {
	mu       sync.Mutex
	last     map[said]uint64
	greatest map[string]uint64
	wrong    []string
	origins  map[grant]uint64  // who says effects for all under a token
	ids      map[string]uint64 // of sidecars, by name, as their last hello said
	seen     int
	refused  int
	old      int
	late     int
}

// said is what one sidecar says of a job on one link.
type said struct {
	call uint64
	from string
	job  string
}

// NewEffects returns a judge that has seen nothing.
func NewEffectChecker() *EffectChecker {
	return &EffectChecker{last: map[said]uint64{}, greatest: map[string]uint64{}, origins: map[grant]uint64{}, ids: map[string]uint64{}}
}

// Tap is for a Switchboard.
func (e *EffectChecker) ObserveFrame(call uint64, w Direction, topic frames.Topic, body []byte) {
	var f frames.RoleMessage
	if topic == frames.TopicHello {
		var h frames.Hello
		if frames.Unmarshal(body, &h) == nil {
			e.mu.Lock()
			e.ids[w.From] = h.ID
			e.mu.Unlock()
		}
		return
	}
	if topic != frames.TopicRole || frames.Unmarshal(body, &f) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen++; f.Kind == frames.KindRejected {
		e.refused++
	}
	if e.greatest[f.Role] > f.Token {
		e.old++
		if f.Sequence > 0 && f.Origin == e.ids[w.From] {
			e.late++
		}
	}
	if x := (grant{f.Role, f.Token}); f.Sequence > 0 && e.origins[x] != f.Origin {
		if e.origins[x] != 0 && len(e.wrong) < 20 {
			e.wrong = append(e.wrong, fmt.Sprintf("%s is done under token %d by %x and by %x", f.Role, f.Token, e.origins[x], f.Origin))
		}
		e.origins[x] = f.Origin
	}
	e.greatest[f.Role] = max(e.greatest[f.Role], f.Token)
	k := said{call, w.From, f.Role}
	if e.last[k] > f.Token && len(e.wrong) < 20 {
		e.wrong = append(e.wrong, fmt.Sprintf("%s says an effect of %s under token %d after one under %d", w.From, f.Role, f.Token, e.last[k]))
	}
	e.last[k] = max(e.last[k], f.Token)
}

// Found returns what was wrong, how many effects were said, how many refusals, and how many effects under a token lower than one that
// somebody had said before.
func (e *EffectChecker) Results() (wrong []string, seen, refused, old int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.wrong...), e.seen, e.refused, e.old
}

// Late returns how many effects their owner itself said after a greater token had been said: it had looked at its lease before.
func (e *EffectChecker) StaleByOwner() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late
}
