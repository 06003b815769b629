// Package maintenance decides in which order boxes are taken out of use for work on them, on behalf of all sidecars: which box leaves
// next, when it is empty, who may work on it, when it comes back. It is a pure state machine: it is told the time, what is agreed,
// what the sidecars say, and what operators and mechanics want, and returns what is to be agreed next. Nothing is done before it is
// agreed: State is what the electors keep (a tenure.Record), and a sidecar bans a box because the State that it goes by says so.
// docs/design/works.md weighs the ways.
//
// Danger: the owner of the job may stand still or be another one at any instant. So each step is a new State in place of one
// version, and what a mechanic is given carries that version as its token: it only grows.
package maintenance
