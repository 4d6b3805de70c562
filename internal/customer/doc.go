// Package customer is the aggregate of one customer: its key verifiers and the
// tokens that its rate and burst allow.
//
// Tokens are conserved. A Minter holds one availability zone's share of a
// customer's rate and burst. It deducts a grant before it answers and keeps
// the amount reserved against its capacity until the receiver settles the
// grant or the grant has expired on the receiver's clock. A Spender admits
// requests with tokens from any zone. The sum of all buckets and of all grants
// that can still be spent never exceeds the burst, so the number of requests
// admitted in any window never exceeds rate times window plus burst. A lost
// message loses tokens and never makes any.
//
// All types are pure: methods take the current time of the caller's monotonic
// clock and do no I/O. They are not safe for concurrent use.
package customer
