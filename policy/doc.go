// Package policy is the load balancing of the sidecar in service: which host gets a request, when a request is retried, held
// or refused, and which hosts are taken for healthy. It is a pure state machine. The host program calls a Balancer with
// events and the time at which they happened, and carries out the Actions that the Balancer asks for. The package starts no
// goroutines, reads no clock and does no I/O; the same settings, seed and events give the same actions.
//
// A Balancer serves one proxy and is not safe for concurrent use. Times are seconds of one clock, in the sidecar Unix time.
//
// The mechanisms, one a file:
//
//   - endpointlist.go: the endpoint list, and the backoff between list requests
//   - subset.go: deterministic subsetting, so that each proxy connects to a part of the hosts
//   - probe.go: health checks on a cadence, and what their answers teach
//   - phi.go: the phi accrual failure detector over probe answers and failed connections
//   - report.go: load reports, fetched for a pick where probe answers carry them
//   - queuedelay.go: the queue at a host, estimated from probe delays where load reports are absent
//   - slowstart.go: the capacity of hosts that warm up, and the budget for requests to them
//   - admission.go: the arrival of a request, its latency target and its tenant's share
//   - dispatch.go: the queue of requests that wait for a host, and the refusal of those that none can take
//   - pick.go: the choice of a host by its estimated cost, of many by a few random draws
//   - attempt.go: attempts, the rules for retries, and the end of a request
//   - outcome.go: what outcomes teach: latencies, concurrency limits, and backoff from a host
//   - idleconn.go: connections that were lost unnoticed while idle
//   - wakeup.go: the timer
//
// Types without decisions are in host.go, request.go, queue.go, membergroups.go, kindfactors.go, decayingrate.go and
// unserved.go; checkpoint.go writes and reads the complete state; query.go answers questions without a change of state.
package policy
