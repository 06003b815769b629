// Package subsetsim compares strategies by which sidecars select the servers that they connect to, by the selections alone: there
// are no requests and no clock. Each sidecar spreads its traffic evenly over its servers; what is measured is the load that adds
// up at each server, and how many connections move when the fleet changes.
package subsetsim
