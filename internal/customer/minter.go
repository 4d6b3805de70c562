package customer

import (
	"time"
)

// Amount counts tokens in millionths of a request.
type Amount uint64

// OneRequest is the amount that one request costs.
const OneRequest Amount = 1_000_000

// Limit is a customer's limit over the whole fleet, or one zone's share of it.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// Share returns one zone's part of the limit.
func (l Limit) Share(zones int) Limit {
	n := float64(max(zones, 1))
	return Limit{Rate: l.Rate / n, Burst: l.Burst / n}
}

// Clock rates of two hosts differ by at most clockSkewPercent. expiryMargin
// covers the granularity of timers.
const (
	clockSkewPercent = 2
	expiryMargin     = 5 * time.Millisecond
)

// GrantID names a grant of one Minter.
type GrantID uint64

type grant struct {
	amount  float64
	expires time.Duration
}

// Minter mints one zone's share of one customer's tokens.
type Minter struct {
	limit    Limit
	level    float64 // tokens
	reserved float64 // tokens
	minted   time.Duration
	grants   map[GrantID]grant
	next     GrantID
}

// NewMinter returns an empty bucket. A new holder of the role starts empty,
// because its predecessor may just have granted everything.
func NewMinter(limit Limit, now time.Duration, firstGrant GrantID) *Minter {
	return &Minter{limit: limit, minted: now, grants: map[GrantID]grant{}, next: firstGrant}
}

// SetLimit changes the limit. Tokens above the new burst are dropped.
func (m *Minter) SetLimit(now time.Duration, limit Limit) {
	m.mint(now)
	m.limit = limit
	m.level = max(0, min(m.level, m.room()))
}

// Grant deducts up to want tokens and reserves them until they are settled or
// have expired. valid is how long after sending its request the receiver
// honours the grant.
func (m *Minter) Grant(now time.Duration, want Amount, valid time.Duration) (GrantID, Amount) {
	m.mint(now)
	give := min(tokens(want), m.level)
	amount := amountOf(give)
	if amount == 0 {
		return 0, 0
	}
	give = tokens(amount)
	m.level -= give
	m.reserved += give
	id := m.next
	m.next++
	lifetime := valid + valid*clockSkewPercent/100 + expiryMargin
	m.grants[id] = grant{amount: give, expires: now + lifetime}
	return id, amount
}

// Settle ends a grant. The returned amount goes back into the bucket. A grant
// that has expired or is unknown is ignored.
func (m *Minter) Settle(now time.Duration, id GrantID, returned Amount) {
	m.mint(now)
	g, ok := m.grants[id]
	if !ok {
		return
	}
	delete(m.grants, id)
	m.reserved -= g.amount
	m.level = min(m.level+min(tokens(returned), g.amount), m.room())
}

// Left returns the tokens in the bucket.
func (m *Minter) Left(now time.Duration) Amount {
	m.mint(now)
	return amountOf(m.level)
}

// Idle reports whether the bucket is full and nothing is granted, so that the
// Minter only needs to be kept to avoid restarting empty.
func (m *Minter) Idle(now time.Duration) bool {
	m.mint(now)
	return len(m.grants) == 0 && m.level >= m.limit.Burst
}

// room is the capacity that is not promised to receivers of grants.
func (m *Minter) room() float64 { return max(0, m.limit.Burst-m.reserved) }

func (m *Minter) mint(now time.Duration) {
	m.expire(now)
	if now <= m.minted {
		return
	}
	fresh := m.limit.Rate * (now - m.minted).Seconds()
	m.minted = now
	m.level = min(m.level+fresh, max(m.room(), m.level))
}

// expire releases the reserves of grants that no receiver honours any more.
// Their tokens are lost.
func (m *Minter) expire(now time.Duration) {
	for id, g := range m.grants {
		if now >= g.expires {
			m.reserved -= g.amount
			delete(m.grants, id)
		}
	}
	if len(m.grants) == 0 {
		m.reserved = 0 // removes the rounding error of earlier sums
	}
}

func tokens(a Amount) float64 { return float64(a) / float64(OneRequest) }

// amountOf rounds down, so that conversions never make tokens. Values within
// rounding error of a whole amount count as that amount.
func amountOf(t float64) Amount {
	const roundingError = 1e-9
	if t <= 0 {
		return 0
	}
	return Amount((t + roundingError) * float64(OneRequest))
}
