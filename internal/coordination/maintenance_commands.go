package coordination

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/maintenance"
	"hazelwheel/internal/peers"
)

// trackedCommand is a command on its way, or its answer.
type trackedCommand struct {
	maintenance.Command
	reply       maintenance.Reply
	answered    bool
	requestedAt float64 // here, at the door; -Inf: it was not
	forwardedAt float64
	seenAt      float64
}

// Work takes a command at this sidecar's door.
func (w *maintenanceRole) submit(now float64, c *maintenance.Command) (reply maintenance.Reply, answered bool) {
	d := w.trackCommand(now, c)
	if d == nil {
		return maintenance.Reply{Err: "too many commands wait"}, true
	}
	if d.requestedAt = now; d.answered {
		return d.reply, true
	}
	w.roles.state(maintenanceRoleName).nextTick = 0
	return maintenance.Reply{}, false
}

// trackCommand returns what is known of a command; nil: there is no room for one more.
func (w *maintenanceRole) trackCommand(now float64, c *maintenance.Command) *trackedCommand {
	for _, d := range w.commands {
		if d.Nonce == c.Nonce {
			d.seenAt = now
			return d
		}
	}
	w.expireCommands(now)
	if len(w.commands) >= maxCommands {
		return nil
	}
	d := &trackedCommand{Command: *c, requestedAt: math.Inf(-1), forwardedAt: math.Inf(-1), seenAt: now}
	w.commands = append(w.commands, d)
	return d
}

func (w *maintenanceRole) expireCommands(now float64) {
	w.commands = slices.DeleteFunc(w.commands, func(d *trackedCommand) bool { return now-max(d.seenAt, d.requestedAt) > replyRetentionSeconds })
}

// handleCommand takes a command on its way to the owner.
func (w *maintenanceRole) handleCommand(now float64, c *maintenance.Command, from *peers.Link) {
	d := w.trackCommand(now, c)
	switch {
	case d == nil:
	case w.heldToken != 0:
		w.execute(now, d)
	case now >= d.forwardedAt+0.9*commandRetrySeconds:
		w.forwardCommand(now, d, from)
	}
}

// forwardCommand passes a command on over all links but one.
func (w *maintenanceRole) forwardCommand(now float64, d *trackedCommand, except *peers.Link) {
	token := w.maxToken()
	if token == 0 {
		return
	}
	d.forwardedAt = now
	body := mustMarshal(&d.Command)
	for _, l := range slices.Clone(w.roles.node.upLinks) { // a link may end with what is sent over it
		if l != except {
			w.roles.sendReply(l, maintenanceRoleName, token, kindCommand, body)
		}
	}
}

// execute has the owner carry a command out, once, and answer it, as often as it comes.
func (w *maintenanceRole) execute(now float64, d *trackedCommand) {
	switch {
	case d.answered:
		w.roles.broadcast(maintenanceRoleName, kindCommandReply, mustMarshal(&d.reply))
	case w.coordinator != nil:
		if r, answered := w.coordinator.Submit(now, d.Command); answered {
			r.Nonce = d.Nonce
			w.publishReply(now, &r)
		}
		w.roles.state(maintenanceRoleName).nextTick = 0
	}
}

// publishReply tells all of an answer: somebody waits for it.
func (w *maintenanceRole) publishReply(now float64, r *maintenance.Reply) {
	if r.Token != 0 {
		reachStep("handed")
	}
	if w.roles.broadcast(maintenanceRoleName, kindCommandReply, mustMarshal(r)) {
		w.recordReply(now, r)
	}
}

// recordReply takes an answer.
func (w *maintenanceRole) recordReply(now float64, r *maintenance.Reply) {
	for _, d := range w.commands {
		if d.Nonce == r.Nonce && !d.answered {
			d.answered, d.reply, d.seenAt = true, *r, now
		}
	}
}
