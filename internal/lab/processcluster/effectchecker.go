package processcluster

import (
	"fmt"
	"sync"

	"hazelwheel/internal/peers/frames"
)

// EffectChecker checks from the frames that sidecars send whether they accept effects of stale owners. A sidecar that accepts an effect for all
// members forwards it at once, and the frames of a link are in the order in which they were sent. So on no link may a token follow a greater one of
// the same role. It is safe for concurrent use.
type EffectChecker struct {
	mu                sync.Mutex
	lastToken         map[effectSource]uint64
	highestToken      map[string]uint64
	violations        []string
	origins           map[grant]uint64  // the sidecar whose effects under a grant are for all members
	peerIDs           map[string]uint64 // by name of the sidecar, from its last hello
	effectCount       int
	rejectedCount     int
	staleCount        int
	staleByOwnerCount int
}

// effectSource identifies the effects of a role that one sidecar sends on one link.
type effectSource struct {
	link   uint64
	sender string
	role   string
}

// NewEffectChecker returns a checker without observations.
func NewEffectChecker() *EffectChecker {
	return &EffectChecker{lastToken: map[effectSource]uint64{}, highestToken: map[string]uint64{}, origins: map[grant]uint64{}, peerIDs: map[string]uint64{}}
}

// ObserveFrame is for FaultProxy.OnFrame.
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
		if e.origins[granted] != 0 && len(e.violations) < maxRoleViolations {
			e.violations = append(e.violations,
				fmt.Sprintf("%s is done under token %d by %x and by %x", message.Role, message.Token, e.origins[granted], message.Origin))
		}
		e.origins[granted] = message.Origin
	}
	e.highestToken[message.Role] = max(e.highestToken[message.Role], message.Token)
	source := effectSource{link, direction.From, message.Role}
	if e.lastToken[source] > message.Token && len(e.violations) < maxRoleViolations {
		e.violations = append(e.violations,
			fmt.Sprintf("%s says an effect of %s under token %d after one under %d", direction.From, message.Role, message.Token, e.lastToken[source]))
	}
	e.lastToken[source] = max(e.lastToken[source], message.Token)
}

// Results returns the first violations, the number of frames with effects and rejections, of rejections alone, and of frames under a lower token than
// an earlier frame of any sidecar.
func (e *EffectChecker) Results() (violations []string, effects, rejected, stale int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...), e.effectCount, e.rejectedCount, e.staleCount
}

// StaleByOwner returns how many effects their owner itself sent after a frame with a greater token: it had checked its lease before that.
func (e *EffectChecker) StaleByOwner() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.staleByOwnerCount
}
