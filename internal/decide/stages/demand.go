package stages

import "math"

const (
	// halfLoadPrompts is the mean number of prompts at a prefill server that is busy half of the time.
	halfLoadPrompts = 0.5
	// backlogWeight is added to the number of busy servers for each prompt that waits behind another waiting one, so that backlogs
	// are worked off soon.
	backlogWeight = 0.05
	// loadTimeConstant is the time constant of the average prefill load, in seconds.
	loadTimeConstant = 1.0
)

// Demand is the load that all proxies together put on a service.
type Demand struct {
	PrefillTokensPerSecond float64 // prompt tokens that need prefill
	DecodeStreams          float64 // answers in progress
	KVTokens               float64 // tokens that those answers hold in the KV cache
	Reports                int     // number of proxies whose demand is included; 0 if nothing is known
	PrefillLoad            PrefillLoad
}

// isZero reports whether the proxies report practically no demand.
func (d *Demand) isZero() bool { return d.PrefillTokensPerSecond < 1 && d.DecodeStreams == 0 }

// decodeLoad returns the number of servers that the answers in progress would fill. slots and kvTokens are the capacity of one
// server; kvTokens is 0 if unknown.
func (d *Demand) decodeLoad(slots, kvTokens float64) float64 {
	load := d.DecodeStreams / slots
	if kvTokens > 0 {
		load = max(load, d.KVTokens/kvTokens)
	}
	return load
}

// PrefillLoad sums up the load that prefill servers report.
type PrefillLoad struct {
	Reporting   int     // number of servers that have reported recently; 0 if nothing is known
	BusyServers float64 // sum over the servers of the fraction of time that each is busy, plus weights of backlogs
}

// Add adds the report of one server: how many prompts are running and waiting there. A server that processes one prompt at a time
// is assumed to be busy for the fraction of time that leads to this number of prompts on average.
func (l *PrefillLoad) Add(running, waiting int) {
	prompts := float64(running + waiting)
	l.Reporting++
	l.BusyServers += prompts/(prompts+halfLoadPrompts) + backlogWeight*float64(max(waiting-1, 0))
}

// movingAverage is an exponential moving average with loadTimeConstant.
type movingAverage struct {
	value, updatedAt float64
}

// add adds a value and returns the average.
func (a *movingAverage) add(now, value float64) float64 {
	a.value += (value - a.value) * (1 - math.Exp(-(now-a.updatedAt)/loadTimeConstant))
	a.updatedAt = now
	return a.value
}
