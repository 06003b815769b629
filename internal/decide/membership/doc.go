// Package membership keeps who is there: a partial view of peers that is shuffled at each exchange, and a roster of
// records that spread with it. It is a pure state machine; time comes as seconds on the host's steady clock.
package membership
