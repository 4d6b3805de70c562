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

// op is one step of a random run; its meaning depends on the kind.
type op struct{ kind, pick int }

const (
	opRequest = iota
	opResume
	opYield
	opFinish
	opBreak
	opOpened
	opOpenFailed
	opConnEnds
	opAdvance
	opOthers
	opDrain
	opKinds
)

var genOps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	k := rapid.IntRange(0, 3*opKinds).Draw(t, "kind")
	// Requests and time are more frequent than the rest; draining is rare.
	switch {
	case k > 2*opKinds+4:
		k = opRequest
	case k > 2*opKinds:
		k = opAdvance
	case k >= opKinds && k < 2*opKinds && k%opKinds != opDrain && k%opKinds != opOthers:
		k %= opKinds
	case k >= opKinds:
		k = opOpened
	}
	return op{k, rapid.IntRange(0, 1<<16).Draw(t, "pick")}
}), 50, 300)

// oracle is the plain record against which a Server is checked.
type oracle struct {
	s        *Server
	set      Settings
	now      time.Duration
	others   int
	draining bool
	nextReq  RequestID
	nextConn ConnID
	reqs     map[RequestID]*oracleRequest
	conns    map[ConnID]RequestID // 0: idle
	opening  int
	closing  []ConnID
	progress time.Duration
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
	return o.count(func(r *oracleRequest) bool { return r.state == running })
}

func (o *oracle) held(customer string) int {
	return o.count(func(r *oracleRequest) bool { return r.customer == customer && r.state != waitsForConn })
}

func (o *oracle) budget() int {
	if o.draining {
		return 0
	}
	return max(o.set.Connections-4-o.others, 0)
}

func (o *oracle) idle() (ids []ConnID) {
	for id := ConnID(1); id <= o.nextConn; id++ {
		if r, ok := o.conns[id]; ok && r == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// find returns the pick-th request that a step can be applied to.
func (o *oracle) find(pick int, f func(*oracleRequest) bool) (RequestID, *oracleRequest) {
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

// step applies one step and checks the actions.
func (o *oracle) step(p op) error {
	switch p.kind {
	case opRequest:
		o.nextReq++
		r := &oracleRequest{customer: fmt.Sprint("c", p.pick%4), deadline: o.now + time.Duration(p.pick%300)*time.Millisecond, since: o.now}
		o.reqs[o.nextReq] = r
		return o.apply(o.s.Request(o.now, o.nextReq, r.customer, r.deadline))
	case opResume:
		id, r := o.find(p.pick, func(r *oracleRequest) bool { return r.state == open })
		if r == nil {
			return nil
		}
		r.state, r.since, r.deadline = waitsForSlot, o.now, o.now+time.Duration(p.pick%300)*time.Millisecond
		return o.apply(o.s.Resume(o.now, id, r.deadline))
	case opYield:
		id, r := o.find(p.pick, func(r *oracleRequest) bool { return r.state == running })
		if r == nil {
			return nil
		}
		r.state, r.since, o.progress = open, o.now, o.now
		return o.apply(o.s.Yield(o.now, id))
	case opFinish, opBreak:
		id, r := o.find(p.pick, func(*oracleRequest) bool { return true })
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
		return o.apply(o.s.Opened(o.now, o.nextConn))
	case opOpenFailed:
		if o.opening == 0 {
			return nil
		}
		o.opening--
		return o.apply(o.s.OpenFailed(o.now))
	case opConnEnds:
		return o.connEnds(p.pick)
	case opAdvance:
		o.now += time.Duration(p.pick%20) * time.Millisecond
		if err := o.apply(o.s.Tick(o.now)); err != nil {
			return err
		}
		if n := o.count(func(r *oracleRequest) bool { return r.waits() && r.deadline <= o.now }); n > 0 {
			return errors.Errorf("%d waiters are past their deadline", n)
		}
		return nil
	case opOthers:
		o.others = p.pick % 6
		return o.apply(o.s.SetOthers(o.now, o.others))
	default:
		o.draining = o.draining || p.pick%4 == 0
		if !o.draining {
			return nil
		}
		return o.apply(o.s.Drain(o.now, verdict.Draining))
	}
}

func (r *oracleRequest) waits() bool { return r.state == waitsForConn || r.state == waitsForSlot }

func (o *oracle) finish(id RequestID, r *oracleRequest, reuse bool) error {
	delete(o.reqs, id)
	if r.state == running {
		o.progress = o.now
	}
	if _, ok := o.conns[r.conn]; ok {
		o.conns[r.conn] = 0
		if !reuse {
			delete(o.conns, r.conn)
			o.closing = append(o.closing, r.conn)
		}
	}
	return o.apply(o.s.Finish(o.now, id, reuse))
}

// connEnds ends a connection that is being closed, or else any.
func (o *oracle) connEnds(pick int) error {
	if len(o.closing) > 0 {
		id := o.closing[0]
		o.closing = o.closing[1:]
		return o.apply(o.s.Closed(o.now, id))
	}
	id := ConnID(pick%int(o.nextConn+1)) + 1
	if _, ok := o.conns[id]; !ok {
		return nil
	}
	delete(o.conns, id)
	return o.apply(o.s.Closed(o.now, id))
}

// apply checks the actions against the record and updates it.
func (o *oracle) apply(actions []Action) error {
	for _, a := range actions {
		if err := o.action(a); err != nil {
			return errors.Wrapf(err, "%+v at %v", a, o.now)
		}
	}
	return o.check()
}

func (o *oracle) action(a Action) error {
	r := o.reqs[a.Request]
	switch a.Kind {
	case Grant:
		holder, ok := o.conns[a.Conn]
		switch {
		case r == nil || r.state != waitsForConn:
			return errors.New("granted to no waiter")
		case !ok || holder != 0:
			return errors.New("connection is not idle")
		case r.deadline <= o.now:
			return errors.New("granted past the deadline")
		case o.running() >= o.set.Slots:
			return errors.New("slots exceeded")
		case o.held(r.customer) >= max(o.budget()/2, 1):
			return errors.New("pin cap exceeded")
		}
		o.conns[a.Conn] = a.Request
		r.state, r.conn, r.since = running, a.Conn, o.now
	case Continue:
		stalled := r != nil && o.now-r.since >= stallAfter && o.now-o.progress >= stallAfter
		switch {
		case r == nil || r.state != waitsForSlot:
			return errors.New("continued no waiter")
		case r.conn != a.Conn:
			return errors.New("transaction changed connection")
		case o.running() >= o.set.Slots && !stalled:
			return errors.New("slots exceeded without a stall")
		}
		if o.running() >= o.set.Slots {
			o.progress = o.now
		}
		r.state, r.since = running, o.now
	case Refuse:
		if r == nil || !r.waits() {
			return errors.New("refused no waiter")
		}
		if r.state == waitsForSlot {
			r.state = open
			return nil
		}
		delete(o.reqs, a.Request)
	case Open:
		if len(o.conns)+len(o.closing)+o.opening >= o.budget() {
			return errors.New("connections exceeded")
		}
		o.opening++
	case Close:
		if holder, ok := o.conns[a.Conn]; !ok || holder != 0 {
			return errors.New("closed a connection in use")
		}
		delete(o.conns, a.Conn)
		o.closing = append(o.closing, a.Conn)
	}
	return nil
}

// check finds waiters that were lost: with a free slot none that could run may
// be left waiting.
func (o *oracle) check() error {
	if n := o.count((*oracleRequest).waits); n != o.s.Waiting() {
		return errors.Errorf("%d requests wait, the server knows %d", n, o.s.Waiting())
	}
	if o.running() >= o.set.Slots {
		return nil
	}
	for id, r := range o.reqs {
		if r.state == waitsForSlot {
			return errors.Errorf("open transaction %d waits beside a free slot", id)
		}
		if r.state == waitsForConn && len(o.idle()) > 0 && o.held(r.customer) < max(o.budget()/2, 1) {
			return errors.Errorf("request %d waits beside a free slot and connection", id)
		}
	}
	return nil
}

func runOps(set Settings, ops []op, off guard) error {
	o := &oracle{s: New(set), set: set, reqs: map[RequestID]*oracleRequest{}, conns: map[ConnID]RequestID{}}
	o.s.off = off
	if err := o.apply(o.s.Tick(0)); err != nil {
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

// Guards against slots, connections or pins exceeded, and against waiters that
// are lost, served twice or served late.
func TestServerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runOps(genSettings.Draw(t, "settings"), genOps.Draw(t, "ops"), 0); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an oracle that would not notice a missing check.
func TestOracleNoticesMissingGuards(t *testing.T) {
	for _, off := range []guard{guardSlots, guardBudget, guardPins, guardCancel} {
		found := 0
		for seed := range 200 {
			if runOps(genSettings.Example(seed), genOps.Example(seed), off) != nil {
				found++
			}
		}
		assert.Assert(t, found > 0, "guard %d", off)
		t.Logf("guard %d: noticed in %d of 200 runs", off, found)
	}
}

// harness runs a server with statements of known service time.
type harness struct {
	s    *Server
	now  time.Duration
	next RequestID
	// ends maps a running request to the end of its statement.
	ends    map[RequestID]time.Duration
	owner   map[RequestID]string
	service func(customer string) time.Duration
	granted []string
	conns   ConnID
	refused map[RequestID]verdict.Reason
}

func newHarness(set Settings, off guard, service func(string) time.Duration) *harness {
	h := &harness{s: New(set), ends: map[RequestID]time.Duration{}, owner: map[RequestID]string{}, service: service, refused: map[RequestID]verdict.Reason{}}
	h.s.off = off
	h.do(h.s.Tick(0))
	return h
}

func (h *harness) do(actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		switch a.Kind {
		case Grant, Continue:
			h.granted = append(h.granted, h.owner[a.Request])
			h.ends[a.Request] = h.now + h.service(h.owner[a.Request])
		case Open:
			h.conns++
			h.do(h.s.Opened(h.now, h.conns))
		case Refuse:
			h.refused[a.Request] = a.Reason
		}
	}
}

func (h *harness) request(customer string, wait time.Duration) RequestID {
	h.next++
	h.owner[h.next] = customer
	h.do(h.s.Request(h.now, h.next, customer, h.now+wait))
	return h.next
}

// finishNext ends the statement that ends first.
func (h *harness) finishNext() bool {
	var first RequestID
	for id, end := range h.ends {
		if first == 0 || end < h.ends[first] || (end == h.ends[first] && id < first) {
			first = id
		}
	}
	if first == 0 {
		return false
	}
	h.now = max(h.now, h.ends[first])
	delete(h.ends, first)
	h.do(h.s.Finish(h.now, first, true))
	return true
}

// worstGap returns the largest number of statements of one other customer that
// ran between two statements of a customer that always waits.
func worstGap(set Settings, customers int, off guard) int {
	h := newHarness(set, off, func(string) time.Duration { return 10 * time.Millisecond })
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
			// The customer asks again at once, so that it always waits.
			h.request(g, time.Hour)
		}
	}
	return worst
}

// Guards against a customer with a short queue starving behind one with a long
// queue.
func TestNoCustomerStarves(t *testing.T) {
	set := Settings{Slots: 2, Connections: 24}
	assert.Assert(t, worstGap(set, 8, 0) <= 2, "%d", worstGap(set, 8, 0))
	assert.Assert(t, worstGap(set, 8, guardFairness) > 2)
}

// Guards against a customer with long statements taking more than its share of
// the service time.
func TestSharesAreOfServiceTime(t *testing.T) {
	h := newHarness(Settings{Slots: 2, Connections: 24}, 0, func(c string) time.Duration {
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

// Guards against the deadlock in which the statements that hold all slots wait
// for a lock of a transaction whose next statement waits for a slot.
func TestOpenTransactionPassesBlockedStatements(t *testing.T) {
	progress := func(off guard) bool {
		forever := func(string) time.Duration { return time.Hour }
		h := newHarness(Settings{Slots: 2, Connections: 24}, off, forever)
		tx := h.request("a", time.Minute)
		h.do(h.s.Yield(h.now, tx))
		for range 5 {
			h.request("b", time.Minute) // blocked by the lock of tx
		}
		h.do(h.s.Resume(h.now, tx, h.now+time.Minute))
		before := len(h.granted)
		for range 4 {
			h.now += TickInterval
			h.do(h.s.Tick(h.now))
		}
		return len(h.granted) == before+1
	}
	assert.Assert(t, progress(0))
	assert.Assert(t, !progress(guardStall))
}

// Guards against a request that waits in vain although its wait was foreseeable,
// and against refusing one that is in time.
func TestExpectedWaitRefusesEarly(t *testing.T) {
	refused := func(off guard) (late, inTime, other bool) {
		h := newHarness(Settings{Slots: 2, Connections: 24}, off, func(string) time.Duration { return 10 * time.Millisecond })
		for range 40 {
			h.request("noisy", time.Hour)
		}
		h.finishNext()
		_, late = h.refused[h.request("noisy", 100*time.Millisecond)]
		_, inTime = h.refused[h.request("noisy", 400*time.Millisecond)]
		// The queue of another customer counts only as far as it is served first.
		_, other = h.refused[h.request("quiet", 30*time.Millisecond)]
		return late, inTime, other
	}
	late, inTime, other := refused(0)
	assert.Assert(t, late && !inTime && !other, "%v %v %v", late, inTime, other)
	late, _, _ = refused(guardDeadline)
	assert.Assert(t, !late)
}

// Guards against an unbounded queue, and against a noisy customer whose queue
// makes others be refused.
func TestQueueBound(t *testing.T) {
	h := newHarness(Settings{Slots: 1, Connections: 24}, 0, func(string) time.Duration { return time.Millisecond })
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
