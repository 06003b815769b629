// Package register is a compare-and-swap register that is replicated on voters and changed in two quorum rounds, without a
// log and without a leader. It holds the state machines alone: a host sends, writes to disk and keeps time.
//
// A change prepares a ballot at a majority, learns the value of the highest accepted ballot, derives the next value from it
// and has it accepted by a majority. The set of voters is a part of the value. While it changes, the value names the old and
// the new voters and each round needs a majority of both.
package register
