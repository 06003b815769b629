package http1

import (
	"math"
	"strconv"
	"strings"
	"time"

	"hazelwheel/policy"
)

// Header fields of the deployment.
const (
	fieldID         = "Request-Id"
	fieldPatience   = "Request-Timeout"
	fieldKey        = "Idempotency-Key"
	fieldRetry      = "Client-Retry"
	fieldNotStarted = "Not-Started"
	fieldLoad       = "Server-Load"
	fieldRetryAfter = "Retry-After"
)

// report reads a load report, `inflight=7,util=0.61`. A value that is absent or odd is not a number, which
// the decisions pass over.
func (f *Front) report(text string) policy.Report {
	var r policy.Report
	names := f.settings.ReportFields
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
			if names[i] == name || reportAlias[names[i]] == name {
				r.Values[i] = float32(v)
			}
		}
	}
	return r
}

// reportAlias are the names on the sockets of the values that the settings name.
var reportAlias = map[string]string{"busy_reqs": "inflight", "pending": "queue", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps"}

// appendPatience appends a span as the deployment writes it.
func appendPatience(dst []byte, s float64) []byte {
	return append(strconv.AppendInt(dst, max(int64(s*1e6), 0), 10), 'u')
}

// parsePatience reads a number and a unit, m or u, as seconds.
func parsePatience(text string) (float64, bool) {
	if len(text) < 2 {
		return 0, false
	}
	unit, ok := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[text[len(text)-1]]
	n, err := strconv.ParseFloat(text[:len(text)-1], 64)
	if !ok || err != nil || !(n >= 0) || math.IsInf(n, 0) {
		return 0, false
	}
	return n * unit.Seconds(), true
}
