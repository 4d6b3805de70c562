package limit

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Bounds of the calls to minters.
const (
	grantWorkers   = 64
	grantQueueSize = 1024
	// grantCallTimeout is slightly longer than the time after which a
	// customer.Spender treats a grant request as failed, so that a call whose result
	// is no longer used does not occupy a worker for long.
	grantCallTimeout = 150 * time.Millisecond
)

// Granter calls Grant on the host at an address.
type Granter interface {
	Grant(ctx context.Context, address string, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error)
}

// Options configure a Limiter.
type Options struct {
	Fleet    Fleet
	Peers    Granter
	Minters  *Minters
	Clock    func() time.Duration
	Counters *telemetry.Counters
	// MaxWait is the time for which a request may wait for tokens, GrantTimeout the
	// time that a zone has to answer a grant request. If one of them is 0, the
	// defaults of package customer apply to both.
	MaxWait, GrantTimeout time.Duration
	// OnAdmit, if set, is called when a request is admitted. It must not block.
	OnAdmit func(customer string)
}

// Limiter admits requests on an entry host. It is safe for concurrent use.
type Limiter struct {
	opts Options
	pool pond.Pool

	mu        sync.Mutex
	customers map[string]*admission
}

// New returns a Limiter. Close stops its workers.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:      opts,
		pool:      pond.NewPool(grantWorkers, pond.WithQueueSize(grantQueueSize), pond.WithNonBlocking(true)),
		customers: map[string]*admission{},
	}
}

// Close stops the workers after all submitted calls have ended.
func (l *Limiter) Close() { l.pool.StopAndWait() }

// Admit waits until the customer may run one more request and returns nil, or
// returns a NotRun error if the customer exceeds its rate or has no limit, no token
// could be obtained in time, ctx ends, or no configuration has been read.
func (l *Limiter) Admit(ctx context.Context, name string) error {
	doc := l.opts.Fleet.Document()
	if doc == nil {
		return verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the host has no configuration yet")
	}
	rule, ok := doc.Limit(name)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.RateLimited, "customer %s has no rate limit in the configuration", name)
	}
	return l.admissionOf(name).admit(ctx, doc, customer.Limit{Rate: rule.Rate, Burst: rule.Burst})
}

func (l *Limiter) admissionOf(name string) *admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.customers[name]
	if !ok {
		a = &admission{limiter: l, name: name, waiters: map[customer.RequestID]chan error{}}
		l.customers[name] = a
	}
	return a
}

// admission drives one customer's Spender.
type admission struct {
	limiter *Limiter
	name    string

	mu            sync.Mutex
	spender       *customer.Spender
	configVersion config.Version
	limit         customer.Limit
	nextID        customer.RequestID
	waiters       map[customer.RequestID]chan error
	// refundedAt holds the refund times of unused tokens, oldest first.
	refundedAt []time.Duration
	timer      *time.Timer
}

func (a *admission) admit(ctx context.Context, doc *config.Document, limit customer.Limit) error {
	done := make(chan error, 1)
	a.mu.Lock()
	a.configure(doc, limit)
	if a.takeRefund() {
		a.mu.Unlock()
		return nil
	}
	a.nextID++
	id := a.nextID
	a.waiters[id] = done
	a.perform(a.spender.AddRequest(a.limiter.opts.Clock(), id))
	a.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return a.cancelRequest(id, done)
	}
}

// Refund refunds the token of a request that was admitted and did not run. The next
// request may use the token within customer.GrantValidity, so that refunds cannot
// accumulate tokens. Refunds beyond maxRefunds are discarded.
func (l *Limiter) Refund(name string) {
	a := l.admissionOf(name)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.refundedAt) < maxRefunds {
		a.refundedAt = append(a.refundedAt, l.opts.Clock())
	}
	l.opts.Counters.Add("tokens_returned", 1)
}

// maxRefunds bounds the number of refunded tokens of a customer on one host.
const maxRefunds = 64

// takeRefund reports whether a refunded token is still valid, and uses it. The
// caller holds a.mu.
func (a *admission) takeRefund() bool {
	now := a.limiter.opts.Clock()
	for len(a.refundedAt) > 0 {
		at := a.refundedAt[0]
		a.refundedAt = a.refundedAt[1:]
		if now-at < customer.GrantValidity {
			return true
		}
	}
	return false
}

// cancelRequest removes a request whose context has ended, and returns an error. If
// the request was decided in the meantime, it returns that decision: an admitted
// request has spent its token.
func (a *admission) cancelRequest(id customer.RequestID, done chan error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-done:
		return err
	default:
	}
	delete(a.waiters, id)
	a.perform(a.spender.CancelRequest(a.limiter.opts.Clock(), id))
	return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed while the request waited for a rate limit token")
}

// configure applies a new version of the configuration. The caller holds a.mu.
func (a *admission) configure(doc *config.Document, limit customer.Limit) {
	if a.spender != nil && a.configVersion == doc.Version {
		return
	}
	zones := make([]string, len(doc.Inventory.Zones))
	for i, z := range doc.Inventory.Zones {
		zones[i] = z.Name
	}
	if a.spender == nil {
		a.spender = customer.NewSpender(a.limiter.opts.Fleet.Zone(), zones, limit)
		if o := a.limiter.opts; o.MaxWait > 0 && o.GrantTimeout > 0 {
			a.spender.SetTimeouts(o.MaxWait, o.GrantTimeout)
		}
	} else {
		a.spender.SetZones(zones, limit)
	}
	a.configVersion, a.limit = doc.Version, limit
}

// perform performs the actions of the Spender and schedules its next tick. The
// caller holds a.mu.
func (a *admission) perform(actions []customer.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case customer.Admit:
			if f := a.limiter.opts.OnAdmit; f != nil {
				f(a.name)
			}
			a.finish(action.ID, nil)
		case customer.Refuse:
			a.finish(action.ID, a.refusalError(action))
		case customer.RequestGrant:
			a.requestTokens(action)
		case customer.Settle:
			a.settle(action)
		}
	}
	a.scheduleTick()
}

// refusalError returns the error of a refused request. Its text distinguishes a
// customer that exceeds its rate from tokens that could not be obtained.
func (a *admission) refusalError(r customer.Refuse) *verdict.Error {
	if r.SkippedZones == 0 {
		return verdict.New(verdict.NotRun, verdict.RateLimited, "customer %s is over its rate of %g/s with a burst of %g", a.name, a.limit.Rate, a.limit.Burst)
	}
	a.limiter.opts.Counters.Add("tokens_unavailable", 1)
	return verdict.New(verdict.NotRun, verdict.RateLimited, "no rate limit token available in time for customer %s, zones that do not answer: %d; its rate is %g/s with a burst of %g",
		a.name, r.SkippedZones, a.limit.Rate, a.limit.Burst)
}

func (a *admission) finish(id customer.RequestID, err error) {
	if done, ok := a.waiters[id]; ok {
		delete(a.waiters, id)
		done <- err
	}
}

// scheduleTick sets the timer to the time of the next tick. The caller holds a.mu.
func (a *admission) scheduleTick() {
	at, ok := a.spender.NextTick()
	if !ok {
		return
	}
	wait := max(0, at-a.limiter.opts.Clock())
	if a.timer == nil {
		a.timer = time.AfterFunc(wait, a.tick)
		return
	}
	a.timer.Reset(wait)
}

func (a *admission) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(a.spender.Tick(a.limiter.opts.Clock()))
}

func (a *admission) requestTokens(request customer.RequestGrant) {
	req := &peerpb.GrantRequest{
		Customer: a.name,
		Amount:   uint64(request.Amount),
		ValidUs:  request.Validity.Microseconds(),
		Role:     customer.MinterRole(request.Zone, a.name),
	}
	a.submit(func() {
		resp, err := a.limiter.callGrant(req)
		a.mu.Lock()
		defer a.mu.Unlock()
		now := a.limiter.opts.Clock()
		if err != nil || !resp.GetHolder() {
			a.limiter.opts.Counters.Add("grant_asks_failed", 1)
			a.perform(a.spender.HandleFailure(now, request.Ticket, err == nil))
			return
		}
		a.perform(a.spender.HandleGrant(now, request.Ticket, customer.GrantID(resp.GetGrant()), customer.Amount(resp.GetAmount()), customer.Amount(resp.GetLeft())))
	})
}

func (a *admission) settle(s customer.Settle) {
	req := &peerpb.GrantRequest{
		Customer:    a.name,
		Role:        customer.MinterRole(s.Zone, a.name),
		Settlements: []*peerpb.Settlement{{Grant: uint64(s.Grant), Returned: uint64(s.Returned)}},
	}
	a.submit(func() {
		if _, err := a.limiter.callGrant(req); err != nil {
			a.limiter.opts.Counters.Add("grant_settlements_lost", 1)
		}
	})
}

// submit runs a call on the worker pool. If the queue of the pool is full, the call
// is dropped: a grant request then times out, and a grant that is not settled
// expires.
func (a *admission) submit(call func()) {
	if _, ok := a.limiter.pool.TrySubmit(call); !ok {
		a.limiter.opts.Counters.Add("grant_queue_full", 1)
	}
}

// callGrant calls Grant on the holder of the role, without a network call if this
// host holds it. If no holder is known, Holder is false in the response.
func (l *Limiter) callGrant(req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), grantCallTimeout)
	defer cancel()
	address, self, ok := l.opts.Fleet.Holder(req.GetRole())
	switch {
	case !ok:
		return &peerpb.GrantResponse{}, nil
	case self:
		return l.opts.Minters.Grant(ctx, req)
	default:
		return l.opts.Peers.Grant(ctx, address, req)
	}
}
