// Package swim decides who is there: which sidecars of a fleet live, are suspected, have left or are dead. It is a pure
// state machine: it is told the time, of links and of messages, and asks for links and messages. The same calls give the
// same calls back.
//
// Each member watches its neighbours on a few rings, which are the members in orders of their own, so all that live are
// joined by short ways (the expander of Rapid). Who is not heard is accused; who is accused and hears of it says so with a
// greater incarnation (SWIM); accusations by several count sooner than one alone, and who has doubts about itself waits
// longer (Lifeguard). What is new goes to all links at once, and what was missed is found by comparing sums of views.
// docs/design/peers.md weighs the ways.
package swim
