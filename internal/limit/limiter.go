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

// Limits of the work that asking for tokens may take.
const (
	askWorkers = 64
	askQueue   = 1024
	// askTimeout is above customer's own time limit for an ask, so that an
	// abandoned call does not hold a worker for long.
	askTimeout = 150 * time.Millisecond
)

// Granter reaches the Grant call of the host at an address.
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
	// MaxWait and AskTimeout replace the times that a request waits for tokens and
	// that a zone may take to answer; 0 keeps the defaults.
	MaxWait, AskTimeout time.Duration
	// Admitted, when set, is called at the moment a request is admitted. It must not block.
	Admitted func(customer string)
}

// Limiter admits requests at an entry host.
type Limiter struct {
	opts Options
	pool pond.Pool

	mu        sync.Mutex
	customers map[string]*admission
}

// New returns a Limiter. Close releases its workers.
func New(opts Options) *Limiter {
	return &Limiter{
		opts:      opts,
		pool:      pond.NewPool(askWorkers, pond.WithQueueSize(askQueue), pond.WithNonBlocking(true)),
		customers: map[string]*admission{},
	}
}

// Close waits for the calls in flight.
func (l *Limiter) Close() { l.pool.StopAndWait() }

// Admit returns when the customer may run one more request, or a NotRun error.
func (l *Limiter) Admit(ctx context.Context, name string) error {
	doc := l.opts.Fleet.Document()
	if doc == nil {
		return verdict.New(verdict.NotRun, verdict.StaleConfiguration, "no configuration yet")
	}
	rule, ok := doc.Limit(name)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.RateLimited, "customer %s has no limit", name)
	}
	return l.customer(name).admit(ctx, doc, customer.Limit{Rate: rule.Rate, Burst: rule.Burst})
}

func (l *Limiter) customer(name string) *admission {
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

	mu      sync.Mutex
	spender *customer.Spender
	version config.Version
	limit   customer.Limit
	nextID  customer.RequestID
	waiters map[customer.RequestID]chan error
	// unused holds the times at which tokens were returned.
	unused []time.Duration
	timer  *time.Timer
}

func (a *admission) admit(ctx context.Context, doc *config.Document, limit customer.Limit) error {
	done := make(chan error, 1)
	a.mu.Lock()
	a.configure(doc, limit)
	if a.takeUnused() {
		a.mu.Unlock()
		return nil
	}
	a.nextID++
	id := a.nextID
	a.waiters[id] = done
	a.perform(a.spender.Arrive(a.limiter.opts.Clock(), id))
	a.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return a.abandon(id, done)
	}
}

// Return gives back the token of a request that was admitted and did not run. The
// next request may use it for as long as a grant is valid, so that the return
// cannot save tokens up.
func (l *Limiter) Return(name string) {
	a := l.customer(name)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.unused) < maxUnused {
		a.unused = append(a.unused, l.opts.Clock())
	}
	l.opts.Counters.Add("tokens_returned", 1)
}

// maxUnused bounds the returned tokens of a customer at one host.
const maxUnused = 64

// takeUnused uses a returned token. The caller holds the lock.
func (a *admission) takeUnused() bool {
	now := a.limiter.opts.Clock()
	for len(a.unused) > 0 {
		at := a.unused[0]
		a.unused = a.unused[1:]
		if now-at < customer.GrantValidity {
			return true
		}
	}
	return false
}

// abandon removes a request whose caller has gone. A request that was admitted
// in the meantime has spent its token.
func (a *admission) abandon(id customer.RequestID, done chan error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-done:
		return err
	default:
	}
	delete(a.waiters, id)
	a.perform(a.spender.Abandon(a.limiter.opts.Clock(), id))
	return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed while waiting for the rate")
}

func (a *admission) configure(doc *config.Document, limit customer.Limit) {
	if a.spender != nil && a.version == doc.Version {
		return
	}
	zones := make([]string, len(doc.Inventory.Zones))
	for i, z := range doc.Inventory.Zones {
		zones[i] = z.Name
	}
	if a.spender == nil {
		a.spender = customer.NewSpender(a.limiter.opts.Fleet.Zone(), zones, limit)
		if o := a.limiter.opts; o.MaxWait > 0 && o.AskTimeout > 0 {
			a.spender.SetPatience(o.MaxWait, o.AskTimeout)
		}
	} else {
		a.spender.SetZones(zones, limit)
	}
	a.version, a.limit = doc.Version, limit
}

// perform runs under the lock.
func (a *admission) perform(actions []customer.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case customer.Admit:
			if f := a.limiter.opts.Admitted; f != nil {
				f(a.name)
			}
			a.finish(action.ID, nil)
		case customer.Refuse:
			a.finish(action.ID, a.refusal(action))
		case customer.Ask:
			a.ask(action)
		case customer.Settle:
			a.settle(action)
		}
	}
	a.schedule()
}

// refusal says whether the customer is over its rate or tokens could not be had.
func (a *admission) refusal(r customer.Refuse) *verdict.Error {
	if r.Silent == 0 {
		return verdict.New(verdict.NotRun, verdict.RateLimited, "customer %s is over its rate of %g/s with a burst of %g", a.name, a.limit.Rate, a.limit.Burst)
	}
	a.limiter.opts.Counters.Add("tokens_unavailable", 1)
	return verdict.New(verdict.NotRun, verdict.RateLimited, "no token in time for customer %s, zones that do not answer: %d; its rate is %g/s with a burst of %g",
		a.name, r.Silent, a.limit.Rate, a.limit.Burst)
}

func (a *admission) finish(id customer.RequestID, err error) {
	if done, ok := a.waiters[id]; ok {
		delete(a.waiters, id)
		done <- err
	}
}

func (a *admission) schedule() {
	at, ok := a.spender.Next()
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

func (a *admission) ask(ask customer.Ask) {
	req := &peerpb.GrantRequest{
		Customer: a.name,
		Amount:   uint64(ask.Amount),
		ValidUs:  customer.GrantValidity.Microseconds(),
		Role:     customer.MinterRole(ask.Zone, a.name),
	}
	a.submit(func() {
		resp, err := a.limiter.call(req)
		a.mu.Lock()
		defer a.mu.Unlock()
		now := a.limiter.opts.Clock()
		if err != nil || !resp.GetHolder() {
			a.limiter.opts.Counters.Add("grant_asks_failed", 1)
			a.perform(a.spender.Failed(now, ask.Ticket, err == nil))
			return
		}
		a.perform(a.spender.Granted(now, ask.Ticket, customer.GrantID(resp.GetGrant()), customer.Amount(resp.GetAmount()), customer.Amount(resp.GetLeft())))
	})
}

func (a *admission) settle(s customer.Settle) {
	req := &peerpb.GrantRequest{
		Customer:    a.name,
		Role:        customer.MinterRole(s.Zone, a.name),
		Settlements: []*peerpb.Settlement{{Grant: uint64(s.Grant), Returned: uint64(s.Returned)}},
	}
	a.submit(func() {
		if _, err := a.limiter.call(req); err != nil {
			a.limiter.opts.Counters.Add("grant_settlements_lost", 1)
		}
	})
}

// submit runs a call on the pool. When the pool's queue is full the call is
// dropped: an ask then times out, and a settlement is replaced by expiry.
func (a *admission) submit(call func()) {
	if _, ok := a.limiter.pool.TrySubmit(call); !ok {
		a.limiter.opts.Counters.Add("grant_queue_full", 1)
	}
}

// call reaches the holder of the role, in this process when it is this host.
func (l *Limiter) call(req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
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
