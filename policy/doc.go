// Package policy decides for a proxy (the sidecar in production) which host gets a request, when a request is retried, held or
// refused, and which hosts are considered healthy. It is a pure state machine: the host program calls a Balancer with events and
// the times at which they happened, and carries out the Actions that the Balancer asks for. The package starts no goroutines,
// reads no clock and does no I/O; the same settings, seed and events give the same actions.
//
// A Balancer serves one proxy and is not safe for concurrent use. All times are seconds on one clock, which is Unix time in the
// sidecar.
//
// The mechanisms, one a file:
//
//   - endpointlist.go: the endpoint list, and the backoff between list requests
//   - subset.go: deterministic subsetting, so that each proxy connects to a part of the hosts
//   - probe.go: periodic health checks (cadence probes) and the handling of their answers
//   - phi.go: the phi accrual failure detector over probe answers and failed connections
//   - report.go: load reports, polled before a pick where probe answers carry them
//   - queuedelay.go: the queue delay at a host, estimated from probe delays where load reports are absent
//   - slowstart.go: the capacity of hosts that warm up, and the budget for requests to them
//   - admission.go: the arrival of a request, its latency target and its tenant's share
//   - dispatch.go: the queue of requests that wait for a host, and the refusal of requests that no host can take
//   - pick.go: the choice of a host by its estimated cost; of many hosts only a few random ones are compared
//   - attempt.go: attempts, the rules for retries, and the end of a request
//   - outcome.go: updates by the outcomes of attempts: latencies, concurrency limits and backoff from a host
//   - idleconn.go: connections that were dropped unnoticed while idle
//   - wakeup.go: the timer
//
// Types that make no decisions are in host.go, request.go, queue.go, membergroups.go, kindfactors.go, decayingrate.go and
// unserved.go; checkpoint.go writes and reads the complete state; query.go answers questions without changing state.
package policy
