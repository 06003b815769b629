package http1

import (
	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
	"hazelwheel/policy"
)

// probe asks a server for a sign of life.
type probe struct{ exchange }

// NewProbe asks in the way that the settings name.
func (f *Frontend) NewProbe() sidecar.Exchange {
	path := "/health"
	if f.settings.Policy.ReportsOnProbe {
		path = "/status/load"
	}
	c := &call{front: f, method: "GET", target: path, header: http1.Header{{Name: "Host", Value: f.sidecarName}}, body: sidecar.Body{IsComplete: true}}
	return &probe{exchange{call: c, parser: http1.NewResponseParser(limits)}}
}

// Result reads the report from the body, where it comes so. A probe runs nothing: a server that does not serve
// one has turned it away, and need not say so as it must of a request.
func (x *probe) Result() (policy.Outcome, policy.Report, bool) {
	outcome, report, keep := x.exchange.Result()
	if x.parser.Status == 503 {
		outcome = policy.Rejected
	}
	if x.call.front.settings.Policy.ReportsOnProbe && x.parser.Status == 200 {
		report = x.call.front.parseReport(string(x.parser.Body))
	}
	return outcome, report, keep
}
