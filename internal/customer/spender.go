package customer

import (
	"slices"
	"time"
)

// RequestID identifies a queued request on one entry host.
type RequestID uint64

// Timing of the spender.
const (
	// GrantValidity is the time after sending the grant request for which its grant
	// may be spent. It is longer than the round trip between regions and bounds the
	// loss of tokens when a settlement is lost.
	GrantValidity = 250 * time.Millisecond
	// MaxWait is the time for which a request may wait for tokens. It covers the
	// time in which tokens can be fetched from other zones; a request that waits
	// longer exceeds the customer's rate.
	MaxWait = 250 * time.Millisecond
	// defaultZoneTimeout is the time after which an unanswered grant request counts
	// as failed.
	defaultZoneTimeout = 100 * time.Millisecond
	// unresponsiveRetryDelay is the time for which a zone that did not answer is
	// skipped, so that the next requests do not wait for it too.
	unresponsiveRetryDelay = time.Second
	// movedRetryDelay is the time for which a zone is skipped after its host has
	// responded that it no longer holds the minter role. The new holder is known
	// within one or two heartbeats.
	movedRetryDelay = 50 * time.Millisecond
	// maxEmptyPauses limits the time for which a zone without tokens is not asked, as a
	// multiple of the maximum wait of a request.
	maxEmptyPauses = 4
	// minRoundPause bounds the rate of grant requests while no zone has tokens.
	minRoundPause = 5 * time.Millisecond
)

// Action is an action that the caller performs for a Spender.
type Action interface{ isAction() }

// RequestGrant requests tokens from the minter of a zone, which may be spent for the time
// Validity after the request is sent. Ticket identifies the grant request and is passed to
// HandleGrant or HandleFailure.
type RequestGrant struct {
	Zone     string
	Amount   Amount
	Ticket   uint64
	Validity time.Duration
}

// Admit admits a request.
type Admit struct{ ID RequestID }

// Refuse refuses a request, which did not run. SkippedZones is the number of zones
// whose last grant request has failed; if it is not 0, the customer may be within
// its rate.
type Refuse struct {
	ID           RequestID
	SkippedZones int
}

// Settle reports to a minter that a grant was spent except for the returned amount.
type Settle struct {
	Zone     string
	Grant    GrantID
	Returned Amount
}

func (RequestGrant) isAction() {}
func (Admit) isAction()        {}
func (Refuse) isAction()       {}
func (Settle) isAction()       {}

type queuedRequest struct {
	id       RequestID
	deadline time.Duration
}

type heldGrant struct {
	zone      string
	id        GrantID
	amount    Amount // as granted
	remaining Amount
	expiresAt time.Duration
}

type grantRequest struct {
	zone   string
	ticket uint64
	amount Amount
	sent   time.Duration
}

type zoneState struct {
	reportedTokens Amount
	skipUntil      time.Duration // no grant request is sent before
	// emptyUntil is the time before which the zone is expected to have no tokens,
	// emptyPause the time for which that was assumed after the last grant request.
	emptyUntil, emptyPause time.Duration
}

// recordAnswer records whether the zone granted the full amount. A zone that did not is
// not asked again for a pause, which doubles each time: many hosts ask for the tokens of a
// customer that exceeds its rate.
func (z *zoneState) recordAnswer(now time.Duration, full bool, maxPause time.Duration) {
	if full {
		z.emptyUntil, z.emptyPause = 0, 0
		return
	}
	z.emptyPause = min(max(2*z.emptyPause, minRoundPause), maxPause)
	z.emptyUntil = now + z.emptyPause
}

// Spender admits one customer's requests on one entry host. It requests as many
// tokens as the queued requests need, from one zone at a time. In each round the
// zone of the host comes first, followed by the other zones in descending order
// of the tokens that they last reported.
type Spender struct {
	ownZone     string
	rate        float64
	zones       map[string]*zoneState
	sortedZones []string
	queue       []queuedRequest
	grants      []heldGrant
	outstanding *grantRequest
	lastTicket  uint64
	roundZones  []string      // zones still to be tried in this round; nil between rounds
	nextRoundAt time.Duration // start of the next round
	maxWait     time.Duration
	// zoneTimeout is the time after which an unanswered grant request counts as
	// failed.
	zoneTimeout time.Duration
	// validity is the time after sending a grant request for which this host
	// honours the grant.
	validity time.Duration
	// expireSpent is set if spent grants are not settled, because they expire soon.
	expireSpent bool
}

// NewSpender returns a Spender for an entry host in the zone ownZone.
func NewSpender(ownZone string, zones []string, limit Limit) *Spender {
	s := &Spender{ownZone: ownZone, maxWait: MaxWait, zoneTimeout: defaultZoneTimeout, validity: GrantValidity}
	s.SetZones(zones, limit)
	return s
}

// SetTimeouts changes the time for which a request may wait for tokens and the time
// that a zone has to answer a grant request. Grants are then valid no longer than both
// together, and a grant that was spent in full is not settled: it expires about as soon,
// and a settlement costs as much as a grant request.
func (s *Spender) SetTimeouts(maxWait, zoneTimeout time.Duration) {
	s.maxWait, s.zoneTimeout = maxWait, zoneTimeout
	s.validity, s.expireSpent = min(maxWait+zoneTimeout, GrantValidity), true
}

// SetZones changes the zones that have minters and the customer's limit.
func (s *Spender) SetZones(zones []string, limit Limit) {
	s.rate = limit.Rate
	next := make(map[string]*zoneState, len(zones))
	for _, z := range zones {
		if old, ok := s.zones[z]; ok {
			next[z] = old
		} else {
			next[z] = &zoneState{reportedTokens: OneRequest}
		}
	}
	s.zones = next
	s.sortedZones = slices.Clone(zones)
	slices.Sort(s.sortedZones)
}

// QueueLength returns the number of requests that wait for tokens.
func (s *Spender) QueueLength() int { return len(s.queue) }

// AddRequest adds a request. It refuses the request at once if the queue is too long
// for the request to get a token within its maximum wait.
func (s *Spender) AddRequest(now time.Duration, id RequestID) []Action {
	if s.queueFull() {
		return append(s.advance(now), Refuse{ID: id, SkippedZones: s.skippedZones(now)})
	}
	s.queue = append(s.queue, queuedRequest{id: id, deadline: now + s.maxWait})
	return s.advance(now)
}

// queueFull reports whether the queued requests already need more tokens than the
// fleet mints within the maximum wait. The slack allows for tokens that are still
// in the buckets. The queue is never full before a round has ended without enough
// tokens.
func (s *Spender) queueFull() bool {
	if s.nextRoundAt == 0 {
		return false
	}
	const slack = 4
	return float64(len(s.queue)) >= s.rate*s.maxWait.Seconds()+slack
}

// CancelRequest removes a request whose caller no longer waits.
func (s *Spender) CancelRequest(now time.Duration, id RequestID) []Action {
	s.queue = slices.DeleteFunc(s.queue, func(w queuedRequest) bool { return w.id == id })
	return s.advance(now)
}

// HandleGrant handles the answer to a grant request: the grant and the amount of
// tokens left in the zone. It ignores an answer to a grant request that has timed
// out; its tokens expire.
func (s *Spender) HandleGrant(now time.Duration, ticket uint64, grant GrantID, amount, available Amount) []Action {
	if s.outstanding == nil || s.outstanding.ticket != ticket {
		return nil
	}
	request := *s.outstanding
	s.outstanding = nil
	if z, ok := s.zones[request.zone]; ok {
		z.reportedTokens = available
		z.recordAnswer(now, amount >= request.amount, maxEmptyPauses*s.maxWait)
	}
	if amount >= request.amount {
		// The zone granted the full amount. Requests that arrived in the meantime
		// start a new round at once. A pause is needed only when no zone has tokens.
		s.roundZones = nil
	}
	if amount > 0 && now < request.sent+s.validity {
		s.grants = append(s.grants, heldGrant{zone: request.zone, id: grant, amount: amount, remaining: amount, expiresAt: request.sent + s.validity})
	}
	return s.advance(now)
}

// HandleFailure handles a grant request that got no answer from the zone's minter. If
// moved is set, the called host does not hold the minter role, or no holder of the
// role is known.
func (s *Spender) HandleFailure(now time.Duration, ticket uint64, moved bool) []Action {
	if s.outstanding == nil || s.outstanding.ticket != ticket {
		return nil
	}
	if moved {
		s.cancelOutstanding(now + movedRetryDelay)
	} else {
		s.cancelOutstanding(now + unresponsiveRetryDelay)
	}
	return s.advance(now)
}

// Tick advances the time.
func (s *Spender) Tick(now time.Duration) []Action { return s.advance(now) }

// NextTick returns the time at which Tick must be called at the latest, and false if
// nothing is pending.
func (s *Spender) NextTick() (time.Duration, bool) {
	var next time.Duration
	found := false
	earliest := func(t time.Duration) {
		if !found || t < next {
			next, found = t, true
		}
	}
	if s.outstanding != nil {
		earliest(s.outstanding.sent + s.zoneTimeout)
	}
	if len(s.queue) > 0 {
		earliest(s.queue[0].deadline)
		if s.outstanding == nil {
			earliest(s.nextRoundAt)
		}
	}
	return next, found
}

// cancelOutstanding ends the outstanding grant request and skips its zone until
// the time.
func (s *Spender) cancelOutstanding(until time.Duration) {
	if z, ok := s.zones[s.outstanding.zone]; ok {
		z.skipUntil = until
	}
	s.outstanding = nil
}

// advance admits and refuses queued requests and requests tokens, as far as possible
// at the time now. Once no request and no grant request is pending, it returns all
// unspent tokens.
func (s *Spender) advance(now time.Duration) []Action {
	var actions []Action
	s.dropExpiredGrants(now)
	if s.outstanding != nil && now >= s.outstanding.sent+s.zoneTimeout {
		s.cancelOutstanding(now + unresponsiveRetryDelay)
	}
	actions = s.admitQueued(actions)
	actions = s.refuseOverdue(now, actions)
	actions = s.requestTokens(now, actions)
	if len(s.queue) == 0 && s.outstanding == nil {
		actions = s.returnGrants(actions)
		s.nextRoundAt, s.roundZones = 0, nil
	}
	return actions
}

// dropExpiredGrants discards grants that have expired, because the minter is about
// to release their reserve.
func (s *Spender) dropExpiredGrants(now time.Duration) {
	s.grants = slices.DeleteFunc(s.grants, func(h heldGrant) bool { return now >= h.expiresAt })
}

func (s *Spender) heldTokens() Amount {
	var sum Amount
	for _, h := range s.grants {
		sum += h.remaining
	}
	return sum
}

func (s *Spender) admitQueued(actions []Action) []Action {
	for len(s.queue) > 0 && s.heldTokens() >= OneRequest {
		actions = append(actions, Admit{ID: s.queue[0].id})
		s.queue = s.queue[1:]
		actions = s.spend(OneRequest, actions)
	}
	return actions
}

// spend takes the needed amount from the held grants and settles the grants that are
// used up.
func (s *Spender) spend(need Amount, actions []Action) []Action {
	for i := range s.grants {
		take := min(need, s.grants[i].remaining)
		s.grants[i].remaining -= take
		need -= take
	}
	s.grants = slices.DeleteFunc(s.grants, func(h heldGrant) bool {
		if h.remaining == 0 && !s.expireSpent {
			actions = append(actions, Settle{Zone: h.zone, Grant: h.id})
		}
		return h.remaining == 0
	})
	return actions
}

// returnGrants settles all held grants and returns their unspent tokens.
func (s *Spender) returnGrants(actions []Action) []Action {
	for _, h := range s.grants {
		actions = append(actions, Settle{Zone: h.zone, Grant: h.id, Returned: h.remaining})
	}
	s.grants = nil
	return actions
}

// refuseOverdue refuses the queued requests whose maximum wait has passed.
func (s *Spender) refuseOverdue(now time.Duration, actions []Action) []Action {
	for len(s.queue) > 0 && now >= s.queue[0].deadline {
		actions = append(actions, Refuse{ID: s.queue[0].id, SkippedZones: s.skippedZones(now)})
		s.queue = s.queue[1:]
	}
	return actions
}

// skippedZones returns the number of zones that are skipped because their last
// grant request has failed.
func (s *Spender) skippedZones(now time.Duration) int {
	n := 0
	for _, z := range s.zones {
		if z.skipUntil > now {
			n++
		}
	}
	return n
}

// requestTokens sends the next grant request of the round, or ends the round and
// returns the tokens that do not suffice for a request.
func (s *Spender) requestTokens(now time.Duration, actions []Action) []Action {
	if len(s.queue) == 0 || s.outstanding != nil || now < s.nextRoundAt {
		return actions
	}
	if s.roundZones == nil {
		s.roundZones = s.planRound(now)
	}
	need := Amount(len(s.queue))*OneRequest - s.heldTokens()
	if len(s.roundZones) > 0 {
		zone := s.roundZones[0]
		s.roundZones = s.roundZones[1:]
		s.lastTicket++
		s.outstanding = &grantRequest{zone: zone, ticket: s.lastTicket, amount: need, sent: now}
		return append(actions, RequestGrant{Zone: zone, Amount: need, Ticket: s.lastTicket, Validity: s.validity})
	}
	s.roundZones = nil
	s.nextRoundAt = max(now+s.roundPause(), s.firstRefill())
	return s.returnGrants(actions)
}

// roundPause returns the time in which the fleet mints the tokens that the first
// queued request lacks, but at least minRoundPause and at most the maximum wait.
func (s *Spender) roundPause() time.Duration {
	missing := tokens(OneRequest) - min(1, tokens(s.heldTokens()))
	if s.rate <= 0 {
		return s.maxWait
	}
	return max(minRoundPause, min(s.maxWait, time.Duration(missing/s.rate*float64(time.Second))))
}

// firstRefill returns the first time at which a zone may have tokens again.
func (s *Spender) firstRefill() time.Duration {
	first := time.Duration(0)
	for _, z := range s.zones {
		if at := max(z.emptyUntil, z.skipUntil); first == 0 || at < first {
			first = at
		}
	}
	return first
}

// canAsk reports whether a grant request to the zone may be answered with tokens.
func (z *zoneState) canAsk(now time.Duration) bool { return z.skipUntil <= now && z.emptyUntil <= now }

// planRound returns the zones of a round in order: the zone of this host first,
// then the others in descending order of the tokens that they last reported.
// Zones that are to be skipped are left out.
func (s *Spender) planRound(now time.Duration) []string {
	order := make([]string, 0, len(s.sortedZones))
	for _, z := range s.sortedZones {
		if z != s.ownZone && s.zones[z].canAsk(now) {
			order = append(order, z)
		}
	}
	slices.SortStableFunc(order, func(a, b string) int {
		return int(int64(s.zones[b].reportedTokens) - int64(s.zones[a].reportedTokens))
	})
	if ownState, ok := s.zones[s.ownZone]; ok && ownState.canAsk(now) {
		order = append([]string{s.ownZone}, order...)
	}
	return order
}
