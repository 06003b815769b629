// Package reconfiguration decides which control process changes the voters of the register, and when. There is no leader:
// each voter derives its rank from the voters that it can reach, and waits longer the higher its rank is, so that the next one
// takes over if a process fails. Two processes may change the voters at the same time; the register allows that, and the ranks
// only make it rare.
//
// The package contains only decisions and does no input or output. Times are seconds on the process's monotonic clock.
package reconfiguration
