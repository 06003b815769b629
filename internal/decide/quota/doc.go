// Package quota decides whether a request of a group may be admitted. Groups form a tree and share the quotas of the root for
// several measures; idle groups lend to busy ones, and loans are paid back. The package is pure: it reads no clock, starts no
// goroutine and does no I/O. Times are seconds of one clock, passed with each call; a clock that goes back counts as one that
// stands still.
//
// Each group has an account for each limit. A group without children has a token bucket that its share fills. What does not fit is
// deposited with its parent, whose account is a pool of what its children leave over, and so on up to the root. A group whose
// bucket is empty draws on the pools above it, the nearest first. Each token is in one account, so nothing is lent twice. Each
// edge of the tree has one balance: what a group has deposited less what it has drawn. A positive balance is a credit that goes
// before the demands of others; a negative one is a debt, paid out of what the group gets later. docs/design/quotas.md gives the
// reasons.
package quota
