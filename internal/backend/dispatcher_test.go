package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// dispatcherHarness drives a Dispatcher as a home host does. Connections are
// opened and statements end when the test calls for it.
type dispatcherHarness struct {
	d         *Dispatcher
	now       time.Duration
	opening   map[ConnID]string
	owner     map[ConnID]string
	granted   map[RequestID]ConnID
	running   map[RequestID]bool
	refused   map[RequestID]verdict.Reason
	closing   int
	openCount int
}

func newDispatcherHarness(s Settings) *dispatcherHarness {
	return &dispatcherHarness{
		d: NewDispatcher(s), opening: map[ConnID]string{}, owner: map[ConnID]string{}, granted: map[RequestID]ConnID{},
		running: map[RequestID]bool{}, refused: map[RequestID]verdict.Reason{},
	}
}

func (h *dispatcherHarness) apply(actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		switch a.Kind {
		case ActionOpen:
			h.opening[a.Conn] = a.Customer
			h.openCount++
		case ActionClose:
			delete(h.owner, a.Conn)
			h.closing++
		case ActionGrant:
			h.granted[a.Request], h.running[a.Request] = a.Conn, true
		case ActionContinue:
			h.running[a.Request] = true
		case ActionRefuse:
			h.refused[a.Request] = a.Reason
		}
	}
}

func (h *dispatcherHarness) completeOpensAndCloses() {
	for len(h.opening) > 0 || h.closing > 0 {
		for id, customer := range h.opening {
			delete(h.opening, id)
			h.owner[id] = customer
			h.apply(h.d.RecordOpened(h.now, id))
		}
		for ; h.closing > 0; h.closing-- {
			h.apply(h.d.RecordClosed(h.now))
		}
	}
}

const longWait = time.Hour

// Guards against a connection that serves a customer other than its own, more
// connections than the server accepts, and more statements than it has slots
// for.
func TestDispatcherRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Connections: rapid.IntRange(6, 12).Draw(t, "connections")}
		settings.Scheduling = rapid.SampledFrom([]Scheduling{LeastService, EarliestTarget}).Draw(t, "scheduling")
		h := newDispatcherHarness(settings)
		customers := []string{"a", "b", "c", "d"}
		customerOf := map[RequestID]string{}
		var next RequestID
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond
			var held []RequestID
			for id := range h.granted {
				held = append(held, id)
			}
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0 || len(held) == 0:
				next++
				customerOf[next] = rapid.SampledFrom(customers).Draw(t, "customer")
				h.apply(h.d.Request(h.now, next, Demand{Customer: customerOf[next], Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Wait: longWait}))
			case step == 1:
				h.completeOpensAndCloses()
			default:
				id := held[0]
				for _, x := range held {
					id = min(id, x)
				}
				if h.running[id] && step == 2 {
					delete(h.running, id)
					h.apply(h.d.Yield(h.now, id))
				} else if !h.running[id] && step == 3 {
					h.apply(h.d.Resume(h.now, id))
				} else {
					reuse := step != 4
					if !reuse {
						delete(h.owner, h.granted[id])
						h.closing++
					}
					delete(h.granted, id)
					delete(h.running, id)
					h.apply(h.d.Finish(h.now, id, reuse))
				}
			}
			for id, conn := range h.granted {
				if h.owner[conn] != customerOf[id] {
					t.Fatalf("request of customer %s was granted a connection of customer %q", customerOf[id], h.owner[conn])
				}
			}
			if n := len(h.owner) + len(h.opening) + h.closing; n > settings.Connections-ReservedConnections {
				t.Fatalf("%d connections", n)
			}
			if n := len(h.running) + len(h.opening); n > settings.Slots+extraStatements {
				t.Fatalf("%d slots in use", n)
			}
		}
	})
}

// Guards against a customer that sends many times its usual load, so that its
// long queue delays the requests of another customer.
func TestDispatcherSharesSlotsBetweenCustomers(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 1, Connections: 12})
	for id := RequestID(1); id <= 40; id++ {
		h.apply(h.d.Request(h.now, id, Demand{Customer: "hot", Priority: 1, Wait: longWait}))
	}
	h.completeOpensAndCloses()
	h.apply(h.d.Request(h.now, 100, Demand{Customer: "calm", Priority: 1, Wait: longWait}))
	h.completeOpensAndCloses()
	served := 0
	for !h.running[100] {
		var done RequestID
		for id := range h.running {
			if done == 0 || id < done {
				done = id
			}
		}
		h.now += 10 * time.Millisecond
		delete(h.running, done)
		delete(h.granted, done)
		h.apply(h.d.Finish(h.now, done, true))
		h.completeOpensAndCloses()
		served++
		assert.Assert(t, served < 6, "%d statements of the other customer ran first", served)
	}
}

// Guards against a request that is refused only after it has waited for longer
// than is useful.
func TestDispatcherRefusesWhenExpectedWaitIsTooLong(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 1, Connections: 12})
	h.apply(h.d.Request(h.now, 1, Demand{Customer: "a", Priority: 1, Wait: longWait}))
	h.completeOpensAndCloses()
	h.now += 100 * time.Millisecond
	delete(h.running, 1)
	h.apply(h.d.Finish(h.now, 1, true)) // the mean is now 100 ms
	for id := RequestID(2); id < 12; id++ {
		h.apply(h.d.Request(h.now, id, Demand{Customer: "a", Priority: 1, Wait: longWait}))
	}
	h.completeOpensAndCloses()
	h.apply(h.d.Request(h.now, 50, Demand{Customer: "a", Priority: 1, Wait: 100 * time.Millisecond}))
	assert.Equal(t, h.refused[50], verdict.DeadlineExpected)
	// A request of a more urgent priority is scheduled before the others.
	h.apply(h.d.Request(h.now, 51, Demand{Customer: "a", Priority: 0, Wait: 100 * time.Millisecond}))
	assert.Equal(t, h.refused[51], verdict.Reason(""))
}

// Guards against a home host that keeps opening connections which the server
// rejects, because a former home host still holds some, instead of reusing its
// own.
func TestDispatcherLowersBudgetAfterRejectedConnection(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 2, Connections: 12})
	h.apply(h.d.Request(h.now, 1, Demand{Customer: "a", Priority: 1, Wait: longWait}))
	h.completeOpensAndCloses()
	delete(h.running, 1)
	h.apply(h.d.Finish(h.now, 1, true))
	h.apply(h.d.Request(h.now, 2, Demand{Customer: "b", Priority: 1, Wait: longWait}))
	for id := range h.opening {
		delete(h.opening, id)
		h.apply(h.d.RecordOpenFailed(h.now, id, verdict.ConnectionLimit))
	}
	assert.Equal(t, h.refused[2], verdict.ConnectionLimit)
	h.apply(h.d.Request(h.now, 3, Demand{Customer: "b", Priority: 1, Wait: longWait}))
	assert.Equal(t, h.closing, 1) // a's idle connection makes room
	h.completeOpensAndCloses()
	assert.Assert(t, h.running[3])
}
