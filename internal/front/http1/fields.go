package http1

import (
	"math"
	"strconv"
	"time"

	"hazelwheel/internal/sidecar"
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

// report reads a load report.
func (f *Front) report(text string) policy.Report {
	return sidecar.ReadReport(f.settings.ReportFields, text)
}

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
