package http1

import (
	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
	"hazelwheel/policy"
)

// probe is the exchange of a health check.
type probe struct{ exchange }

// NewProbe implements sidecar.Frontend. The path depends on whether probes return load reports.
func (f *Frontend) NewProbe() sidecar.Exchange {
	path := "/health"
	if f.settings.Policy.ReportsOnProbe {
		path = "/status/load"
	}
	c := &call{frontend: f, method: "GET", target: path, header: http1.Header{{Name: "Host", Value: f.sidecarName}}, body: sidecar.Body{IsComplete: true}}
	return &probe{exchange{call: c, parser: http1.NewResponseParser(limits)}}
}

// Result implements sidecar.Exchange. The load report may be in the body. A probe runs nothing, so status 503 counts as a
// rejection without the field Not-Started, which it needs for a request.
func (x *probe) Result() (policy.Outcome, policy.Report, bool) {
	outcome, report, keep := x.exchange.Result()
	if x.parser.Status == 503 {
		outcome = policy.Rejected
	}
	if x.call.frontend.settings.Policy.ReportsOnProbe && x.parser.Status == 200 {
		report = x.call.frontend.parseReport(string(x.parser.Body))
	}
	return outcome, report, keep
}
