package processcluster

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/peers/frames"
)

// GrantHistory records the history of lease grants from the frames between sidecars: when each token was first seen, and which grants a leader has
// confirmed between a renewal request and its reply. It is safe for concurrent use.
type GrantHistory struct {
	mu            sync.Mutex
	startedAt     time.Time
	firstSeen     map[grant]int64 // nanoseconds since startedAt, as all times here
	requestedAt   map[renewal]int64
	confirmations []confirmation
}

// grant is the grant of a role under a token.
type grant struct {
	role  string
	token uint64
}

// renewal identifies a renewal request by the direction in which it was sent and its number.
type renewal struct {
	direction Direction
	number    uint64
}

// confirmation is a leader's confirmation that a grant was valid at some time between two.
type confirmation struct {
	grant
	from, to int64
}

// maxPendingRenewals bounds the renewal requests without a reply.
const maxPendingRenewals = 10_000

// NewGrantHistory returns an empty history.
func NewGrantHistory() *GrantHistory {
	return &GrantHistory{startedAt: time.Now(), firstSeen: map[grant]int64{}, requestedAt: map[renewal]int64{}}
}

// ObserveFrame is for FaultProxy.OnFrame.
func (h *GrantHistory) ObserveFrame(_ uint64, direction Direction, topic frames.Topic, body []byte) {
	var message lease.Message
	var role frames.RoleMessage
	switch {
	case topic == frames.TopicLease && frames.Unmarshal(body, &message) == nil:
	case topic == frames.TopicRole && frames.Unmarshal(body, &role) == nil:
	default:
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := int64(time.Since(h.startedAt))
	if role.Token != 0 {
		h.recordGrant(grant{role.Role, role.Token}, now)
	}
	if message.Table != nil {
		for _, granted := range message.Table.Grants {
			h.recordGrant(grant{granted.Role, granted.Token}, now)
		}
	}
	if message.RenewRequest != nil && len(h.requestedAt) < maxPendingRenewals {
		// A restarted process reuses numbers: of requests with the same number the first one counts.
		if request := (renewal{direction, message.RenewRequest.Number}); h.requestedAt[request] == 0 {
			h.requestedAt[request] = now
		}
	}
	if message.RenewReply == nil {
		return
	}
	request := renewal{Direction{direction.To, direction.From}, message.RenewReply.Number}
	from, ok := h.requestedAt[request]
	delete(h.requestedAt, request)
	for _, granted := range message.RenewReply.Grants {
		h.recordGrant(grant{granted.Role, granted.Token}, now)
		if ok {
			h.confirmations = append(h.confirmations, confirmation{grant{granted.Role, granted.Token}, from, now})
		}
	}
}

// recordGrant records when a grant is first seen. The caller holds mu.
func (h *GrantHistory) recordGrant(granted grant, now int64) {
	if _, ok := h.firstSeen[granted]; !ok && granted.token != 0 {
		h.firstSeen[granted] = now
	}
}

// tokenRegister models the token of a role: a grant raises it, and a confirmation reads the token of the last grant.
var tokenRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, _ any) (bool, any) {
		if c, ok := in.(confirmation); ok {
			return c.token == state.(uint64), state
		}
		x := in.(grant)
		return x.token > state.(uint64), x.token
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(in, _ any) string {
		return fmt.Sprintf("%+v", in)
	},
}

// CheckLinearizable checks for each role that grants and confirmations are linearizable, and returns the number of confirmations, or the reason why
// there is no order. A grant lies before its token was first seen, and after the last request whose reply confirmed an earlier grant.
func (h *GrantHistory) CheckLinearizable() (confirmed int, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histories := map[string][]porcupine.Operation{}
	var names []string
	for granted, at := range h.firstSeen {
		from := int64(0)
		for _, confirmed := range h.confirmations {
			if confirmed.role == granted.role && confirmed.token < granted.token && confirmed.from <= at {
				from = max(from, confirmed.from)
			}
		}
		if histories[granted.role] == nil {
			names = append(names, granted.role)
		}
		histories[granted.role] = append(histories[granted.role], porcupine.Operation{Input: granted, Call: from, Return: at})
	}
	for _, confirmed := range h.confirmations {
		histories[confirmed.role] = append(histories[confirmed.role], porcupine.Operation{Input: confirmed, Call: confirmed.from, Return: confirmed.to})
	}
	slices.Sort(names)
	for _, name := range names {
		switch porcupine.CheckOperationsTimeout(tokenRegister, histories[name], time.Minute) {
		case porcupine.Illegal:
			return 0, fmt.Sprintf("there is no order of the grants of %s and of what leaders confirmed", name)
		case porcupine.Unknown:
			return 0, fmt.Sprintf("no order of the grants of %s was found in time", name)
		}
	}
	return len(h.confirmations), ""
}
