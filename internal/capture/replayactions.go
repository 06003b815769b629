package capture

import "hazelwheel/policy"

// A replayer carries out actions by collecting them.
var _ policy.Actions = (*replayer)(nil)

// addReplayed adds an action to those of the input that is being replayed, with the names that the recorder would have written.
func (r *replayer) addReplayed(d Decision) {
	if l, ok := r.openRequests[d.Request]; ok && d.Request != 0 {
		d.ID, d.Class = l.ID, l.Class
	}
	if d.Host != 0 {
		d.HostName = r.hostNames[d.Host]
	}
	d.Text = truncateLabel(d.Text)
	r.replayed = append(r.replayed, d)
}

// Send implements policy.Actions.
func (r *replayer) Send(request, host uint32) {
	r.addReplayed(Decision{Action: ActionSend, Request: request, Host: host})
}

// Cancel implements policy.Actions.
func (r *replayer) Cancel(request uint32, attempt int) {
	r.addReplayed(Decision{Action: ActionCancel, Request: request, Attempt: attempt})
}

// Probe implements policy.Actions.
func (r *replayer) Probe(host uint32) { r.addReplayed(Decision{Action: ActionProbe, Host: host}) }

// CloseIdle implements policy.Actions.
func (r *replayer) CloseIdle(host uint32) {
	r.addReplayed(Decision{Action: ActionCloseIdle, Host: host})
}

// Refuse implements policy.Actions.
func (r *replayer) Refuse(request uint32, after float64) {
	r.addReplayed(Decision{Action: ActionRefuse, Request: request, AfterSeconds: after})
}

// Fail implements policy.Actions.
func (r *replayer) Fail(request uint32) {
	r.addReplayed(Decision{Action: ActionFail, Request: request})
}

// WakeAfter implements policy.Actions.
func (r *replayer) WakeAfter(seconds float64) {
	r.addReplayed(Decision{Action: ActionWake, AfterSeconds: seconds})
}

// Watch implements policy.Actions.
func (r *replayer) Watch() { r.addReplayed(Decision{Action: ActionWatch}) }

// Log implements policy.Actions.
func (r *replayer) Log(text string) { r.addReplayed(Decision{Action: ActionLog, Text: text}) }
