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

// Window describes limits that hold over every window of a length instead of
// for a token bucket.
type Window struct {
	Length time.Duration
	// Overage and Slack are the tolerance of the limit: a share of it, and a
	// number of requests.
	Overage, Slack float64
}

// jitterShare is the part of the tolerance that the bucket may hold. The rest is
// for requests that arrive later than others that were admitted after them.
const jitterShare = 0.5

// Bucket returns the bucket that admits rate x length + burst requests in a
// window and no more over a longer time. A bucket of the rate alone would turn
// away a steady load that is within the limit of every window.
func (w Window) Bucket(l Limit) Limit {
	if w.Length <= 0 {
		return l
	}
	total := l.Rate*w.Length.Seconds() + l.Burst
	return Limit{Rate: total / w.Length.Seconds(), Burst: jitterShare * (total*w.Overage + w.Slack)}
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
// because its predecessor may just have granted everything. Grants of the
// predecessor can still be spent, so that the whole burst stays reserved until
// they have expired.
func NewMinter(limit Limit, now time.Duration, firstGrant GrantID) *Minter {
	m := &Minter{limit: limit, minted: now, grants: map[GrantID]grant{}, next: firstGrant + 1}
	m.reserve(firstGrant, limit.Burst, now+lifetime(GrantValidity))
	return m
}

// lifetime is how long after granting a grant that is valid for the time at its
// receiver can still be spent.
func lifetime(valid time.Duration) time.Duration {
	return valid + valid*clockSkewPercent/100 + expiryMargin
}

func (m *Minter) reserve(id GrantID, amount float64, expires time.Duration) {
	m.reserved += amount
	m.grants[id] = grant{amount: amount, expires: expires}
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
	id := m.next
	m.next++
	m.reserve(id, give, now+lifetime(valid))
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

// mint brings the bucket up to now. Reserves end in the order of their expiry:
// what a reserve kept from being minted before its end is not minted later.
func (m *Minter) mint(now time.Duration) {
	for {
		id, ok := m.firstExpired(now)
		if !ok {
			break
		}
		m.mintUntil(m.grants[id].expires)
		m.reserved -= m.grants[id].amount
		delete(m.grants, id)
	}
	if len(m.grants) == 0 {
		m.reserved = 0 // removes the rounding error of earlier sums
	}
	m.mintUntil(now)
}

func (m *Minter) mintUntil(t time.Duration) {
	if t <= m.minted {
		return
	}
	fresh := m.limit.Rate * (t - m.minted).Seconds()
	m.minted = t
	m.level = min(m.level+fresh, max(m.room(), m.level))
}

// firstExpired returns the grant that expired first. Its tokens are lost.
func (m *Minter) firstExpired(now time.Duration) (GrantID, bool) {
	var first GrantID
	found := false
	for id, g := range m.grants {
		if now >= g.expires && (!found || g.expires < m.grants[first].expires) {
			first, found = id, true
		}
	}
	return first, found
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
