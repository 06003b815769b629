// Package placement decides which server a proxy sends a request to. A Pool holds the servers of one service as one proxy
// knows them, a Planner places prompts on model servers.
//
// A proxy uses a subset of the servers, derived from its rank among the proxies, so that all subsets together cover the
// servers evenly. Servers are left out while they drain, change their stage, are ejected after failures (outlier detection),
// are suspected by a phi accrual failure detector over the gaps between probe replies, or while another instance answers at
// their address. Each of these conditions ends by itself or by a probe; none waits for another change of the list.
//
// A prompt is read by a prefill server and answered by a decode server, or both by one decode server (colocated). The planner
// estimates what each choice costs in seconds, and sends prompts with the same shared prefix to the same prefill server by
// rendezvous hashing, which all proxies agree on without talking to each other.
//
// The package is pure. Its types are not safe for concurrent use; time comes as seconds on the process's steady clock.
package placement
