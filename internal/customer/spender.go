package customer

import (
	"slices"
	"time"
)

// RequestID names a waiting request at one entry host.
type RequestID uint64

// Timing of the spender.
const (
	// GrantValidity is how long after sending the ask a grant may be spent. It
	// is above the round trip between regions and bounds the loss of tokens
	// when a settlement gets lost.
	GrantValidity = 250 * time.Millisecond
	// MaxWait is how long a request may wait for tokens. It absorbs the time
	// that tokens need between zones; above it the customer is over its rate.
	MaxWait = 250 * time.Millisecond
	// askTimeout gives up on a zone that does not answer.
	askTimeout = 100 * time.Millisecond
	// silentRetryDelay keeps requests from waiting on a silent zone again at once.
	silentRetryDelay = time.Second
	// movedRetryDelay is the pause after an answer that the role has moved. The
	// new holder is known within a heartbeat or two.
	movedRetryDelay = 50 * time.Millisecond
	// minPause bounds the number of asks of an empty fleet.
	minPause = 5 * time.Millisecond
)

// Action is something that the shell does for a Spender.
type Action interface{ isAction() }

// Ask asks the minter of a zone for tokens.
type Ask struct {
	Zone   string
	Amount Amount
	Ticket uint64
}

// Admit lets a request run.
type Admit struct{ ID RequestID }

// Refuse refuses a request: it did not run. Silent is the number of zones that did
// not answer when last asked; with it the customer may be within its rate.
type Refuse struct {
	ID     RequestID
	Silent int
}

// Settle tells a minter that a grant was spent but for the returned amount.
type Settle struct {
	Zone     string
	Grant    GrantID
	Returned Amount
}

func (Ask) isAction()    {}
func (Admit) isAction()  {}
func (Refuse) isAction() {}
func (Settle) isAction() {}

type waiting struct {
	id       RequestID
	deadline time.Duration
}

type held struct {
	zone    string
	grant   GrantID
	amount  Amount // as granted
	left    Amount
	expires time.Duration
}

type openAsk struct {
	zone   string
	ticket uint64
	amount Amount
	sent   time.Duration
}

type zoneState struct {
	left   Amount
	silent time.Duration // do not ask before
}

// Spender admits one customer's requests at one entry host. It asks one zone
// at a time, the own zone first and then the zone that last reported the most
// tokens, for as much as the waiting requests need.
type Spender struct {
	own     string
	rate    float64
	zones   map[string]*zoneState
	order   []string
	queue   []waiting
	held    []held
	open    *openAsk
	ticket  uint64
	round   []string      // zones still to ask in this round
	resume  time.Duration // next round starts then
	maxWait time.Duration
	// askTimeout gives up on a zone that does not answer.
	askTimeout time.Duration
	// validity is how long this host honours a grant after its ask.
	validity time.Duration
}

// NewSpender returns a Spender of an entry host in the zone own.
func NewSpender(own string, zones []string, limit Limit) *Spender {
	s := &Spender{own: own, maxWait: MaxWait, askTimeout: askTimeout, validity: GrantValidity}
	s.SetZones(zones, limit)
	return s
}

// SetPatience changes how long a request may wait for tokens and how long a zone
// may take to answer.
func (s *Spender) SetPatience(maxWait, askTimeout time.Duration) {
	s.maxWait, s.askTimeout = maxWait, askTimeout
}

// SetZones changes the zones that mint and the customer's limit.
func (s *Spender) SetZones(zones []string, limit Limit) {
	s.rate = limit.Rate
	next := make(map[string]*zoneState, len(zones))
	for _, z := range zones {
		if old, ok := s.zones[z]; ok {
			next[z] = old
		} else {
			next[z] = &zoneState{left: OneRequest}
		}
	}
	s.zones = next
	s.order = slices.Clone(zones)
	slices.Sort(s.order)
}

// Waiting returns the number of requests that wait for tokens.
func (s *Spender) Waiting() int { return len(s.queue) }

// Arrive adds a request. A request that cannot get tokens within MaxWait, given
// those before it, is refused at once.
func (s *Spender) Arrive(now time.Duration, id RequestID) []Action {
	if s.hopeless() {
		return append(s.advance(now), Refuse{ID: id, Silent: s.silentZones(now)})
	}
	s.queue = append(s.queue, waiting{id: id, deadline: now + s.maxWait})
	return s.advance(now)
}

// hopeless reports whether the queue already needs more than the fleet mints
// in MaxWait. The bound leaves room for a burst that is still in the buckets.
func (s *Spender) hopeless() bool {
	if s.resume == 0 {
		return false
	}
	const slack = 4
	return float64(len(s.queue)) >= s.rate*s.maxWait.Seconds()+slack
}

// Abandon removes a request whose caller has gone.
func (s *Spender) Abandon(now time.Duration, id RequestID) []Action {
	s.queue = slices.DeleteFunc(s.queue, func(w waiting) bool { return w.id == id })
	return s.advance(now)
}

// Granted handles the answer to an Ask. Answers to asks that were given up are
// ignored: their tokens expire.
func (s *Spender) Granted(now time.Duration, ticket uint64, grant GrantID, amount, left Amount) []Action {
	if s.open == nil || s.open.ticket != ticket {
		return nil
	}
	ask := *s.open
	s.open = nil
	if z, ok := s.zones[ask.zone]; ok {
		z.left = left
	}
	if amount >= ask.amount {
		// The zone gave all that was asked for. Requests that arrived meanwhile
		// start a new round; the pause is for a fleet without tokens.
		s.round = nil
	}
	if amount > 0 && now < ask.sent+s.validity {
		s.held = append(s.held, held{zone: ask.zone, grant: grant, amount: amount, left: amount, expires: ask.sent + s.validity})
	}
	return s.advance(now)
}

// Failed handles an Ask that a zone cannot answer. moved says that the zone
// answered, but its role is elsewhere.
func (s *Spender) Failed(now time.Duration, ticket uint64, moved bool) []Action {
	if s.open == nil || s.open.ticket != ticket {
		return nil
	}
	if moved {
		s.giveUp(now + movedRetryDelay)
	} else {
		s.giveUp(now + silentRetryDelay)
	}
	return s.advance(now)
}

// Tick moves time forward.
func (s *Spender) Tick(now time.Duration) []Action { return s.advance(now) }

// Next returns when Tick must be called at the latest, and false when nothing
// is pending.
func (s *Spender) Next() (time.Duration, bool) {
	var at time.Duration
	found := false
	earliest := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	if s.open != nil {
		earliest(s.open.sent + s.askTimeout)
	}
	if len(s.queue) > 0 {
		earliest(s.queue[0].deadline)
		if s.open == nil {
			earliest(s.resume)
		}
	}
	return at, found
}

// giveUp ends the open ask and leaves its zone out until the time.
func (s *Spender) giveUp(until time.Duration) {
	if z, ok := s.zones[s.open.zone]; ok {
		z.silent = until
	}
	s.open = nil
}

func (s *Spender) advance(now time.Duration) []Action {
	var actions []Action
	s.dropExpired(now)
	if s.open != nil && now >= s.open.sent+s.askTimeout {
		s.giveUp(now + silentRetryDelay)
	}
	actions = s.admit(actions)
	actions = s.refuseOverdue(now, actions)
	actions = s.ask(now, actions)
	if len(s.queue) == 0 && s.open == nil {
		actions = s.returnHeld(actions)
		s.resume, s.round = 0, nil
	}
	return actions
}

// dropExpired forgets grants whose reserve the minter is about to release.
func (s *Spender) dropExpired(now time.Duration) {
	s.held = slices.DeleteFunc(s.held, func(h held) bool { return now >= h.expires })
}

func (s *Spender) total() Amount {
	var sum Amount
	for _, h := range s.held {
		sum += h.left
	}
	return sum
}

func (s *Spender) admit(actions []Action) []Action {
	for len(s.queue) > 0 && s.total() >= OneRequest {
		actions = append(actions, Admit{ID: s.queue[0].id})
		s.queue = s.queue[1:]
		actions = s.spend(OneRequest, actions)
	}
	return actions
}

func (s *Spender) spend(need Amount, actions []Action) []Action {
	for i := range s.held {
		take := min(need, s.held[i].left)
		s.held[i].left -= take
		need -= take
	}
	s.held = slices.DeleteFunc(s.held, func(h held) bool {
		if h.left == 0 {
			actions = append(actions, Settle{Zone: h.zone, Grant: h.grant})
		}
		return h.left == 0
	})
	return actions
}

func (s *Spender) returnHeld(actions []Action) []Action {
	for _, h := range s.held {
		actions = append(actions, Settle{Zone: h.zone, Grant: h.grant, Returned: h.left})
	}
	s.held = nil
	return actions
}

func (s *Spender) refuseOverdue(now time.Duration, actions []Action) []Action {
	for len(s.queue) > 0 && now >= s.queue[0].deadline {
		actions = append(actions, Refuse{ID: s.queue[0].id, Silent: s.silentZones(now)})
		s.queue = s.queue[1:]
	}
	return actions
}

// silentZones counts the zones that are left out because they did not answer.
func (s *Spender) silentZones(now time.Duration) int {
	n := 0
	for _, z := range s.zones {
		if z.silent > now {
			n++
		}
	}
	return n
}

// ask sends the next ask of the round, or ends the round.
func (s *Spender) ask(now time.Duration, actions []Action) []Action {
	if len(s.queue) == 0 || s.open != nil || now < s.resume {
		return actions
	}
	if s.round == nil {
		s.round = s.plan(now)
	}
	need := Amount(len(s.queue))*OneRequest - s.total()
	if len(s.round) > 0 {
		zone := s.round[0]
		s.round = s.round[1:]
		s.ticket++
		s.open = &openAsk{zone: zone, ticket: s.ticket, amount: need, sent: now}
		return append(actions, Ask{Zone: zone, Amount: need, Ticket: s.ticket})
	}
	s.round = nil
	s.resume = now + s.pause()
	return s.returnHeld(actions)
}

// pause is the time in which the fleet mints what the first request lacks.
func (s *Spender) pause() time.Duration {
	missing := tokens(OneRequest) - min(1, tokens(s.total()))
	if s.rate <= 0 {
		return s.maxWait
	}
	return max(minPause, min(s.maxWait, time.Duration(missing/s.rate*float64(time.Second))))
}

// plan orders the zones of a round: the own zone, then by the tokens they last
// reported.
func (s *Spender) plan(now time.Duration) []string {
	round := make([]string, 0, len(s.order))
	for _, z := range s.order {
		if z != s.own && s.zones[z].silent <= now {
			round = append(round, z)
		}
	}
	slices.SortStableFunc(round, func(a, b string) int {
		return int(int64(s.zones[b].left) - int64(s.zones[a].left))
	})
	if own, ok := s.zones[s.own]; ok && own.silent <= now {
		round = append([]string{s.own}, round...)
	}
	return round
}
