// Package tokenlease limits the rate of each tenant's requests over all proxies together, by token buckets whose tokens are leased.
//
// Each tenant's limit is divided into Shares equal shares. A share is a token bucket at a Lessor, which one process runs at a time. A proxy
// is a Lessee: it pays for each request with tokens that lessors have granted it, and asks for more if these don't suffice.
//
// Messages contain sums since the lease began: how many tokens were granted, spent and returned. So lost, repeated and reordered messages do
// no harm, and tokens that were granted in a lost reply arrive with the next one. A lease ends LeaseSeconds after the lessee sent the last
// request that was answered. The lessor counts its tokens as outstanding for longer, by the possible clock drift, and doesn't grant
// them again when it ends, since they may have been spent.
//
// The hosts of lessees and lessors must ensure:
//
//   - A share has one lessor at a time, with a fencing token that is higher for each new one. A new lessor starts with NewLessor, without the
//     accounts of another.
//   - A reply is passed to Lessee.HandleReply with the request that it answers and the time at which that was sent.
//   - Times are seconds on the monotonic clock of the process, which must also advance while the process is stopped.
//
// Then the tokens that are spent in a window stay below Allowance.MaxSpent: the bucket of a share and its leases together never hold more
// than its part of Allowance.Capacity. docs/design/tenant-limits.md has the calculation.
//
// The package does no input or output and is not safe for concurrent use.
package tokenlease
