// Package placement decides which server a proxy sends a request to. A Pool holds the servers of one service as one proxy knows
// them; a Planner decides which model servers process a prompt.
//
// A proxy uses a subset of the servers, derived from its rank among the proxies, so that all subsets together cover the servers
// evenly. A server gets no requests while it drains, changes its stage, is ejected after failures (outlier detection), is
// suspected by a phi accrual failure detector over the gaps between probe replies, or while another instance answers at its
// address. Each of these conditions ends by itself or after a probe; none needs a further change of the list of servers.
//
// A prompt is processed by a prefill server and then answered by a decode server, or both is done by one decode server
// (colocated). The planner estimates the cost of each choice in seconds. It sends prompts with the same shared prefix to the same
// prefill server by rendezvous hashing, so that all proxies agree without communication.
//
// The package is pure. Its types are not safe for concurrent use. The caller passes in the time, in seconds on the process's
// monotonic clock.
package placement
