// Package customer verifies the keys of customers and implements their
// distributed rate limiter.
//
// The rate limiter is a token bucket that is divided among the availability zones.
// A Minter is the bucket that holds one zone's share of a customer's rate and
// burst. It hands out tokens as grants, which expire. A Spender runs on an entry
// host, the host that a client is connected to. It queues the requests of one
// customer, obtains grants from the minters of any zone and spends one token for
// each request that it admits. After use it settles a grant, which returns the
// unspent tokens.
//
// Tokens are conserved. A Minter deducts a grant before it responds, and keeps the
// amount reserved against its capacity until the receiver settles the grant or
// the grant has expired on the receiver's clock. The sum of all buckets and of all
// grants that can still be spent never exceeds the burst, so the number of
// requests admitted in any window never exceeds rate times window plus burst. A
// lost message loses tokens but never creates any.
//
// The types of the rate limiter do no I/O and read no clock: their methods take
// the current time of the caller's monotonic clock. They are not safe for
// concurrent use. KeyVerifier is safe for concurrent use if the functions passed to
// NewKeyVerifier are.
package customer
