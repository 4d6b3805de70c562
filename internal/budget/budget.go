package budget

import (
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const (
	// SmallBytes is the size up to which a buffer needs no reservation. It is covered by
	// the limit on connections.
	SmallBytes = 8 << 10
	// connectionBytes is the memory counted for one client connection, with its stacks
	// and its small buffers.
	connectionBytes = 16 << 10
	// connectionShare is the share of the memory limit for connections.
	connectionShare = 0.3
	// RuntimeShare is the share of the process's memory limit that is set as the soft
	// limit of the Go runtime. The rest is for buffers of the kernel and the C library.
	RuntimeShare = 0.7
	// assumedMemoryBytes is the memory limit of a process without any.
	assumedMemoryBytes = 2 << 30
	// logInterval is the time between two log lines of one kind.
	logInterval = time.Second
)

// ProcessMemory returns the memory limit of the process in bytes that follows from the
// soft limit of the Go runtime, which the variable GOMEMLIMIT sets. known is false without
// that; the limit is then an assumption.
func ProcessMemory() (limit int64, known bool) {
	if soft := debug.SetMemoryLimit(-1); soft < math.MaxInt64 {
		return int64(float64(soft) / RuntimeShare), true
	}
	return assumedMemoryBytes, false
}

// MaxConnections returns how many client connections a process with the memory limit may
// have.
func MaxConnections(memoryBytes int64) int {
	return int(connectionShare * float64(memoryBytes) / connectionBytes)
}

// Budget is the memory budget of one process. It is safe for concurrent use.
type Budget struct {
	clock    clock.Clock
	log      *log.Logger
	counters *telemetry.Counters

	mu     sync.Mutex
	ledger *ledger
	logs   logLimiter
}

// New returns the budget of a process with the memory limit.
func New(memoryBytes int64, c clock.Clock, l *log.Logger, counters *telemetry.Counters) *Budget {
	return &Budget{clock: c, log: l, counters: counters, ledger: newLedger(memoryBytes), logs: logLimiter{}}
}

// SetMemory changes the memory limit. What is held already stays. It has no effect on a
// nil Budget.
func (b *Budget) SetMemory(memoryBytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.setMemory(memoryBytes)
}

// Lease is the part of the budget that one connection uses. A nil Lease has no limits.
type Lease struct {
	b        *Budget
	h        holder
	activity atomic.Int32
}

// The values of Lease.activity.
const (
	activityIdle int32 = iota
	activityBusy
	// activityClosing means that the idle session was chosen to be closed for its state.
	activityClosing
)

// Open returns the lease of a connection. owner is its customer or address; closeConn
// closes the connection and must not block. A nil Budget returns a nil Lease.
func (b *Budget) Open(owner string, closeConn func()) *Lease {
	if b == nil {
		return nil
	}
	l := &Lease{b: b}
	l.h.owner, l.h.close = owner, closeConn
	l.h.idle = func() bool { return l.activity.Load() == activityIdle }
	l.h.claim = func() bool { return l.activity.CompareAndSwap(activityIdle, activityClosing) }
	return l
}

// Reserve takes n bytes of the account, and reports whether they were available.
func (l *Lease) Reserve(a Account, n int) bool {
	if l == nil || n <= 0 {
		return true
	}
	now := l.b.clock()
	l.b.mu.Lock()
	closed, ok := l.b.ledger.reserve(now, &l.h, a, int64(n))
	l.b.mu.Unlock()
	for _, h := range closed {
		l.b.record(now, a, "closed", h, 0)
	}
	if !ok {
		l.b.record(now, a, "refused", &l.h, n)
	}
	return ok
}

// record counts and logs that a holder was closed or refused, and closes it.
func (b *Budget) record(now time.Duration, a Account, what string, h *holder, wanted int) {
	b.counters.Add("memory_"+rules[a].name+"_"+what, 1)
	if what == "closed" {
		h.close()
	}
	b.mu.Lock()
	used, limit, owner := b.ledger.used[a], b.ledger.limits[a], h.owner
	unlogged, write := b.logs.allow(now, rules[a].name)
	b.mu.Unlock()
	if write {
		b.log.Warn().Str("account", rules[a].name).Str("action", what).Str("owner", owner).Int("wanted", wanted).
			Int64("used", used).Int64("limit", limit).Int64("unlogged", unlogged).Msg("memory account full")
	}
}

// RecordClosed counts and logs that the connection of an owner was closed for the reason,
// which is the name of the counter. It has no effect on a nil Budget.
func (b *Budget) RecordClosed(reason, owner string) {
	if b == nil {
		return
	}
	b.counters.Add(reason, 1)
	now := b.clock()
	b.mu.Lock()
	unlogged, write := b.logs.allow(now, reason)
	b.mu.Unlock()
	if write {
		b.log.Warn().Str("reason", reason).Str("owner", owner).Int64("unlogged", unlogged).Msg("client connection closed")
	}
}

// logLimiter allows one log line of a kind in each logInterval and counts the others.
type logLimiter map[string]*logState

type logState struct {
	last     time.Duration
	unlogged int64
}

// allow reports whether a line may be written, and how many of its kind were not written
// since the last one.
func (l logLimiter) allow(now time.Duration, kind string) (unlogged int64, ok bool) {
	s, known := l[kind]
	if !known {
		s = &logState{}
		l[kind] = s
	}
	if known && now-s.last < logInterval {
		s.unlogged++
		return 0, false
	}
	unlogged, s.unlogged, s.last = s.unlogged, 0, now
	return unlogged, true
}

// Release gives n bytes of the account back.
func (l *Lease) Release(a Account, n int) {
	if l == nil || n <= 0 {
		return
	}
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.ledger.release(&l.h, a, int64(n))
}

// SetOwner changes the owner, once the customer is known.
func (l *Lease) SetOwner(owner string) {
	if l == nil {
		return
	}
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if l.h.owner != owner {
		l.b.ledger.setOwner(&l.h, owner)
	}
}

// SetBusy records whether a statement or a transaction is under way. It returns false if
// the idle session is being closed for its state; nothing may run on it then.
func (l *Lease) SetBusy(busy bool) bool {
	if l == nil {
		return true
	}
	from, to := activityBusy, activityIdle
	if busy {
		from, to = to, from
	}
	return l.activity.CompareAndSwap(from, to) || l.activity.Load() == to
}

// Close gives everything back.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.ledger.drop(&l.h)
	l.h.closed = true
}
