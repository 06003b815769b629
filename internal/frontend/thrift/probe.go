package thrift

import (
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/thrift"
	"hazelwheel/policy"
)

// probe calls the configured method and expects any reply.
type probe struct{ exchange }

// NewProbe implements sidecar.Frontend: it calls a method without arguments in the strict binary protocol, which every server knows.
func (f *Frontend) NewProbe() sidecar.Exchange {
	if f.config.Probe == "" {
		return nil
	}
	var w thrift.Writer
	w.BeginMessage(nil, thrift.Binary, thrift.Call, f.config.Probe, 0)
	m, err := thrift.ParseMessage(w.EndMessage()[4:])
	if err != nil {
		panic(err) // impossible: the message was written above
	}
	return &probe{exchange{call: &call{frontend: f, message: m}}}
}

var resultPaths = []thrift.Path{{0}}

// Result implements sidecar.Exchange. The load report may be in the result. A server that responds that it does not know the method is healthy.
func (x *probe) Result() (policy.Outcome, policy.Report, bool) {
	outcome, report, keep := x.exchange.Result()
	var found [thrift.MaxPaths]thrift.Value
	if x.reply.Kind == thrift.Exception {
		if kind, _, err := x.reply.DecodeException(); err == nil && kind == thrift.UnknownMethod {
			outcome = policy.OK
		}
	} else if f := x.call.frontend; f.settings.Policy.ReportsOnProbe && x.reply.Find(resultPaths, &found) == nil {
		report = sidecar.ParseLoadReport(f.settings.ReportFields, string(found[0].Bytes))
	}
	return outcome, report, keep
}
