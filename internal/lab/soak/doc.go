// Package soak runs a router fleet of real processes on loopback addresses for minutes and checks it from outside.
//
// The load is clients that keep their connections, an operator that keeps changing the configuration, and stand-in servers that refuse, abort and
// are replaced. Meanwhile a fault injector runs scenarios of signals, kills, restarts and lost disks that overlap on many machines. Clients,
// operator, scenarios and replacements of servers draw from the seed of the run; the faults of servers do not, and real processes are timed by the
// machine, so a seed does not fix the outcome.
//
// The Checker sees what crossed the sockets of the package's own clients, servers and operator, and what the operating system reports of the
// processes. It reports violations of the rules that rule.go lists. An outcome that an intervention at its machine explains is excused, see
// machine.wasDisturbed.
package soak
