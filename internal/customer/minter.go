package customer

import (
	"time"
)

// Amount counts tokens in millionths of a request.
type Amount uint64

// OneRequest is the amount that one request costs.
const OneRequest Amount = 1_000_000

// Limit is a customer's rate limit over the whole fleet, or one zone's share of it.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// Share returns the part of the limit of one of several zones.
func (l Limit) Share(zones int) Limit {
	n := float64(max(zones, 1))
	return Limit{Rate: l.Rate / n, Burst: l.Burst / n}
}

// Window describes a rate limit that applies to every time window of a length
// instead of a token bucket.
type Window struct {
	Length time.Duration
	// Overage and Slack are the tolerance of the limit. Overage is a fraction of
	// the limit, Slack a number of requests.
	Overage, Slack float64
}

// bucketToleranceShare is the fraction of the tolerance that the bucket may hold.
// The rest covers requests that arrive out of order, later than requests that were
// admitted after them.
const bucketToleranceShare = 0.5

// Bucket returns the limit of a token bucket that admits rate x length + burst
// requests per window, and no higher rate over a longer time. A bucket refilled
// at the configured rate would refuse a steady load that is within the limit of
// every window. If the length is not positive, the result is l.
func (w Window) Bucket(l Limit) Limit {
	if w.Length <= 0 {
		return l
	}
	total := l.Rate*w.Length.Seconds() + l.Burst
	return Limit{Rate: total / w.Length.Seconds(), Burst: bucketToleranceShare * (total*w.Overage + w.Slack)}
}

// Margins of the expiry of a grant. The clock rates of two hosts differ by at most
// clockDriftPercent; expiryMargin covers the granularity of timers.
const (
	clockDriftPercent = 2
	expiryMargin      = 5 * time.Millisecond
)

// GrantID identifies a grant of one Minter.
type GrantID uint64

// grantReserve is the capacity that is reserved for a grant.
type grantReserve struct {
	amount    float64 // tokens
	expiresAt time.Duration
}

// Minter is the token bucket that holds one zone's share of one customer's tokens.
type Minter struct {
	limit       Limit
	level       float64 // tokens
	reserved    float64 // tokens
	mintedUntil time.Duration
	grants      map[GrantID]grantReserve
	nextGrant   GrantID
}

// NewMinter returns an empty bucket. A new holder of the minter role starts with
// no tokens, because its predecessor may just have granted all of them. The
// predecessor's grants can still be spent, so the whole burst is reserved as
// grant firstGrant until they have expired.
func NewMinter(limit Limit, now time.Duration, firstGrant GrantID) *Minter {
	m := &Minter{limit: limit, mintedUntil: now, grants: map[GrantID]grantReserve{}, nextGrant: firstGrant + 1}
	m.reserve(firstGrant, limit.Burst, now+grantLifetime(GrantValidity))
	return m
}

// grantLifetime returns the time after granting, on the clock of the minter, for
// which a grant can still be spent. The receiver honours the grant for the time
// validity on its own clock.
func grantLifetime(validity time.Duration) time.Duration {
	return validity + validity*clockDriftPercent/100 + expiryMargin
}

func (m *Minter) reserve(id GrantID, amount float64, expires time.Duration) {
	m.reserved += amount
	m.grants[id] = grantReserve{amount: amount, expiresAt: expires}
}

// SetLimit changes the limit. Tokens above the new burst are dropped.
func (m *Minter) SetLimit(now time.Duration, limit Limit) {
	m.refill(now)
	m.limit = limit
	m.level = max(0, min(m.level, m.unreservedCapacity()))
}

// Grant deducts up to want tokens and reserves them until the grant is settled or
// has expired. The receiver honours the grant for the time validity after it has
// sent its request. If no tokens are available, the id and the amount are 0.
func (m *Minter) Grant(now time.Duration, want Amount, validity time.Duration) (GrantID, Amount) {
	m.refill(now)
	granted := min(tokens(want), m.level)
	amount := amountOf(granted)
	if amount == 0 {
		return 0, 0
	}
	granted = tokens(amount)
	m.level -= granted
	id := m.nextGrant
	m.nextGrant++
	m.reserve(id, granted, now+grantLifetime(validity))
	return id, amount
}

// Settle ends a grant and puts the returned amount back into the bucket. It ignores
// a grant that has expired or is unknown.
func (m *Minter) Settle(now time.Duration, id GrantID, returned Amount) {
	m.refill(now)
	g, ok := m.grants[id]
	if !ok {
		return
	}
	delete(m.grants, id)
	m.reserved -= g.amount
	m.level = min(m.level+min(tokens(returned), g.amount), m.unreservedCapacity())
}

// Available returns the amount of tokens in the bucket.
func (m *Minter) Available(now time.Duration) Amount {
	m.refill(now)
	return amountOf(m.level)
}

// Idle reports whether the bucket is full and no grant is open. The only reason to
// keep an idle Minter is that a new one would start empty.
func (m *Minter) Idle(now time.Duration) bool {
	m.refill(now)
	return len(m.grants) == 0 && m.level >= m.limit.Burst
}

// unreservedCapacity returns the capacity, in tokens, that is not reserved for
// grants.
func (m *Minter) unreservedCapacity() float64 { return max(0, m.limit.Burst-m.reserved) }

// refill adds the tokens that have accrued until now. It releases the reserves of
// expired grants in the order of their expiry, and refills up to each expiry
// first: tokens that did not fit because of a reserve are not added later.
func (m *Minter) refill(now time.Duration) {
	for {
		id, ok := m.firstExpired(now)
		if !ok {
			break
		}
		m.refillUntil(m.grants[id].expiresAt)
		m.reserved -= m.grants[id].amount
		delete(m.grants, id)
	}
	if len(m.grants) == 0 {
		m.reserved = 0 // removes the rounding error of earlier sums
	}
	m.refillUntil(now)
}

func (m *Minter) refillUntil(t time.Duration) {
	if t <= m.mintedUntil {
		return
	}
	added := m.limit.Rate * (t - m.mintedUntil).Seconds()
	m.mintedUntil = t
	m.level = min(m.level+added, max(m.unreservedCapacity(), m.level))
}

// firstExpired returns the grant that expired first, if any has expired. Its
// tokens are lost.
func (m *Minter) firstExpired(now time.Duration) (GrantID, bool) {
	var first GrantID
	found := false
	for id, g := range m.grants {
		if now >= g.expiresAt && (!found || g.expiresAt < m.grants[first].expiresAt) {
			first, found = id, true
		}
	}
	return first, found
}

func tokens(a Amount) float64 { return float64(a) / float64(OneRequest) }

// amountOf converts tokens to an Amount. It rounds down, so that conversions never
// create tokens, except that a value within the rounding error below a whole
// amount counts as that amount.
func amountOf(t float64) Amount {
	const roundingError = 1e-9
	if t <= 0 {
		return 0
	}
	return Amount((t + roundingError) * float64(OneRequest))
}
