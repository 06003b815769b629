// Package reconfiguration decides which control process changes the voters of the register, and when. There is no leader:
// each voter derives its rank from the voters that it can reach and starts later the higher its rank is, so that a process
// which fails is followed by the next one. Two processes may change the voters at the same time; the register allows that,
// and the ranks only make it rare.
//
// The package holds decisions alone. Time comes as seconds on the process's steady clock.
package reconfiguration
