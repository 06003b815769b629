// Package capture records what the decisions are told and what they decide, one JSON line each, and feeds a record
// through them again.
package capture
