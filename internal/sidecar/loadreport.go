package sidecar

import (
	"math"
	"strconv"
	"strings"

	"hazelwheel/policy"
)

// ParseLoadReport parses the given fields of a load report such as `inflight=7,util=0.61`. The report may use the
// names of the settings or those on the wire. A value that is absent or malformed is NaN, which the policy ignores.
func ParseLoadReport(names []string, text string) policy.Report {
	var r policy.Report
	if text == "" || len(names) == 0 {
		return r
	}
	r.N = min(len(names), len(r.Values))
	for i := range r.N {
		r.Values[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || math.IsInf(v, 0) {
			continue
		}
		for i := range r.N {
			if names[i] == name || LoadReportNames[names[i]] == name {
				r.Values[i] = float32(v)
			}
		}
	}
	return r
}

// LoadReportNames maps field names in the settings to those on the wire.
var LoadReportNames = map[string]string{"busy_reqs": "inflight", "pending": "queue", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps"}
