package owner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/group"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

const (
	// tickInterval is the granularity of the machine's timers.
	tickInterval = 50 * time.Millisecond
	// confirmPollInterval is the interval between status polls while a
	// confirmation is pending.
	confirmPollInterval = 2 * time.Millisecond
	// positionPollInterval is the interval between status polls while only requests
	// for the position are pending. It is longer than confirmPollInterval because
	// hundreds of hosts may request the position every few seconds.
	positionPollInterval = 20 * time.Millisecond
	// runnerIdleTimeout is the time without use after which the runner of a group in
	// which this host has no home role is stopped.
	runnerIdleTimeout = 10 * time.Second

	storeTimeout       = time.Second
	peerRequestTimeout = 500 * time.Millisecond
	statusTimeout      = 500 * time.Millisecond
	controlTimeout     = 800 * time.Millisecond

	// Bounds of the backoff after a store error.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

type waitKind uint8

const (
	waitWrite waitKind = iota
	waitRead
	waitPosition
)

// waiter is a call that waits for a decision of the machine.
type waiter struct {
	kind        waitKind
	term        uint64
	position    uint64
	requestedAt time.Duration
	sample      group.Sample
	done        chan group.Decision
}

// runner drives the machine of one group.
type runner struct {
	o      *Owner
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	mu                  sync.Mutex
	machine             *group.Machine
	monitors            map[string]*monitor
	waiters             []*waiter
	commits             commitPositions
	isHome              bool
	homeServers         map[string]bool // the servers whose home role this host holds
	lastUsed            time.Duration
	statusesRequestedAt time.Duration
	backoff             time.Duration
}

func newRunner(o *Owner, name string) *runner {
	ctx, cancel := context.WithCancel(o.ctx)
	return &runner{
		o: o, name: name, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		machine:  group.New(group.Options{Group: name, Self: o.self, Timing: o.timing}),
		monitors: map[string]*monitor{}, lastUsed: o.now(),
	}
}

// run advances the machine's timers, and requests statuses while calls wait for a
// decision, until the runner is cancelled.
func (r *runner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			r.close()
			return
		case <-r.wake:
		case <-timer.C:
		}
		r.mu.Lock()
		if len(r.waiters) > 0 {
			r.requestStatuses()
		} else {
			r.stepLocked(group.Tick{})
		}
		r.checkOwnerLease()
		next := tickInterval
		if len(r.waiters) > 0 {
			next = confirmPollInterval
		}
		promotionPending := r.machine.PlannedPromotionPending()
		r.mu.Unlock()
		if promotionPending {
			r.o.refreshGroup(r) // a planned promotion waits until open transactions have ended
		}
		timer.Reset(next)
	}
}

// close fails all waiters and closes the monitors.
func (r *runner) close() {
	r.mu.Lock()
	waiters, monitors := r.waiters, r.monitors
	r.waiters, r.monitors = nil, nil
	r.mu.Unlock()
	for _, w := range waiters {
		w.done <- group.AuthorityLost
	}
	for _, m := range monitors {
		m.close()
	}
}

// idle reports whether the runner can be stopped: this host has no home role in
// the group and does not own it, and nothing has used the runner for
// runnerIdleTimeout.
func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isHome && !r.machine.Owns() && len(r.waiters) == 0 && r.o.now()-r.lastUsed > runnerIdleTimeout
}

// setServers creates and closes monitors to match the servers of the group, and
// passes the servers to the machine. It does nothing after close.
func (r *runner) setServers(g config.Group, servers []group.Server, isHome bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.monitors == nil {
		return
	}
	r.isHome = isHome
	if isHome {
		r.lastUsed = r.o.now()
	}
	r.homeServers = map[string]bool{}
	for _, s := range servers {
		r.homeServers[s.Name] = s.Home.Name == r.o.self.Name
	}
	listed := map[string]bool{}
	for _, s := range g.Servers {
		listed[s.Name] = true
		m := r.monitors[s.Name]
		if m != nil && m.address != s.Address {
			go m.close()
			m = nil
		}
		if m == nil {
			m = &monitor{address: s.Address, application: "cranberryhinge/" + r.o.self.Name + "/monitor", dial: r.o.opt.Dial}
			r.monitors[s.Name] = m
		}
	}
	for name, m := range r.monitors {
		if !listed[name] {
			delete(r.monitors, name)
			go m.close()
		} else {
			m.closeIdle(r.o.now())
		}
	}
	r.stepLocked(group.Topology{Servers: servers, Durability: g.Durability})
}

func (r *runner) step(in group.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(in)
}

// updateLease passes the current incarnation and end of the host lease to the
// machine and returns the current time.
func (r *runner) updateLease() time.Duration {
	fleet := r.o.opt.Fleet
	until := fleet.LeaseUntil().Sub(r.o.start)
	incarnation := fleet.Self().Incarnation
	now := r.o.now()
	r.machine.Step(now, group.Lease{Incarnation: incarnation, Until: until})
	return now
}

// stepLocked passes an input to the machine, performs the resulting actions and
// releases the waiters that can be decided now. It does nothing after close. The
// caller holds r.mu.
func (r *runner) stepLocked(in group.Input) {
	if r.monitors == nil {
		return
	}
	if _, reportRequested := in.(group.ReportRequested); reportRequested {
		r.lastUsed = r.o.now()
	}
	for _, a := range r.machine.Step(r.updateLease(), in) {
		r.perform(a)
	}
	r.resetCommitsOnOwnershipChange()
	r.releaseWaiters()
}

// requestStatuses requests the database statuses that the waiters need.
func (r *runner) requestStatuses() {
	confirming := slices.ContainsFunc(r.waiters, func(w *waiter) bool { return w.kind != waitPosition })
	now := r.o.now()
	if !confirming && r.statusesRequestedAt != 0 && now-r.statusesRequestedAt < positionPollInterval {
		r.stepLocked(group.Tick{})
		return
	}
	r.statusesRequestedAt = now
	quorum := slices.ContainsFunc(r.waiters, func(w *waiter) bool {
		return w.kind == waitRead || (w.kind == waitPosition && r.machine.Owns())
	})
	r.stepLocked(group.StatusRequested{Quorum: quorum && r.machine.NeedsQuorum(r.updateLease())})
}

// checkOwnerLease checks whether the lease of the owner that the row names has
// lapsed. It does so only while the machine watches this lease, because the check
// makes the fleet read the store more often.
func (r *runner) checkOwnerLease() {
	h, ok := r.machine.WatchedOwner()
	if ok && r.o.opt.Fleet.LeaseLapsed(h.Name, h.Incarnation) {
		r.stepLocked(group.LeaseLapsed{Host: h.Name, Incarnation: h.Incarnation})
	}
}

func (r *runner) decide(w *waiter) group.Decision {
	now := r.updateLease()
	switch w.kind {
	case waitWrite:
		return r.machine.DecideWrite(now, w.term, w.position)
	case waitRead:
		return r.machine.DecideRead(now, w.term, w.requestedAt)
	default:
		sample, d := r.machine.PositionSince(now, w.requestedAt)
		w.sample = sample
		return d
	}
}

// releaseWaiters removes the waiters that can be decided now and sends each of
// them its decision.
func (r *runner) releaseWaiters() {
	r.waiters = slices.DeleteFunc(r.waiters, func(w *waiter) bool {
		d := r.decide(w)
		if d == group.Wait {
			return false
		}
		w.done <- d
		return true
	})
}

// awaitDecision waits for the decision on w and returns it. It returns Wait if ctx
// ends first, and AuthorityLost if the runner has been closed.
func (r *runner) awaitDecision(ctx context.Context, w *waiter) group.Decision {
	r.mu.Lock()
	if r.monitors == nil {
		r.mu.Unlock()
		return group.AuthorityLost
	}
	w.requestedAt = r.o.now()
	if d := r.decide(w); d != group.Wait {
		r.mu.Unlock()
		return d
	}
	w.done = make(chan group.Decision, 1)
	r.waiters = append(r.waiters, w)
	first := len(r.waiters) == 1
	r.mu.Unlock()
	if first {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	select {
	case d := <-w.done:
		return d
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.waiters = slices.DeleteFunc(r.waiters, func(o *waiter) bool { return o == w })
	r.mu.Unlock()
	select {
	case d := <-w.done:
		return d
	default:
		return group.Wait
	}
}

func (r *runner) writableTerm(server string) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	term, ok := r.machine.WritableTerm(server)
	if !ok {
		return 0, noPrimaryError(r.name)
	}
	return term, nil
}

// response encodes this host's report. On the owner it includes the position of
// sample, which may be nil.
func (r *runner) response(sample *group.Sample) *peerpb.PositionResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.now()
	rep := r.machine.Report(now)
	resp := &peerpb.PositionResponse{
		Position: &peerpb.Token{Group: r.name, Term: rep.Term},
		Primary:  rep.Primary,
		AgeUs:    rep.PrimaryAge.Microseconds(),
	}
	resp.FromOwner = rep.Owner
	if !rep.Owner {
		resp.Known, resp.Owner = rep.PrimaryAnswered, rep.OwnerHost
		return resp
	}
	if sample != nil && sample.Term == rep.Term {
		resp.Known = true
		resp.Position.Position = sample.Position
		resp.AgeUs = (now - sample.At).Microseconds()
	}
	for _, s := range rep.Samples {
		resp.Samples = append(resp.Samples, &peerpb.Sample{Term: s.Term, Position: s.Position, AgeUs: peer.CeilMicroseconds(now - s.At)})
	}
	return resp
}

// decodeReport decodes the response to a request that was sent at the time sent.
func decodeReport(sent time.Duration, resp *peerpb.PositionResponse) group.Report {
	rep := group.Report{
		Owner: resp.FromOwner, OwnerHost: resp.Owner, Term: resp.GetPosition().GetTerm(), Primary: resp.Primary,
		PrimaryAnswered: resp.Known, PrimaryAge: time.Duration(resp.AgeUs) * time.Microsecond,
	}
	rep.PrimaryOpen = rep.Owner && resp.Known
	for _, s := range resp.Samples {
		rep.Samples = append(rep.Samples, group.Sample{
			At: sent - time.Duration(s.AgeUs)*time.Microsecond, Term: s.Term, Position: s.Position,
		})
	}
	return rep
}

// perform starts an action of the machine. The machine has at most one action of
// each kind in flight for each target, which bounds the number of goroutines.
func (r *runner) perform(a group.Action) {
	switch v := a.(type) {
	case group.Count:
		r.recordEvent(v.Name)
	case group.ReadRow:
		r.runAsync(func(ctx context.Context) group.Input { return r.readRow(ctx, v) })
	case group.Swap:
		r.runAsync(func(ctx context.Context) group.Input { return r.writeRow(ctx, v) })
	case group.RequestReport:
		r.runAsync(func(ctx context.Context) group.Input { return r.requestReport(ctx, v) })
	case group.Poll:
		m, keep := r.monitors[v.Server], r.machine.Owns() || r.homeServers[v.Server]
		r.runAsync(func(ctx context.Context) group.Input {
			st, err := m.pollStatus(ctx, r.o.now(), keep)
			return group.StatusAnswer{Server: v.Server, Sent: v.Sent, Status: st, Err: err}
		})
	case group.Fence:
		m := r.monitors[v.Server]
		r.runAsync(func(ctx context.Context) group.Input {
			st, err := m.fence(ctx, v.Term)
			return group.FenceAnswer{Server: v.Server, Term: v.Term, Status: st, Err: err}
		})
	case group.Promote:
		m := r.monitors[v.Server]
		r.runAsync(func(ctx context.Context) group.Input {
			err := m.runControlCall(ctx, func(ctx context.Context, db Database) error { return db.Promote(ctx, v.Term) })
			return group.PromoteAnswer{Server: v.Server, Term: v.Term, Err: err}
		})
	case group.Follow:
		m := r.monitors[v.Server]
		r.runAsync(func(ctx context.Context) group.Input {
			err := m.runControlCall(ctx, func(ctx context.Context, db Database) error { return db.Follow(ctx, v.Term, v.Primary) })
			if err != nil {
				r.o.opt.Log.Warn().Err(err).Str("group", r.name).Str("server", v.Server).Msg("follow failed")
			}
			return group.Tick{}
		})
	}
}

// runAsync runs call in a goroutine and passes its result to the machine.
func (r *runner) runAsync(call func(context.Context) group.Input) {
	r.o.wg.Go(func() {
		in := call(r.ctx)
		if r.ctx.Err() == nil {
			r.step(in)
		}
	})
}

// recordEvent counts and logs an event of the machine. When a failover ends on
// this host it also publishes the durations of its phases.
func (r *runner) recordEvent(name string) {
	c := r.o.opt.Counters
	c.Add(name, 1)
	r.o.opt.Log.Info().Str("group", r.name).Str("event", name).Msg("group changed")
	// A host that hands a promotion over has measured the phases up to fencing.
	if name != group.CountOpened && name != group.CountHandedOn {
		return
	}
	gap := r.machine.LastGap()
	for key, d := range map[string]time.Duration{
		"failover_detection_ms": gap.Detection, "failover_lease_ms": gap.Lease,
		"failover_fencing_ms": gap.Fencing, "failover_promotion_ms": gap.Promotion,
	} {
		c.Add(key, d.Milliseconds()-c.Get(key))
	}
}

// backOffAfter waits after a store error, for an exponentially growing time with
// full jitter, so that the hosts do not all retry at the same moment when the
// store is available again. A nil error or a conflict resets the backoff.
func (r *runner) backOffAfter(ctx context.Context, err error) {
	r.mu.Lock()
	if err == nil || errors.Is(err, store.ErrConflict) {
		r.backoff = 0
		r.mu.Unlock()
		return
	}
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	wait := rand.N(r.backoff)
	r.mu.Unlock()
	r.o.opt.Counters.Add("group_store_errors", 1)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (r *runner) readRow(ctx context.Context, v group.ReadRow) group.Input {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.o.opt.Counters.Add("group_row_reads", 1)
	row, err := r.o.opt.Table.Get(call, group.RowKey(r.name))
	answer := group.RowAnswer{ID: v.ID, Revision: row.Revision, Err: err}
	if err == nil && row.Revision > 0 {
		answer.Row, answer.Err = group.DecodeRow(row.Value)
	}
	r.backOffAfter(ctx, answer.Err)
	return answer
}

func (r *runner) writeRow(ctx context.Context, v group.Swap) group.Input {
	answer := group.SwapAnswer{WriteID: v.Row.WriteID}
	value, err := v.Row.Encode()
	if err != nil {
		answer.Outcome = group.Conflict
		return answer
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.o.opt.Counters.Add("group_row_writes", 1)
	answer.Revision, err = r.o.opt.Table.CompareAndSwap(call, group.RowKey(r.name), v.Expect, value)
	switch {
	case err == nil:
		answer.Outcome = group.Swapped
	case errors.Is(err, store.ErrConflict):
		answer.Outcome = group.Conflict
	}
	r.backOffAfter(ctx, err)
	return answer
}

func (r *runner) requestReport(ctx context.Context, v group.RequestReport) group.Input {
	call, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	answer := group.ReportAnswer{Host: v.Host, Sent: v.Sent}
	resp, err := r.o.opt.Peers.Position(call, v.Host, r.name)
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Report = decodeReport(v.Sent, resp)
	return answer
}
