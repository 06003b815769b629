package capture

import "hazelwheel/policy"

// The replayer takes the actions of the decisions.
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

func (r *replayer) Send(request, host uint32) {
	r.addReplayed(Decision{Action: ActionSend, Request: request, Host: host})
}

func (r *replayer) Cancel(request uint32, attempt int) {
	r.addReplayed(Decision{Action: ActionCancel, Request: request, Attempt: attempt})
}

func (r *replayer) Probe(host uint32) { r.addReplayed(Decision{Action: ActionProbe, Host: host}) }

func (r *replayer) CloseIdle(host uint32) {
	r.addReplayed(Decision{Action: ActionCloseIdle, Host: host})
}

func (r *replayer) Refuse(request uint32, after float64) {
	r.addReplayed(Decision{Action: ActionRefuse, Request: request, AfterSeconds: after})
}

func (r *replayer) Fail(request uint32) {
	r.addReplayed(Decision{Action: ActionFail, Request: request})
}

func (r *replayer) WakeAfter(seconds float64) {
	r.addReplayed(Decision{Action: ActionWake, AfterSeconds: seconds})
}

func (r *replayer) Watch() { r.addReplayed(Decision{Action: ActionWatch}) }

func (r *replayer) Log(text string) { r.addReplayed(Decision{Action: ActionLog, Text: text}) }
