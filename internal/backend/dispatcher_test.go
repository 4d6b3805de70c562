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

func (b *dispatcherHarness) apply(actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		switch a.Kind {
		case ActionOpen:
			b.opening[a.Conn] = a.Customer
			b.openCount++
		case ActionClose:
			delete(b.owner, a.Conn)
			b.closing++
		case ActionGrant:
			b.granted[a.Request], b.running[a.Request] = a.Conn, true
		case ActionContinue:
			b.running[a.Request] = true
		case ActionRefuse:
			b.refused[a.Request] = a.Reason
		}
	}
}

func (b *dispatcherHarness) completeOpensAndCloses() {
	for len(b.opening) > 0 || b.closing > 0 {
		for id, customer := range b.opening {
			delete(b.opening, id)
			b.owner[id] = customer
			b.apply(b.d.RecordOpened(b.now, id))
		}
		for ; b.closing > 0; b.closing-- {
			b.apply(b.d.RecordClosed(b.now))
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
		b := newDispatcherHarness(settings)
		customers := []string{"a", "b", "c", "d"}
		customerOf := map[RequestID]string{}
		var next RequestID
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			b.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond
			var held []RequestID
			for id := range b.granted {
				held = append(held, id)
			}
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0 || len(held) == 0:
				next++
				customerOf[next] = rapid.SampledFrom(customers).Draw(t, "customer")
				b.apply(b.d.Request(b.now, next, customerOf[next], rapid.IntRange(0, 2).Draw(t, "priority"), longWait))
			case step == 1:
				b.completeOpensAndCloses()
			default:
				id := held[0]
				for _, x := range held {
					id = min(id, x)
				}
				if b.running[id] && step == 2 {
					delete(b.running, id)
					b.apply(b.d.Yield(b.now, id))
				} else if !b.running[id] && step == 3 {
					b.apply(b.d.Resume(b.now, id))
				} else {
					reuse := step != 4
					if !reuse {
						delete(b.owner, b.granted[id])
						b.closing++
					}
					delete(b.granted, id)
					delete(b.running, id)
					b.apply(b.d.Finish(b.now, id, reuse))
				}
			}
			for id, conn := range b.granted {
				if b.owner[conn] != customerOf[id] {
					t.Fatalf("request of customer %s was granted a connection of customer %q", customerOf[id], b.owner[conn])
				}
			}
			if n := len(b.owner) + len(b.opening) + b.closing; n > settings.Connections-ReservedConnections {
				t.Fatalf("%d connections", n)
			}
			if n := len(b.running) + len(b.opening); n > settings.Slots+extraStatements {
				t.Fatalf("%d slots in use", n)
			}
		}
	})
}

// Guards against a customer that sends many times its usual load and delays
// another customer by its long queue.
func TestDispatcherSharesSlotsBetweenCustomers(t *testing.T) {
	b := newDispatcherHarness(Settings{Slots: 1, Connections: 12})
	for id := RequestID(1); id <= 40; id++ {
		b.apply(b.d.Request(b.now, id, "hot", 1, longWait))
	}
	b.completeOpensAndCloses()
	b.apply(b.d.Request(b.now, 100, "calm", 1, longWait))
	b.completeOpensAndCloses()
	served := 0
	for !b.running[100] {
		var done RequestID
		for id := range b.running {
			if done == 0 || id < done {
				done = id
			}
		}
		b.now += 10 * time.Millisecond
		delete(b.running, done)
		delete(b.granted, done)
		b.apply(b.d.Finish(b.now, done, true))
		b.completeOpensAndCloses()
		served++
		assert.Assert(t, served < 6, "%d statements of the other customer ran first", served)
	}
}

// Guards against a request that is refused only after it has waited for longer
// than is useful.
func TestDispatcherRefusesWhenExpectedWaitIsTooLong(t *testing.T) {
	b := newDispatcherHarness(Settings{Slots: 1, Connections: 12})
	b.apply(b.d.Request(b.now, 1, "a", 1, longWait))
	b.completeOpensAndCloses()
	b.now += 100 * time.Millisecond
	delete(b.running, 1)
	b.apply(b.d.Finish(b.now, 1, true)) // the mean is now 100 ms
	for id := RequestID(2); id < 12; id++ {
		b.apply(b.d.Request(b.now, id, "a", 1, longWait))
	}
	b.completeOpensAndCloses()
	b.apply(b.d.Request(b.now, 50, "a", 1, 100*time.Millisecond))
	assert.Equal(t, b.refused[50], verdict.DeadlineExpected)
	// A more urgent request goes before the others.
	b.apply(b.d.Request(b.now, 51, "a", 0, 100*time.Millisecond))
	assert.Equal(t, b.refused[51], verdict.Reason(""))
}

// Guards against a home host that keeps opening connections which the server
// rejects, because a former home host still holds some, instead of reusing its
// own.
func TestDispatcherLowersBudgetAfterRejectedConnection(t *testing.T) {
	b := newDispatcherHarness(Settings{Slots: 2, Connections: 12})
	b.apply(b.d.Request(b.now, 1, "a", 1, longWait))
	b.completeOpensAndCloses()
	delete(b.running, 1)
	b.apply(b.d.Finish(b.now, 1, true))
	b.apply(b.d.Request(b.now, 2, "b", 1, longWait))
	for id := range b.opening {
		delete(b.opening, id)
		b.apply(b.d.RecordOpenFailed(b.now, id, verdict.ConnectionLimit))
	}
	assert.Equal(t, b.refused[2], verdict.ConnectionLimit)
	b.apply(b.d.Request(b.now, 3, "b", 1, longWait))
	assert.Equal(t, b.closing, 1) // a's idle connection makes room
	b.completeOpensAndCloses()
	assert.Assert(t, b.running[3])
}
