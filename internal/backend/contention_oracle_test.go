package backend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// randomOps calls a Dispatcher in random order, as requests are cancelled, fail and expire.
type randomOps struct {
	t       *testing.T
	d       *Dispatcher
	rng     *rand.Rand
	now     time.Duration
	waiting map[RequestID]bool
	held    map[RequestID]bool
	opening []ConnID
	closing int
	lastID  RequestID
}

// apply checks that only waiting requests get an action, and only one.
func (o *randomOps) apply(actions []Action) {
	for _, a := range slices.Clone(actions) {
		switch a.Kind {
		case ActionOpen:
			o.opening = append(o.opening, a.Conn)
		case ActionClose:
			o.closing++
		case ActionGrant, ActionContinue, ActionRefuse:
			assert.Assert(o.t, o.waiting[a.Request], "action %v for request %d, which does not wait", a.Kind, a.Request)
			assert.Assert(o.t, a.Kind != ActionRefuse || !o.held[a.Request], "statement of open transaction %d refused", a.Request)
			delete(o.waiting, a.Request)
			if a.Kind == ActionGrant {
				o.held[a.Request] = true
			}
		}
	}
}

// check compares the counts of the Dispatcher with its requests and connections.
func (o *randomOps) check() {
	running, resumed, transactions, queued := 0, 0, 0, 0
	held := map[string]int{}
	for _, r := range o.d.requests {
		switch r.state {
		case stateRunning:
			running++
			if r.resumed {
				resumed++
			}
		case stateWaitingForConn, stateWaitingForSlot:
			queued++
			assert.Assert(o.t, o.waiting[r.id], "request %d is forgotten", r.id)
		}
		if r.conn != nil {
			held[r.Customer]++
			if r.Transaction {
				transactions++
			}
		}
	}
	assert.Equal(o.t, o.d.slotsInUse, running+len(o.opening))
	assert.Equal(o.t, o.d.contention.resumedRunning, resumed)
	assert.Equal(o.t, o.d.contention.transactionConns, transactions)
	assert.Equal(o.t, o.d.closing, o.closing)
	assert.Equal(o.t, len(o.d.queue), queued)
	assert.Equal(o.t, len(o.waiting), queued)
	assert.Assert(o.t, o.d.slotsInUse <= o.d.slots())
	for customer, a := range o.d.accounts {
		assert.Equal(o.t, a.heldConns, held[customer])
	}
	for customer := range held {
		assert.Assert(o.t, o.d.accounts[customer] != nil, "the account of %s, which holds connections, is dropped", customer)
	}
}

func (o *randomOps) pick(m map[RequestID]bool) (RequestID, bool) {
	ids := make([]RequestID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0, false
	}
	slices.Sort(ids)
	return ids[o.rng.IntN(len(ids))], true
}

func (o *randomOps) step() {
	o.now += time.Duration(o.rng.IntN(8)) * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(1+o.rng.IntN(n)) * time.Millisecond }
	switch o.rng.IntN(9) {
	case 0, 1:
		o.lastID++
		o.waiting[o.lastID] = true
		o.apply(o.d.Request(o.now, o.lastID, Demand{
			Customer: fmt.Sprint(o.rng.IntN(6)), Priority: o.rng.IntN(5), Wait: ms(300), Target: o.now - ms(50) + ms(200),
			Deadline: o.now + ms(1000), Writes: o.rng.IntN(2) == 0, Transaction: o.rng.IntN(3) == 0,
		}))
	case 2:
		if id, ok := o.pick(o.waiting); ok {
			delete(o.waiting, id)
			o.apply(o.d.Cancel(o.now, id))
		}
	case 3, 4, 5:
		id, ok := o.pick(o.held)
		if !ok || o.waiting[id] {
			return
		}
		r := o.d.requests[id]
		switch {
		case r.Transaction && r.state == stateRunning && o.rng.IntN(2) == 0:
			o.apply(o.d.Yield(o.now, id))
		case r.state == stateIdleInTransaction && o.rng.IntN(2) == 0:
			o.waiting[id] = true
			o.apply(o.d.Resume(o.now, id))
		default:
			reuse := o.rng.IntN(4) != 0
			if !reuse {
				o.closing++
			}
			delete(o.held, id)
			o.apply(o.d.Finish(o.now, id, reuse))
		}
	case 6:
		if len(o.opening) == 0 {
			return
		}
		id := o.opening[0]
		o.opening = o.opening[1:]
		if o.rng.IntN(5) == 0 {
			o.apply(o.d.RecordOpenFailed(o.now, id, []verdict.Reason{verdict.ConnectionLimit, verdict.ConnectionLost}[o.rng.IntN(2)]))
		} else {
			o.apply(o.d.RecordOpened(o.now, id))
		}
	case 7:
		if o.closing > 0 {
			o.closing--
			o.apply(o.d.RecordClosed(o.now))
		}
	case 8:
		o.apply(o.d.DropIdle(o.now, 100*time.Millisecond))
		o.d.Load(o.now)
	}
}

// Guards against counts that drift, and against waiting requests that get no action or
// two, when requests are cancelled, refused, expire, or lose their connection.
func TestContentionCountsUnderRandomOps(t *testing.T) {
	for seed := range uint64(20) {
		o := &randomOps{
			t: t, rng: rand.New(rand.NewPCG(seed, 1)), waiting: map[RequestID]bool{}, held: map[RequestID]bool{},
			d: NewDispatcher(Settings{Slots: 1 + int(seed%4), Connections: 3 + int(seed%7), Scheduling: EarliestTarget}),
		}
		for range 3000 {
			o.step()
			o.check()
		}
	}
}
