package coordination

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
)

const (
	// commandRetrySeconds is how often a command without a reply is sent again.
	commandRetrySeconds = 0.4
	// commandInterestSeconds is for how long a command is sent again after it was last submitted here.
	commandInterestSeconds = 3.0
	// replyRetentionSeconds is how long a command and its reply are kept in case the command is submitted again.
	replyRetentionSeconds = 60.0
	maxCommands           = 256 // commands that are kept
)

// trackedCommand is a command that was submitted here or is on its way to the holder, with its reply.
type trackedCommand struct {
	maintenance.Command
	reply       maintenance.Reply
	answered    bool    // reply is set
	requestedAt float64 // when it was last submitted here; -Inf: never
	forwardedAt float64 // when it was last sent; -Inf: never
	lastSeenAt  float64 // when it or its reply was last received
}

// submit returns the reply to a command that is submitted at this sidecar. Without a reply yet, the command is sent towards the holder
// in the next tick.
func (r *maintenanceRole) submit(now float64, c *maintenance.Command) (reply maintenance.Reply, answered bool) {
	t := r.trackCommand(now, c)
	if t == nil {
		return maintenance.Reply{Err: "too many commands wait"}, true
	}
	if t.requestedAt = now; t.answered {
		return t.reply, true
	}
	r.roles.requestTick(maintenanceRoleName)
	return maintenance.Reply{}, false
}

// trackCommand returns the entry of a command, which is added if it is new; nil if there are too many.
func (r *maintenanceRole) trackCommand(now float64, c *maintenance.Command) *trackedCommand {
	for _, t := range r.commands {
		if t.Nonce == c.Nonce {
			t.lastSeenAt = now
			return t
		}
	}
	r.expireCommands(now)
	if len(r.commands) >= maxCommands {
		return nil
	}
	t := &trackedCommand{Command: *c, requestedAt: math.Inf(-1), forwardedAt: math.Inf(-1), lastSeenAt: now}
	r.commands = append(r.commands, t)
	return t
}

func (r *maintenanceRole) expireCommands(now float64) {
	r.commands = slices.DeleteFunc(r.commands, func(t *trackedCommand) bool { return now-max(t.lastSeenAt, t.requestedAt) > replyRetentionSeconds })
}

// handleCommand handles a command on its way to the holder: the holder executes it, other sidecars forward it.
func (r *maintenanceRole) handleCommand(now float64, c *maintenance.Command, from *peers.Link) {
	t := r.trackCommand(now, c)
	switch {
	case t == nil:
	case r.heldToken != 0:
		r.execute(now, t)
	case now >= t.forwardedAt+forwardRetryFraction*commandRetrySeconds:
		r.forwardCommand(now, t, from)
	}
}

// retryCommands sends commands without a reply towards the holder again, and returns when to do so next; +Inf: never.
func (r *maintenanceRole) retryCommands(now float64) (next float64) {
	next = math.Inf(1)
	for _, t := range r.commands {
		if t.answered || now-t.requestedAt > commandInterestSeconds {
			continue
		}
		if now >= t.forwardedAt+commandRetrySeconds {
			r.forwardCommand(now, t, nil)
		}
		next = now + commandRetrySeconds
	}
	return next
}

// forwardCommand sends a command towards the holder, over all links except the link except, which may be nil.
func (r *maintenanceRole) forwardCommand(now float64, t *trackedCommand, except *peers.Link) {
	token := r.maxToken()
	if token == 0 {
		return
	}
	t.forwardedAt = now
	r.roles.sendTowardsHolder(maintenanceRoleName, token, kindCommand, mustMarshal(&t.Command), except)
}

// execute is called at the holder. It executes a command once, and sends its reply to all whenever the command is received again.
func (r *maintenanceRole) execute(now float64, t *trackedCommand) {
	switch {
	case t.answered:
		r.roles.broadcast(maintenanceRoleName, kindCommandReply, mustMarshal(&t.reply))
	case r.coordinator != nil:
		if reply, answered := r.coordinator.Submit(now, t.Command); answered {
			reply.Nonce = t.Nonce
			r.publishReply(now, &reply)
		}
		r.roles.requestTick(maintenanceRoleName)
	}
}

// publishReply sends a reply to all members, since the command may have been submitted at any of them.
func (r *maintenanceRole) publishReply(now float64, reply *maintenance.Reply) {
	if reply.Token != 0 {
		callStepHook("handed")
	}
	if r.roles.broadcast(maintenanceRoleName, kindCommandReply, mustMarshal(reply)) {
		r.recordReply(now, reply)
	}
}

// recordReply keeps a reply in case the command is submitted again.
func (r *maintenanceRole) recordReply(now float64, reply *maintenance.Reply) {
	for _, t := range r.commands {
		if t.Nonce == reply.Nonce && !t.answered {
			t.answered, t.reply, t.lastSeenAt = true, *reply, now
		}
	}
}
