// Package quota decides whether a request of a group may be taken up: how much of several measures each group of a tree
// has used, what idle groups lend to busy ones, and how loans are paid back. It is pure: it reads no clock and starts
// nothing; times are seconds of one clock, given with each call, and one that goes back counts as one that stands still.
//
// Every group has an account for each limit. A group without children has a bucket that its share fills; what does not
// fit is deposited with its parent, whose pool holds what its children have left over, and so on up to the root. A group
// whose bucket is empty draws on the pools above it, the nearest first. Each token lies in one account, so nothing can be
// lent twice; each edge of the tree has one balance, which says what a group has deposited less what it has drawn. A
// balance above 0 is a claim that goes before others, one below 0 a debt that is paid out of what the group gets later.
package quota
