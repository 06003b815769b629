package capture

import "hazelwheel/policy"

// The replayer takes the actions of the decisions.
var _ policy.Actions = (*replayer)(nil)

func (r *replayer) note(d Decision) {
	if l, ok := r.open[d.Request]; ok && d.Request != 0 {
		d.ID, d.Class = l.ID, l.Class
	}
	if d.Host != 0 {
		d.HostName = r.hosts[d.Host]
	}
	d.Text = label(d.Text)
	r.did = append(r.did, d)
}

func (r *replayer) Send(request, host uint32) {
	r.note(Decision{Action: ActionSend, Request: request, Host: host})
}

func (r *replayer) Cancel(request uint32, attempt int) {
	r.note(Decision{Action: ActionCancel, Request: request, Attempt: attempt})
}

func (r *replayer) Probe(host uint32) { r.note(Decision{Action: ActionProbe, Host: host}) }

func (r *replayer) CloseIdle(host uint32) { r.note(Decision{Action: ActionCloseIdle, Host: host}) }

func (r *replayer) Refuse(request uint32, after float64) {
	r.note(Decision{Action: ActionRefuse, Request: request, AfterSeconds: after})
}

func (r *replayer) Fail(request uint32) { r.note(Decision{Action: ActionFail, Request: request}) }

func (r *replayer) WakeAfter(seconds float64) {
	r.note(Decision{Action: ActionWake, AfterSeconds: seconds})
}

func (r *replayer) Watch() { r.note(Decision{Action: ActionWatch}) }

func (r *replayer) Log(text string) { r.note(Decision{Action: ActionLog, Text: text}) }
