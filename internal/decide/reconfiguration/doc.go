// Package reconfiguration decides which control process looks after the voters of the register, and when. There is no leader: each voter
// has its turn, in an order that all derive from whom they are in touch with, and the turns of those that fail pass by themselves.
// It is pure; time comes as seconds on the process's steady clock.
package reconfiguration
