// Package stages decides how many model servers of a service do prefill and how many decode, and which of them change their
// stage. A Planner compares the load of both stages with what they can take, and returns changes once an imbalance has lasted
// for a while; it never moves a stage's last servers.
//
// The package is pure and not safe for concurrent use. Time comes as seconds on the process's steady clock.
package stages
