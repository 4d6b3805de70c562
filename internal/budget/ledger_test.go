package budget

import (
	"math"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const testMemory = 100 << 20

// book is what the oracle knows of one client.
type book struct {
	h    *holder
	busy bool
	// since is when the client last held nothing of the account in play.
	since time.Duration
}

func (b *book) connect(owner string) {
	idle := func() bool { return !b.busy }
	b.h = &holder{owner: owner, idle: idle, claim: idle}
}

// playLedger plays random reservations of a few customers and returns the first breach of
// what the accounts promise, by books of its own.
func playLedger(t *rapid.T, l *ledger) string {
	a := Account(rapid.IntRange(0, int(accounts)-1).Draw(t, "account"))
	// The bounds stand here once more, apart from the rules of the ledger.
	limit := map[Account]int64{Input: 8 << 20, State: 8 << 20, Statements: 12 << 20, Answers: 8 << 20, Peers: 6 << 20}[a]
	ownerLimit := map[Account]int64{Input: limit * 3 / 4, State: limit / 2, Statements: limit * 3 / 4, Answers: limit * 3 / 4, Peers: limit}[a]
	minAge := map[Account]time.Duration{Input: 250 * time.Millisecond, Answers: time.Second, Peers: 250 * time.Millisecond}[a]
	var books []*book
	for i := range 8 {
		b := &book{}
		b.connect([]string{"a", "b", "c"}[i%3])
		books = append(books, b)
	}
	now := time.Duration(0)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
		b := books[rapid.IntRange(0, len(books)-1).Draw(t, "who")]
		n := int64(rapid.IntRange(1, 8).Draw(t, "size")) << 19
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			l.release(b.h, a, n)
			continue
		case 1:
			b.busy = !b.busy
			continue
		}
		held := b.h.held[a]
		heldBefore := map[*holder]int64{}
		for _, o := range books {
			heldBefore[o.h] = o.h.held[a]
		}
		closed, ok := l.reserve(now, b.h, a, n)
		if ok && held == 0 {
			b.since = now
		}
		for _, v := range closed {
			for _, o := range books {
				switch {
				case o.h != v:
				case o == b:
					return "closed for itself"
				case a == Statements:
					return "closed although statements end by themselves"
				case a == State && o.busy:
					return "closed a busy session for its state"
				case a == State && heldBefore[v] < 4*(held+n):
					return "closed a session with little state"
				case now-o.since < minAge:
					return "closed a holder that is not slow"
				}
			}
		}
		for _, o := range books {
			if o.h.closed {
				o.connect(o.h.owner)
			}
		}
		var used int64
		owners := map[string]int64{}
		for _, o := range books {
			used += o.h.held[a]
			owners[o.h.owner] += o.h.held[a]
		}
		for _, o := range owners {
			if o > ownerLimit+1 {
				return "one customer holds more than its share"
			}
		}
		if used > limit+1 || used != l.used[a] {
			return "the account is over its limit, or its sum is wrong"
		}
		if !ok && held+n <= ownerLimit && used+n <= limit && owners[b.h.owner]+n <= ownerLimit {
			return "refused although there was room"
		}
	}
	return ""
}

// Guards against accounts that grow over their limits, lose track of what is held, let one
// customer take all, or close a session that behaves.
func TestLedgerKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if breach := playLedger(t, newLedger(testMemory)); breach != "" {
			t.Fatal(breach)
		}
	})
}

// Guards against an oracle that notices nothing: without a rule of the ledger it must
// find a breach.
func TestLedgerOracleNoticesMissingRules(t *testing.T) {
	original := rules
	defer func() { rules = original }()
	for name, remove := range map[string]func(r *rule){
		"limit":       func(r *rule) { r.share *= 2 },
		"owner share": func(r *rule) { r.ownerShare = 1 },
		"age":         func(r *rule) { r.minAge = 0 },
		"idle":        func(r *rule) { r.idleOnly = false },
		"ratio":       func(r *rule) { r.minRatio = math.SmallestNonzeroFloat64 },
	} {
		rules = original
		for a := range rules {
			remove(&rules[a])
		}
		found := false
		rapid.Check(t, func(t *rapid.T) { found = found || playLedger(t, newLedger(testMemory)) != "" })
		assert.Check(t, found, "without the rule %q no breach was found", name)
	}
}

// Guards against a crowd of idle sessions with much state that keeps a session with little
// state out, and against customers that lose their share when the owner is known late.
func TestLargestHolderMakesRoom(t *testing.T) {
	l := newLedger(testMemory)
	idle := func() bool { return true }
	var crowd []*holder
	for i := range 8 {
		h := &holder{owner: []string{"a", "b"}[i%2], idle: idle, claim: idle}
		_, ok := l.reserve(0, h, State, 1<<20)
		assert.Assert(t, ok)
		crowd = append(crowd, h)
	}
	small := &holder{owner: "10.0.0.1", idle: idle, claim: idle}
	l.setOwner(small, "c")
	_, ok := l.reserve(0, &holder{owner: "c", idle: idle, claim: idle}, State, 1<<20)
	assert.Assert(t, !ok, "a large newcomer replaced an equal one")
	closed, ok := l.reserve(0, small, State, 20<<10)
	assert.Assert(t, ok)
	assert.Equal(t, len(closed), 1)
	assert.Equal(t, closed[0].held[State], int64(0))
	l.release(closed[0], State, 1<<20)
	assert.Equal(t, l.used[State], int64(7<<20+20<<10))
	assert.Equal(t, len(crowd), 8)
}

// Guards against a session that is closed for its state after a statement has arrived,
// which would run and lose its answer.
func TestStatementBeatsClose(t *testing.T) {
	var l *ledger
	victim := &Lease{}
	victim.h = holder{owner: "a", idle: func() bool { return victim.activity.Load() == activityIdle }}
	victim.h.claim = func() bool {
		assert.Assert(t, victim.SetBusy(true)) // the statement arrives after the choice
		return victim.activity.CompareAndSwap(activityIdle, activityClosing)
	}
	l = newLedger(testMemory)
	_, ok := l.reserve(0, &victim.h, State, 4<<20)
	assert.Assert(t, ok)
	closed, ok := l.reserve(0, &holder{owner: "a"}, State, 20<<10)
	assert.Assert(t, !ok && len(closed) == 0)

	b := New(testMemory, func() time.Duration { return 0 }, &log.Logger{Level: log.PanicLevel}, telemetry.NewCounters())
	isClosed := false
	idle := b.Open("a", func() { isClosed = true })
	assert.Assert(t, idle.Reserve(State, 4<<20))
	assert.Assert(t, b.Open("a", nil).Reserve(State, 20<<10))
	assert.Assert(t, isClosed)
	assert.Assert(t, !idle.SetBusy(true), "a statement began on a closed session")
}
