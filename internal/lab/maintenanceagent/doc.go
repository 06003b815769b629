// Package maintenanceagent is a stand-in for the agents that do maintenance on servers, for tests and the laboratory. An Agent acquires servers that
// are drained at the admin endpoints of sidecars, works on each for a while and reports its completion. It records what it did, so that invariants
// can be checked against it.
//
// Execute sends a maintenance command to any admin endpoint and repeats it until it is answered; SendLine sends any one line.
package maintenanceagent
