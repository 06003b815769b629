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
	mu                sync.Mutex
	lastToken         map[effectSource]uint64
	highestToken      map[string]uint64
	violations        []string
	origins           map[grant]uint64  // who says effects for all under a token
	peerIDs           map[string]uint64 // of sidecars, by name, as their last hello said
	effectCount       int
	rejectedCount     int
	staleCount        int
	staleByOwnerCount int
}

// said is what one sidecar says of a job on one link.
type effectSource struct {
	link   uint64
	sender string
	role   string
}

// NewEffects returns a judge that has seen nothing.
func NewEffectChecker() *EffectChecker {
	return &EffectChecker{lastToken: map[effectSource]uint64{}, highestToken: map[string]uint64{}, origins: map[grant]uint64{}, peerIDs: map[string]uint64{}}
}

// Tap is for a Switchboard.
func (e *EffectChecker) ObserveFrame(link uint64, direction Direction, topic frames.Topic, body []byte) {
	var message frames.RoleMessage
	if topic == frames.TopicHello {
		var hello frames.Hello
		if frames.Unmarshal(body, &hello) == nil {
			e.mu.Lock()
			e.peerIDs[direction.From] = hello.ID
			e.mu.Unlock()
		}
		return
	}
	if topic != frames.TopicRole || frames.Unmarshal(body, &message) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.effectCount++; message.Kind == frames.KindRejected {
		e.rejectedCount++
	}
	if e.highestToken[message.Role] > message.Token {
		e.staleCount++
		if message.Sequence > 0 && message.Origin == e.peerIDs[direction.From] {
			e.staleByOwnerCount++
		}
	}
	if granted := (grant{message.Role, message.Token}); message.Sequence > 0 && e.origins[granted] != message.Origin {
		if e.origins[granted] != 0 && len(e.violations) < 20 {
			e.violations = append(e.violations, fmt.Sprintf("%s is done under token %d by %x and by %x", message.Role, message.Token, e.origins[granted], message.Origin))
		}
		e.origins[granted] = message.Origin
	}
	e.highestToken[message.Role] = max(e.highestToken[message.Role], message.Token)
	source := effectSource{link, direction.From, message.Role}
	if e.lastToken[source] > message.Token && len(e.violations) < 20 {
		e.violations = append(e.violations, fmt.Sprintf("%s says an effect of %s under token %d after one under %d", direction.From, message.Role, message.Token, e.lastToken[source]))
	}
	e.lastToken[source] = max(e.lastToken[source], message.Token)
}

// Found returns what was wrong, how many effects were said, how many refusals, and how many effects under a token lower than one that
// somebody had said before.
func (e *EffectChecker) Results() (violations []string, effects, rejected, stale int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...), e.effectCount, e.rejectedCount, e.staleCount
}

// Late returns how many effects their owner itself said after a greater token had been said: it had looked at its lease before.
func (e *EffectChecker) StaleByOwner() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.staleByOwnerCount
}
