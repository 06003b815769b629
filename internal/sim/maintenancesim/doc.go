// Package maintenancesim plays work on boxes by itself: sidecars that send to boxes and go by what is agreed, owners of the job that carry
// plans out and are replaced at any instant, mechanics and operators, all drawn from a seed. What is decided is the program's own
// (internal/decide/maintenance); who is there, the electors and the links are played. It judges from outside: what boxes got, what
// mechanics did, and what was agreed.
package maintenancesim
