// Package processcluster runs clusters of real sidecar processes that know each other, and checks them from outside.
//
// Run starts the processes through internal/lab/realtime and puts a FaultProxy between all of them, which cuts, holds, slows or resets their links.
// Meanwhile it polls the admin endpoints of all sidecars and compares their views of the membership and of singleton roles with the processes that
// run. An EffectChecker and a GrantHistory observe the frames between sidecars and check that no stale owner of a role has an effect. A maintenance
// plan may be carried out in the cluster by stand-in agents, or by a script for comparison; its records are checked against what the servers
// received.
package processcluster
