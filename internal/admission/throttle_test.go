package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
)

// stream is the requests of one customer from one entry host.
type stream struct {
	Request
	rate           float64
	sent, accepted int
	due            time.Duration
}

// play sends streams to a home host that accepts up to capacity requests a second, and
// everything of the customer calm.
func play(t *Throttle, from, length time.Duration, capacity float64, streams ...*stream) {
	rng := rand.New(rand.NewPCG(3, 3))
	const step = time.Millisecond
	const queue = 3
	room := 0.0
	for now := from; now < from+length; now += step {
		room = min(room+capacity*step.Seconds(), queue)
		for _, s := range streams {
			if now < s.due {
				continue
			}
			s.due = now + time.Duration(float64(time.Second)/s.rate)
			if !t.Admit(now, s.Request, rng.Float64()) {
				continue
			}
			s.sent++
			calm := s.Customer == "calm"
			accepted := calm || room >= 1
			if accepted {
				if !calm {
					room--
				}
				s.accepted++
			}
			t.Record(now, s.Request, accepted)
		}
	}
}

// Answers a surge of one customer that its home host refuses: most of it must not reach
// the home host, what the home host can serve must, and another customer at the same
// server is not concerned.
func TestSurgeIsRefusedBeforeTheHop(t *testing.T) {
	hot := &stream{Request: Request{Server: "s", Customer: "hot", Priority: 1}, rate: 100}
	calm := &stream{Request: Request{Server: "s", Customer: "calm", Priority: 1}, rate: 5}
	play(NewThrottle(), 0, 20*time.Second, 10, hot, calm)
	assert.Assert(t, hot.sent < 1000, "%d of 2000 requests sent", hot.sent)
	assert.Assert(t, hot.accepted >= 190, "%d of 200 accepted", hot.accepted)
	assert.Equal(t, calm.sent, 100)
}

// Answers an overload by many customers with few requests each: the reported load shows it.
func TestOverloadedServerIsSpared(t *testing.T) {
	load := serverload.Load{Slots: 4, Running: 4, Waiting: 40, Wait: []time.Duration{time.Second}}
	var streams []*stream
	for i := range 50 {
		r := Request{Server: "s", Customer: string(rune('A' + i)), Wait: 200 * time.Millisecond, Load: load, LoadKnown: true}
		streams = append(streams, &stream{Request: r, rate: 2})
	}
	play(NewThrottle(), 0, 10*time.Second, 10, streams...)
	sent := 0
	for _, s := range streams {
		sent += s.sent
	}
	assert.Assert(t, sent < 500, "%d of 1000 requests sent", sent)
}

// Guards against a throttle that outlasts the overload: the home host has room again, or
// it has failed and its successor accepts.
func TestThrottleEndsWithOverload(t *testing.T) {
	throttle := NewThrottle()
	s := &stream{Request: Request{Server: "s", Customer: "c"}, rate: 100}
	play(throttle, 0, 5*time.Second, 0, s)
	r := s.Request
	assert.Assert(t, !throttle.Admit(5*time.Second, r, 0))
	// A report of free slots ends it at once, an old one does not.
	r.Load, r.LoadKnown = serverload.Load{Slots: 4, Running: 1}, true
	assert.Assert(t, throttle.Admit(5*time.Second, r, 0))
	r.LoadAge = time.Second
	assert.Assert(t, !throttle.Admit(5*time.Second, r, 0))
	// Without a report the share that is sent doubles with each window.
	s.sent = 0
	play(throttle, 5*time.Second, 5*time.Second, 1000, s)
	assert.Assert(t, s.sent > 300, "%d of 500 requests sent", s.sent)
	// Without requests it ends by itself.
	play(throttle, 10*time.Second, 5*time.Second, 0, s)
	assert.Assert(t, throttle.Admit(20*time.Second, s.Request, 0))
}

// Guards against requests that are refused because earlier ones of the same burst, which
// the home host accepts, have not been answered yet.
func TestUnansweredRequestsAreNotRefusals(t *testing.T) {
	throttle := NewThrottle()
	r := Request{Server: "s", Customer: "c", Wait: time.Second}
	for i := range 20 {
		assert.Assert(t, throttle.Admit(time.Duration(i)*time.Millisecond, r, 0), "request %d", i)
	}
	for range 20 {
		throttle.Record(200*time.Millisecond, r, true)
	}
	assert.Assert(t, throttle.Admit(200*time.Millisecond, r, 0))
}

// Guards against single statements that are refused with the transactions of their customer:
// these wait for connections while the server has free slots.
func TestRefusedTransactionsDoNotThrottleStatements(t *testing.T) {
	throttle := NewThrottle()
	load := serverload.Load{Slots: 4, Running: 1, Waiting: 5}
	single := Request{Server: "s", Customer: "c", Wait: time.Second, Load: load, LoadKnown: true}
	tx := single
	tx.Transaction = true
	for i := range 100 {
		throttle.Record(time.Duration(i)*time.Millisecond, tx, false)
	}
	assert.Assert(t, !throttle.Admit(100*time.Millisecond, tx, 0.5))
	assert.Assert(t, throttle.Admit(100*time.Millisecond, single, 0))
}

// Guards against a stated share of refusals that differs from the refusals, and against
// asking for it having an effect on them.
func TestRefusedShareIsThatOfAdmit(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	throttle := NewThrottle()
	refused := 0
	for i := range 20000 {
		now := time.Duration(i) * 3 * time.Millisecond
		r := Request{
			Server: string(rune('a' + rng.IntN(3))), Customer: string(rune('x' + rng.IntN(3))), Priority: rng.IntN(2), Transaction: rng.IntN(4) == 0,
			Wait: time.Duration(rng.IntN(100)) * time.Millisecond, LoadKnown: rng.IntN(2) == 0, LoadAge: time.Duration(rng.IntN(800)) * time.Millisecond,
			Load: serverload.Load{Slots: 4, Running: 3 + rng.IntN(2), Waiting: rng.IntN(3), Wait: []time.Duration{50 * time.Millisecond}},
		}
		before := map[key]counts{}
		for k, c := range throttle.counts {
			before[k] = *c
		}
		share := throttle.RefusedShare(now, r)
		assert.Equal(t, len(throttle.counts), len(before))
		for k, c := range throttle.counts {
			assert.Equal(t, *c, before[k])
		}
		random := rng.Float64()
		admitted := throttle.Admit(now, r, random)
		assert.Equal(t, admitted, random >= share, "request %d", i)
		if !admitted {
			refused++
			continue
		}
		throttle.Record(now, r, rng.IntN(8) == 0)
	}
	assert.Assert(t, refused > 1000 && refused < 19000, "%d", refused)
}
