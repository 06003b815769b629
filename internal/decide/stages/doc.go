// Package stages decides how many model servers of a service do prefill and how many decode, and which of them change their
// stage. A Planner compares the load of both stages with their capacity, and returns changes when an imbalance has lasted for a
// while. It never moves the last servers of a stage.
//
// The package is pure and not safe for concurrent use. The caller passes in the time, in seconds on the process's monotonic
// clock.
package stages
