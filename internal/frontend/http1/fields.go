package http1

import (
	"math"
	"strconv"
	"time"

	"hazelwheel/internal/sidecar"
	"hazelwheel/policy"
)

// Names of the header fields that clients, the sidecar and servers exchange.
const (
	fieldID         = "Request-Id"
	fieldTimeout    = "Request-Timeout"
	fieldKey        = "Idempotency-Key"
	fieldRetry      = "Client-Retry"
	fieldNotStarted = "Not-Started"
	fieldLoad       = "Server-Load"
	fieldRetryAfter = "Retry-After"
	fieldTenant     = "Tenant"
)

// parseReport parses a load report.
func (f *Frontend) parseReport(text string) policy.Report {
	return sidecar.ParseLoadReport(f.settings.ReportFields, text)
}

// tenantIndex returns the index in the settings of a tenant that a client gives by name or by index, or sidecar.UnknownTenant.
func (f *Frontend) tenantIndex(text string) int {
	tenants := f.settings.Policy.Tenants
	for i := range tenants {
		if tenants[i].Name == text {
			return i
		}
	}
	if i, err := strconv.Atoi(text); err == nil && i >= 0 && i < len(tenants) {
		return i
	}
	return sidecar.UnknownTenant
}

// appendTimeout appends a number of seconds in the form that parseTimeout reads, in whole microseconds.
func appendTimeout(dst []byte, s float64) []byte {
	return append(strconv.AppendInt(dst, max(int64(s*1e6), 0), 10), 'u')
}

// parseTimeout parses a number followed by a unit, m for milliseconds or u for microseconds, and returns seconds.
func parseTimeout(text string) (float64, bool) {
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
