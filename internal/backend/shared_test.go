package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// op is one step of a random run. The meaning of pick depends on the kind.
type op struct{ kind, pick int }

const (
	opRequest = iota
	opResume
	opYield
	opFinish
	opFinishWithoutReuse
	opOpened
	opOpenFailed
	opCloseConn
	opAdvance
	opSetOthers
	opDrain
	opKindCount
)

var genOps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	k := rapid.IntRange(0, 3*opKindCount).Draw(t, "kind")
	// New requests and passing time are more frequent than other steps; draining
	// is rare.
	switch {
	case k > 2*opKindCount+4:
		k = opRequest
	case k > 2*opKindCount:
		k = opAdvance
	case k >= opKindCount && k < 2*opKindCount && k%opKindCount != opDrain && k%opKindCount != opSetOthers:
		k %= opKindCount
	case k >= opKindCount:
		k = opOpened
	}
	return op{k, rapid.IntRange(0, 1<<16).Draw(t, "pick")}
}), 50, 300)

// oracle is a simple model of a backend server, against which a SharedDispatcher
// is checked.
type oracle struct {
	dispatcher   *SharedDispatcher
	settings     Settings
	now          time.Duration
	otherConns   int
	draining     bool
	nextReq      RequestID
	nextConn     ConnID
	reqs         map[RequestID]*oracleRequest
	conns        map[ConnID]RequestID // 0: idle
	opening      int
	closing      []ConnID
	lastProgress time.Duration
}

type oracleRequest struct {
	customer string
	state    requestState
	conn     ConnID
	deadline time.Duration
	since    time.Duration
}

func (o *oracle) count(f func(*oracleRequest) bool) (n int) {
	for _, r := range o.reqs {
		if f(r) {
			n++
		}
	}
	return n
}

func (o *oracle) running() int {
	return o.count(func(r *oracleRequest) bool { return r.state == stateRunning })
}

func (o *oracle) held(customer string) int {
	return o.count(func(r *oracleRequest) bool { return r.customer == customer && r.state != stateWaitingForConn })
}

func (o *oracle) budget() int {
	if o.draining {
		return 0
	}
	return max(o.settings.Connections-4-o.otherConns, 0)
}

func (o *oracle) idle() (ids []ConnID) {
	for id := ConnID(1); id <= o.nextConn; id++ {
		if r, ok := o.conns[id]; ok && r == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// pickRequest returns one of the requests that f accepts, selected by pick.
func (o *oracle) pickRequest(pick int, f func(*oracleRequest) bool) (RequestID, *oracleRequest) {
	var ids []RequestID
	for id := RequestID(1); id <= o.nextReq; id++ {
		if r := o.reqs[id]; r != nil && f(r) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, nil
	}
	id := ids[pick%len(ids)]
	return id, o.reqs[id]
}

// step applies one step and checks the returned actions.
func (o *oracle) step(p op) error {
	switch p.kind {
	case opRequest:
		o.nextReq++
		r := &oracleRequest{customer: fmt.Sprint("c", p.pick%4), deadline: o.now + time.Duration(p.pick%300)*time.Millisecond, since: o.now}
		o.reqs[o.nextReq] = r
		return o.apply(o.dispatcher.Request(o.now, o.nextReq, r.customer, r.deadline))
	case opResume:
		id, r := o.pickRequest(p.pick, func(r *oracleRequest) bool { return r.state == stateIdleInTransaction })
		if r == nil {
			return nil
		}
		r.state, r.since, r.deadline = stateWaitingForSlot, o.now, o.now+time.Duration(p.pick%300)*time.Millisecond
		return o.apply(o.dispatcher.Resume(o.now, id, r.deadline))
	case opYield:
		id, r := o.pickRequest(p.pick, func(r *oracleRequest) bool { return r.state == stateRunning })
		if r == nil {
			return nil
		}
		r.state, r.since, o.lastProgress = stateIdleInTransaction, o.now, o.now
		return o.apply(o.dispatcher.Yield(o.now, id))
	case opFinish, opFinishWithoutReuse:
		id, r := o.pickRequest(p.pick, func(*oracleRequest) bool { return true })
		if r == nil {
			return nil
		}
		return o.finish(id, r, p.kind == opFinish)
	case opOpened:
		if o.opening == 0 {
			return nil
		}
		o.opening--
		o.nextConn++
		o.conns[o.nextConn] = 0
		return o.apply(o.dispatcher.RecordOpened(o.now, o.nextConn))
	case opOpenFailed:
		if o.opening == 0 {
			return nil
		}
		o.opening--
		return o.apply(o.dispatcher.RecordOpenFailed(o.now))
	case opCloseConn:
		return o.closeConn(p.pick)
	case opAdvance:
		o.now += time.Duration(p.pick%20) * time.Millisecond
		if err := o.apply(o.dispatcher.Tick(o.now)); err != nil {
			return err
		}
		if n := o.count(func(r *oracleRequest) bool { return r.isWaiting() && r.deadline <= o.now }); n > 0 {
			return errors.Errorf("%d requests still wait after their deadline", n)
		}
		return nil
	case opSetOthers:
		o.otherConns = p.pick % 6
		return o.apply(o.dispatcher.SetOtherConnections(o.now, o.otherConns))
	default:
		o.draining = o.draining || p.pick%4 == 0
		if !o.draining {
			return nil
		}
		return o.apply(o.dispatcher.Drain(o.now, verdict.Draining))
	}
}

func (r *oracleRequest) isWaiting() bool {
	return r.state == stateWaitingForConn || r.state == stateWaitingForSlot
}

func (o *oracle) finish(id RequestID, r *oracleRequest, reuse bool) error {
	delete(o.reqs, id)
	if r.state == stateRunning {
		o.lastProgress = o.now
	}
	if _, ok := o.conns[r.conn]; ok {
		o.conns[r.conn] = 0
		if !reuse {
			delete(o.conns, r.conn)
			o.closing = append(o.closing, r.conn)
		}
	}
	return o.apply(o.dispatcher.Finish(o.now, id, reuse))
}

// closeConn ends the first connection that is being closed. If there is none,
// it ends the connection selected by pick.
func (o *oracle) closeConn(pick int) error {
	if len(o.closing) > 0 {
		id := o.closing[0]
		o.closing = o.closing[1:]
		return o.apply(o.dispatcher.RecordClosed(o.now, id))
	}
	id := ConnID(pick%int(o.nextConn+1)) + 1
	if _, ok := o.conns[id]; !ok {
		return nil
	}
	delete(o.conns, id)
	return o.apply(o.dispatcher.RecordClosed(o.now, id))
}

// apply checks the actions against the model and updates it.
func (o *oracle) apply(actions []Action) error {
	for _, a := range actions {
		if err := o.applyAction(a); err != nil {
			return errors.Wrapf(err, "%+v at %v", a, o.now)
		}
	}
	return o.check()
}

func (o *oracle) applyAction(a Action) error {
	r := o.reqs[a.Request]
	switch a.Kind {
	case ActionGrant:
		holder, ok := o.conns[a.Conn]
		switch {
		case r == nil || r.state != stateWaitingForConn:
			return errors.New("granted a request that does not wait for a connection")
		case !ok || holder != 0:
			return errors.New("granted a connection that is not idle")
		case r.deadline <= o.now:
			return errors.New("granted a request after its deadline")
		case o.running() >= o.settings.Slots:
			return errors.New("more statements than slots")
		case o.held(r.customer) >= max(o.budget()/2, 1):
			return errors.New("customer holds too many connections")
		}
		o.conns[a.Conn] = a.Request
		r.state, r.conn, r.since = stateRunning, a.Conn, o.now
	case ActionContinue:
		stalled := r != nil && o.now-r.since >= stallTimeout && o.now-o.lastProgress >= stallTimeout
		switch {
		case r == nil || r.state != stateWaitingForSlot:
			return errors.New("continued a request that does not wait for a slot")
		case r.conn != a.Conn:
			return errors.New("transaction continued on another connection")
		case o.running() >= o.settings.Slots && !stalled:
			return errors.New("more statements than slots without a stall")
		}
		if o.running() >= o.settings.Slots {
			o.lastProgress = o.now
		}
		r.state, r.since = stateRunning, o.now
	case ActionRefuse:
		if r == nil || !r.isWaiting() {
			return errors.New("refused a request that does not wait")
		}
		if r.state == stateWaitingForSlot {
			r.state = stateIdleInTransaction
			return nil
		}
		delete(o.reqs, a.Request)
	case ActionOpen:
		if len(o.conns)+len(o.closing)+o.opening >= o.budget() {
			return errors.New("more connections than the budget")
		}
		o.opening++
	case ActionClose:
		if holder, ok := o.conns[a.Conn]; !ok || holder != 0 {
			return errors.New("closed a connection in use")
		}
		delete(o.conns, a.Conn)
		o.closing = append(o.closing, a.Conn)
	}
	return nil
}

// check detects waiters that the dispatcher has lost: while a slot is free, no
// waiter that could run may be left waiting.
func (o *oracle) check() error {
	if n := o.count((*oracleRequest).isWaiting); n != o.dispatcher.Waiting() {
		return errors.Errorf("%d requests wait, the dispatcher counts %d", n, o.dispatcher.Waiting())
	}
	if o.running() >= o.settings.Slots {
		return nil
	}
	for id, r := range o.reqs {
		if r.state == stateWaitingForSlot {
			return errors.Errorf("open transaction %d waits although a slot is free", id)
		}
		if r.state == stateWaitingForConn && len(o.idle()) > 0 && o.held(r.customer) < max(o.budget()/2, 1) {
			return errors.Errorf("request %d waits although a slot and a connection are free", id)
		}
	}
	return nil
}

func runOps(settings Settings, ops []op, disabled guard) error {
	o := &oracle{dispatcher: NewSharedDispatcher(settings), settings: settings, reqs: map[RequestID]*oracleRequest{}, conns: map[ConnID]RequestID{}}
	o.dispatcher.disabledGuard = disabled
	if err := o.apply(o.dispatcher.Tick(0)); err != nil {
		return err
	}
	for _, p := range ops {
		if err := o.step(p); err != nil {
			return err
		}
	}
	return nil
}

var genSettings = rapid.Custom(func(t *rapid.T) Settings {
	return Settings{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Connections: rapid.IntRange(5, 14).Draw(t, "connections")}
})

// Guards against exceeding the limits of slots, connections and connections per
// customer, and against waiters that are lost, served twice or served after
// their deadline.
func TestSharedDispatcherAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runOps(genSettings.Draw(t, "settings"), genOps.Draw(t, "ops"), 0); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an oracle that does not detect a missing check.
func TestOracleDetectsMissingGuards(t *testing.T) {
	for _, disabled := range []guard{guardSlots, guardBudget, guardConnsPerCustomer, guardCancel} {
		found := 0
		for seed := range 200 {
			if runOps(genSettings.Example(seed), genOps.Example(seed), disabled) != nil {
				found++
			}
		}
		assert.Assert(t, found > 0, "guard %d", disabled)
		t.Logf("guard %d: absence detected in %d of 200 runs", disabled, found)
	}
}

// sharedHarness runs a SharedDispatcher with statements of known service time.
type sharedHarness struct {
	s    *SharedDispatcher
	now  time.Duration
	next RequestID
	// endAt maps a running request to the end of its statement.
	endAt      map[RequestID]time.Duration
	customerOf map[RequestID]string
	service    func(customer string) time.Duration
	granted    []string
	conns      ConnID
	refused    map[RequestID]verdict.Reason
}

func newSharedHarness(settings Settings, disabled guard, service func(string) time.Duration) *sharedHarness {
	h := &sharedHarness{s: NewSharedDispatcher(settings), endAt: map[RequestID]time.Duration{}, customerOf: map[RequestID]string{}, service: service, refused: map[RequestID]verdict.Reason{}}
	h.s.disabledGuard = disabled
	h.apply(h.s.Tick(0))
	return h
}

func (h *sharedHarness) apply(actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		switch a.Kind {
		case ActionGrant, ActionContinue:
			h.granted = append(h.granted, h.customerOf[a.Request])
			h.endAt[a.Request] = h.now + h.service(h.customerOf[a.Request])
		case ActionOpen:
			h.conns++
			h.apply(h.s.RecordOpened(h.now, h.conns))
		case ActionRefuse:
			h.refused[a.Request] = a.Reason
		}
	}
}

func (h *sharedHarness) request(customer string, wait time.Duration) RequestID {
	h.next++
	h.customerOf[h.next] = customer
	h.apply(h.s.Request(h.now, h.next, customer, h.now+wait))
	return h.next
}

// finishNext finishes the request whose statement ends first.
func (h *sharedHarness) finishNext() bool {
	var first RequestID
	for id, end := range h.endAt {
		if first == 0 || end < h.endAt[first] || (end == h.endAt[first] && id < first) {
			first = id
		}
	}
	if first == 0 {
		return false
	}
	h.now = max(h.now, h.endAt[first])
	delete(h.endAt, first)
	h.apply(h.s.Finish(h.now, first, true))
	return true
}

// worstGap returns the largest number of statements of one customer that ran
// between two statements of another customer that always has a waiting request.
func worstGap(settings Settings, customers int, disabled guard) int {
	h := newSharedHarness(settings, disabled, func(string) time.Duration { return 10 * time.Millisecond })
	backlog := func(c int) {
		for range 1 + 5*c {
			h.request(fmt.Sprint(c), time.Hour)
		}
	}
	for c := range customers {
		backlog(c)
	}
	for _, g := range h.granted {
		h.request(g, time.Hour)
	}
	worst := 0
	since := make([]map[string]int, customers)
	for i := range since {
		since[i] = map[string]int{}
	}
	for range 50 * customers {
		before := len(h.granted)
		h.finishNext()
		for _, g := range h.granted[before:] {
			for c := range customers {
				if name := fmt.Sprint(c); name == g {
					since[c] = map[string]int{}
				} else {
					since[c][g]++
					worst = max(worst, since[c][g])
				}
			}
			// The customer sends a new request at once, so that it always has one
			// waiting.
			h.request(g, time.Hour)
		}
	}
	return worst
}

// Guards against a customer with a short queue that starves behind one with a
// long queue.
func TestNoCustomerStarves(t *testing.T) {
	settings := Settings{Slots: 2, Connections: 24}
	assert.Assert(t, worstGap(settings, 8, 0) <= 2, "%d", worstGap(settings, 8, 0))
	assert.Assert(t, worstGap(settings, 8, guardFairness) > 2)
}

// Guards against a customer with long statements that gets more than its share
// of the service time.
func TestCustomersShareServiceTime(t *testing.T) {
	h := newSharedHarness(Settings{Slots: 2, Connections: 24}, 0, func(c string) time.Duration {
		if c == "long" {
			return 50 * time.Millisecond
		}
		return 5 * time.Millisecond
	})
	for range 400 {
		h.request("long", time.Hour)
		h.request("short", time.Hour)
	}
	counts := map[string]int{}
	for h.now < 2*time.Second && h.finishNext() {
	}
	for _, g := range h.granted {
		counts[g]++
	}
	ratio := float64(counts["short"]) / float64(counts["long"])
	assert.Assert(t, ratio > 8 && ratio < 12, "%v", counts)
}

// Guards against a deadlock: the statements in all slots wait for a lock of a
// transaction whose next statement waits for a slot.
func TestOpenTransactionRunsBeyondStalledSlots(t *testing.T) {
	progress := func(disabled guard) bool {
		forever := func(string) time.Duration { return time.Hour }
		h := newSharedHarness(Settings{Slots: 2, Connections: 24}, disabled, forever)
		tx := h.request("a", time.Minute)
		h.apply(h.s.Yield(h.now, tx))
		for range 5 {
			h.request("b", time.Minute) // blocked by the lock of tx
		}
		h.apply(h.s.Resume(h.now, tx, h.now+time.Minute))
		before := len(h.granted)
		for range 4 {
			h.now += TickInterval
			h.apply(h.s.Tick(h.now))
		}
		return len(h.granted) == before+1
	}
	assert.Assert(t, progress(0))
	assert.Assert(t, !progress(guardStall))
}

// Guards against queueing a request although the expected wait shows that it will
// miss its deadline, and against refusing a request that would meet its deadline.
func TestExpectedWaitRefusesEarly(t *testing.T) {
	refused := func(disabled guard) (late, inTime, other bool) {
		h := newSharedHarness(Settings{Slots: 2, Connections: 24}, disabled, func(string) time.Duration { return 10 * time.Millisecond })
		for range 40 {
			h.request("noisy", time.Hour)
		}
		h.finishNext()
		_, late = h.refused[h.request("noisy", 100*time.Millisecond)]
		_, inTime = h.refused[h.request("noisy", 400*time.Millisecond)]
		// Only the part of another customer's queue that is served before this
		// request counts towards its expected wait.
		_, other = h.refused[h.request("quiet", 30*time.Millisecond)]
		return late, inTime, other
	}
	late, inTime, other := refused(0)
	assert.Assert(t, late && !inTime && !other, "%v %v %v", late, inTime, other)
	late, _, _ = refused(guardDeadline)
	assert.Assert(t, !late)
}

// Guards against an unbounded queue, and against a customer whose long queue
// causes requests of other customers to be refused.
func TestQueueIsBounded(t *testing.T) {
	h := newSharedHarness(Settings{Slots: 1, Connections: 24}, 0, func(string) time.Duration { return time.Millisecond })
	for range maxQueue + 10 {
		h.request("noisy", time.Hour)
	}
	assert.Equal(t, h.s.Waiting(), maxQueue)
	assert.Equal(t, len(h.refused), 9)
	id := h.request("quiet", time.Hour)
	_, refused := h.refused[id]
	assert.Assert(t, !refused)
	assert.Equal(t, h.s.Waiting(), maxQueue)
}
