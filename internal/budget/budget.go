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
	// defaultMemoryBytes is assumed without any memory limit.
	defaultMemoryBytes = 1 << 30
	// logInterval is the time between two log lines of one account. Those in between are
	// counted.
	logInterval = time.Second
)

// ProcessMemory returns the memory limit of the process in bytes that follows from the
// soft limit of the Go runtime, which the variable GOMEMLIMIT sets.
func ProcessMemory() int64 {
	if soft := debug.SetMemoryLimit(-1); soft < math.MaxInt64 {
		return int64(float64(soft) / RuntimeShare)
	}
	return defaultMemoryBytes
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
	// lastLog is the time of the last log line of each account, zero before the first,
	// and unlogged counts the events since.
	lastLog  [accounts]time.Duration
	unlogged [accounts]int64
}

// New returns the budget of a process with the memory limit.
func New(memoryBytes int64, c clock.Clock, l *log.Logger, counters *telemetry.Counters) *Budget {
	return &Budget{clock: c, log: l, counters: counters, ledger: newLedger(memoryBytes)}
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
	b    *Budget
	h    holder
	busy atomic.Bool
}

// Open returns the lease of a connection. owner is its customer or address; closeConn
// closes the connection and must not block. A nil Budget returns a nil Lease.
func (b *Budget) Open(owner string, closeConn func()) *Lease {
	if b == nil {
		return nil
	}
	l := &Lease{b: b}
	l.h.owner, l.h.close, l.h.idle = owner, closeConn, func() bool { return !l.busy.Load() }
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
	write := b.lastLog[a] == 0 || now-b.lastLog[a] >= logInterval
	unlogged := b.unlogged[a]
	if write {
		b.lastLog[a], b.unlogged[a] = now, 0
	} else {
		b.unlogged[a]++
	}
	b.mu.Unlock()
	if write {
		b.log.Warn().Str("account", rules[a].name).Str("action", what).Str("owner", owner).Int("wanted", wanted).
			Int64("used", used).Int64("limit", limit).Int64("unlogged", unlogged).Msg("memory account full")
	}
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

// SetBusy records whether a statement or a transaction is under way.
func (l *Lease) SetBusy(busy bool) {
	if l != nil {
		l.busy.Store(busy)
	}
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
