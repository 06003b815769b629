// Package quota decides whether a request of a group may be admitted. Groups form a tree and share the quotas of the root for
// several measures; idle groups lend to busy ones, and loans are paid back. The package reads no clock, starts no goroutine and
// does no I/O. Times are seconds on one clock and are passed with each call; a clock that goes back is treated as standing still.
//
// Each group has an account for each limit. The account of a group without children is a token bucket that fills at the rate of the
// group's share. What does not fit is deposited with its parent, whose account is a pool of its children's excess, and so on up to
// the root. A group whose bucket is empty draws on the pools above it, the nearest first. Each token is in one account, so nothing
// is lent twice. Each edge of the tree has one balance: a group's deposits with its parent minus its draws. A positive balance is a
// credit, which has priority over the demands of others; a negative one is a debt, which is repaid from the group's later inflow. docs/design/quotas.md gives the
// reasons.
package quota
