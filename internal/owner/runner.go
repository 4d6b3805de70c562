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
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

const (
	// tickInterval is the resolution of the machine's timers.
	tickInterval = 50 * time.Millisecond
	// confirmInterval is the interval of status polls while somebody waits.
	confirmInterval = 2 * time.Millisecond
	// positionInterval is the interval of status polls while only questions for
	// the position wait: hundreds of hosts may ask every few seconds.
	positionInterval = 20 * time.Millisecond
	// idleAfter is the time after which a group without a home here is dropped.
	idleAfter = 10 * time.Second

	storeTimeout   = time.Second
	askTimeout     = 500 * time.Millisecond
	statusTimeout  = 500 * time.Millisecond
	controlTimeout = 800 * time.Millisecond

	// Bounds of the back-off after a store error.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

type waitKind uint8

const (
	waitWrite waitKind = iota
	waitRead
	waitPosition
)

// waiter waits for a decision of the machine.
type waiter struct {
	kind     waitKind
	term     uint64
	position uint64
	asked    time.Duration
	sample   group.Sample
	done     chan group.Decision
}

// runner runs the machine of one group.
type runner struct {
	o      *Owner
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	mu       sync.Mutex
	machine  *group.Machine
	monitors map[string]*monitor
	waiters  []*waiter
	commits  commits
	home     bool
	homes    map[string]bool // the servers that this host is home of
	usedAt   time.Duration
	wantedAt time.Duration
	backoff  time.Duration
}

func newRunner(o *Owner, name string) *runner {
	ctx, cancel := context.WithCancel(o.ctx)
	return &runner{
		o: o, name: name, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		machine:  group.New(group.Options{Group: name, Self: o.self, Timing: o.timing}),
		monitors: map[string]*monitor{}, usedAt: o.now(),
	}
}

// run advances the machine's timers until the runner is cancelled.
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
			r.want()
		} else {
			r.stepLocked(group.Tick{})
		}
		r.checkLapsed()
		next := tickInterval
		if len(r.waiters) > 0 {
			next = confirmInterval
		}
		closing := r.machine.Closing()
		r.mu.Unlock()
		if closing {
			r.o.refreshGroup(r) // open transactions may have ended
		}
		timer.Reset(next)
	}
}

func (r *runner) close() {
	r.mu.Lock()
	waiters, monitors := r.waiters, r.monitors
	r.waiters, r.monitors = nil, nil
	r.mu.Unlock()
	for _, w := range waiters {
		w.done <- group.Lost
	}
	for _, m := range monitors {
		m.close()
	}
}

// idle reports whether the runner serves nothing any more.
func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.home && !r.machine.Owns() && len(r.waiters) == 0 && r.o.now()-r.usedAt > idleAfter
}

func (r *runner) setServers(g config.Group, servers []group.Server, home bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.monitors == nil {
		return
	}
	r.home = home
	if home {
		r.usedAt = r.o.now()
	}
	r.homes = map[string]bool{}
	for _, s := range servers {
		r.homes[s.Name] = s.Home.Name == r.o.self.Name
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

// lease passes the newest end of the host lease to the machine.
func (r *runner) lease() time.Duration {
	fleet := r.o.opt.Fleet
	until := fleet.LeaseUntil().Sub(r.o.start)
	incarnation := fleet.Self().Incarnation
	now := r.o.now()
	r.machine.Step(now, group.Lease{Incarnation: incarnation, Until: until})
	return now
}

func (r *runner) stepLocked(in group.Input) {
	if r.monitors == nil {
		return
	}
	if _, asked := in.(group.Asked); asked {
		r.usedAt = r.o.now()
	}
	for _, a := range r.machine.Step(r.lease(), in) {
		r.perform(a)
	}
	r.trackOwnership()
	r.serve()
}

// want asks for the statuses that the waiters need.
func (r *runner) want() {
	confirming := slices.ContainsFunc(r.waiters, func(w *waiter) bool { return w.kind != waitPosition })
	now := r.o.now()
	if !confirming && r.wantedAt != 0 && now-r.wantedAt < positionInterval {
		r.stepLocked(group.Tick{})
		return
	}
	r.wantedAt = now
	quorum := slices.ContainsFunc(r.waiters, func(w *waiter) bool {
		return w.kind == waitRead || (w.kind == waitPosition && r.machine.Owns())
	})
	r.stepLocked(group.Wanted{Quorum: quorum && r.machine.NeedsQuorum(r.lease())})
}

// checkLapsed asks the fleet about the lease of the owner on record. It asks
// only when needed, because the fleet reads the store more often then.
func (r *runner) checkLapsed() {
	h, ok := r.machine.Watching()
	if ok && r.o.opt.Fleet.Lapsed(h.Name, h.Incarnation) {
		r.stepLocked(group.Lapsed{Host: h.Name, Incarnation: h.Incarnation})
	}
}

func (r *runner) decide(w *waiter) group.Decision {
	now := r.lease()
	switch w.kind {
	case waitWrite:
		return r.machine.DecideWrite(now, w.term, w.position)
	case waitRead:
		return r.machine.DecideRead(now, w.term, w.asked)
	default:
		sample, d := r.machine.PositionSince(now, w.asked)
		w.sample = sample
		return d
	}
}

// serve releases the waiters whose decision is known.
func (r *runner) serve() {
	r.waiters = slices.DeleteFunc(r.waiters, func(w *waiter) bool {
		d := r.decide(w)
		if d == group.Wait {
			return false
		}
		w.done <- d
		return true
	})
}

// wait returns the decision, or Wait when ctx ended first.
func (r *runner) wait(ctx context.Context, w *waiter) group.Decision {
	r.mu.Lock()
	if r.monitors == nil {
		r.mu.Unlock()
		return group.Lost
	}
	w.asked = r.o.now()
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

func (r *runner) writable(server string) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	term, ok := r.machine.Writable(server)
	if !ok {
		return 0, noPrimary(r.name)
	}
	return term, nil
}

// response encodes this host's report. The owner includes the sample that was
// taken for the caller.
func (r *runner) response(sample *group.Sample) *peerpb.PositionResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.now()
	rep := r.machine.Report(now)
	resp := &peerpb.PositionResponse{
		Position: &peerpb.Token{Group: r.name, Term: rep.Term},
		Primary:  rep.Primary,
		AgeUs:    rep.Age.Microseconds(),
	}
	if !rep.Owner {
		resp.Known, resp.Owner = rep.Reached, rep.OwnerHost
		return resp
	}
	if sample != nil && sample.Term == rep.Term {
		resp.Known = true
		resp.Position.Position = sample.Position
		resp.AgeUs = (now - sample.At).Microseconds()
	}
	for _, s := range rep.Samples {
		resp.Samples = append(resp.Samples, &peerpb.Sample{Term: s.Term, Position: s.Position, AgeUs: ceilMicroseconds(now - s.At)})
	}
	return resp
}

// ceilMicroseconds rounds up, so that data never looks fresher than it is.
func ceilMicroseconds(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// report decodes a response to a question sent at the time.
func report(sent time.Duration, resp *peerpb.PositionResponse) group.Report {
	rep := group.Report{
		Owner: resp.Owner == "", OwnerHost: resp.Owner, Term: resp.GetPosition().GetTerm(), Primary: resp.Primary,
		Reached: resp.Known, Age: time.Duration(resp.AgeUs) * time.Microsecond,
	}
	rep.Open = rep.Owner && resp.Known
	for _, s := range resp.Samples {
		rep.Samples = append(rep.Samples, group.Sample{
			At: sent - time.Duration(s.AgeUs)*time.Microsecond, Term: s.Term, Position: s.Position,
		})
	}
	return rep
}

// perform starts an action. The machine has at most one action of each kind in
// flight for each target, which bounds the goroutines.
func (r *runner) perform(a group.Action) {
	switch v := a.(type) {
	case group.Count:
		r.event(v.Name)
	case group.ReadRow:
		r.background(func(ctx context.Context) group.Input { return r.readRow(ctx, v) })
	case group.Swap:
		r.background(func(ctx context.Context) group.Input { return r.writeRow(ctx, v) })
	case group.Ask:
		r.background(func(ctx context.Context) group.Input { return r.ask(ctx, v) })
	case group.Poll:
		m, keep := r.monitors[v.Server], r.machine.Owns() || r.homes[v.Server]
		r.background(func(ctx context.Context) group.Input {
			st, err := m.status(ctx, r.o.now(), keep)
			return group.StatusAnswer{Server: v.Server, Sent: v.Sent, Status: st, Err: err}
		})
	case group.Fence:
		m := r.monitors[v.Server]
		r.background(func(ctx context.Context) group.Input {
			st, err := m.fence(ctx, v.Term)
			return group.FenceAnswer{Server: v.Server, Term: v.Term, Status: st, Err: err}
		})
	case group.Promote:
		m := r.monitors[v.Server]
		r.background(func(ctx context.Context) group.Input {
			err := m.control(ctx, func(ctx context.Context, db Database) error { return db.Promote(ctx, v.Term) })
			return group.PromoteAnswer{Server: v.Server, Term: v.Term, Err: err}
		})
	case group.Follow:
		m := r.monitors[v.Server]
		r.background(func(ctx context.Context) group.Input {
			err := m.control(ctx, func(ctx context.Context, db Database) error { return db.Follow(ctx, v.Term, v.Primary) })
			if err != nil {
				r.o.opt.Log.Warn().Err(err).Str("group", r.name).Str("server", v.Server).Msg("follow failed")
			}
			return group.Tick{}
		})
	}
}

func (r *runner) background(call func(context.Context) group.Input) {
	r.o.running.Go(func() {
		in := call(r.ctx)
		if r.ctx.Err() == nil {
			r.step(in)
		}
	})
}

// event counts and logs a step of the machine.
func (r *runner) event(name string) {
	c := r.o.opt.Counters
	c.Add(name, 1)
	r.o.opt.Log.Info().Str("group", r.name).Str("event", name).Msg("group changed")
	// A host that hands a promotion on has measured the parts up to fencing.
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

// pause waits after a store error with full jitter, so that the hosts do not
// return all at once when the store does.
func (r *runner) pause(ctx context.Context, err error) {
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
	r.pause(ctx, answer.Err)
	return answer
}

func (r *runner) writeRow(ctx context.Context, v group.Swap) group.Input {
	answer := group.SwapAnswer{Writer: v.Row.Writer}
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
	r.pause(ctx, err)
	return answer
}

func (r *runner) ask(ctx context.Context, v group.Ask) group.Input {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer := group.ReportAnswer{Host: v.Host, Sent: v.Sent}
	resp, err := r.o.opt.Peers.Position(call, v.Host, r.name)
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Report = report(v.Sent, resp)
	return answer
}
