package fleet

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// lease is the own host lease. The row is renewed by compare-and-swap; the
// lease runs from before the renewing request was sent.
type lease struct {
	// until is the end of the granted lease; 0 before the first grant.
	until time.Duration
	// burnt is set once the lease of the current incarnation has lapsed. It is
	// cleared only under a new incarnation.
	burnt bool
	// firstUntil bounds the validity of the first write of an incarnation,
	// which may be granted without this host knowing it.
	firstUntil time.Duration

	everHeld bool
	giveUp   bool // the lease is to be ended in the store
	givenUp  bool
	revision store.Revision
	read     bool // revision is the row's, as far as known
	counter  uint64
	written  hostRow // last write sent
	sentAt   time.Duration
	reading  bool
	// ended are the incarnations of this process that have lapsed.
	ended map[uint64]bool
}

// expire marks the lease as lapsed. It runs before every input, so that an
// answer that arrives after the end cannot revive the lease.
func (l *lease) expire(now time.Duration, g guards) {
	if g.noNewIncarnation {
		return
	}
	end := l.until
	if end == 0 {
		end = l.firstUntil
	}
	if end > 0 && now >= end {
		l.burnt = true
	}
}

func (f *Fleet) leaseLive(now time.Duration) bool {
	return now < f.lease.until && !f.lease.burnt
}

func (f *Fleet) ttl() time.Duration { return leaseTTL(f.hosts()) }

// renew reads the own row when its revision is unknown, and writes it otherwise.
func (f *Fleet) renew(now time.Duration) {
	l := &f.lease
	key := hostPrefix + f.self.Name
	if !l.read {
		l.reading = true
		f.send(DutyLease, now, StoreCall{Op: OpGet, Key: key})
		return
	}
	if l.burnt {
		f.newIncarnation(f.self.Incarnation + 1)
	}
	ttl := f.ttl()
	if l.giveUp {
		ttl = 0
		l.until = min(l.until, now)
	}
	l.counter++
	l.reading = false
	l.written = hostRow{
		Incarnation: f.self.Incarnation, Counter: l.counter, TTLMillis: ttl.Milliseconds(),
		Writer: f.writer, Address: f.self.Address, Zone: f.self.Zone,
	}
	l.sentAt = now
	if l.until == 0 && l.firstUntil == 0 {
		l.firstUntil = now + ttl
	}
	f.send(DutyLease, now, StoreCall{Op: OpCompareAndSwap, Key: key, Expect: l.revision, Value: encode(l.written)})
}

// newIncarnation starts over under a higher incarnation.
func (f *Fleet) newIncarnation(n uint64) {
	l := &f.lease
	if l.ended == nil {
		l.ended = map[uint64]bool{}
	}
	l.ended[f.self.Incarnation] = true
	l.burnt, l.until, l.firstUntil = false, 0, 0
	f.self.Incarnation = n
	f.me.identify(f.self)
	f.me.leaving, f.me.version = f.leaving, f.conf.known
	f.me.restate()
}

func (f *Fleet) leaseDone(now time.Duration, in StoreDone) {
	l := &f.lease
	switch {
	case in.Outcome == Unknown && f.guards.noReadBack, in.Outcome == Unknown && l.reading:
		f.fail(DutyLease, now)
	case in.Outcome == Unknown, in.Outcome == Conflict:
		l.read = false
		f.fail(DutyLease, now)
	case l.reading:
		f.ownRowRead(now, in)
	default:
		l.revision = in.Revision
		f.leaseGranted(now)
	}
}

// leaseGranted takes the last write as in effect.
func (f *Fleet) leaseGranted(now time.Duration) {
	l := &f.lease
	f.succeed(DutyLease, renewInterval(f.hosts()))
	if l.written.TTLMillis == 0 {
		l.until, l.givenUp = min(l.until, now), true
		f.duties[DutyLease].next = now + time.Hour // the process is about to exit
		return
	}
	from := l.sentAt
	if f.guards.leaseFromAnswer {
		from = now
	}
	until := from + l.written.ttl()
	if l.burnt || now >= until {
		l.burnt = !f.guards.noNewIncarnation
		f.duties[DutyLease].next = now
		return
	}
	if now >= l.until { // gained, not prolonged
		f.roles.evaluated = false
		f.changed()
	}
	l.until, l.everHeld = until, true
}

// ownRowRead settles a lost answer and detects another process under the same
// name.
func (f *Fleet) ownRowRead(now time.Duration, in StoreDone) {
	l := &f.lease
	var row store.Row
	if len(in.Rows) > 0 {
		row = in.Rows[0]
	}
	l.revision, l.read = row.Revision, true
	f.duties[DutyLease].next = now
	v := decodeRow[hostRow](row)
	switch {
	case row.Revision == 0:
	case v == l.written:
		f.leaseGranted(now)
	case v.Writer == f.writer: // an older write of this process
	case l.everHeld:
		f.stopped = true
		l.until = min(l.until, now)
		f.emit(Stop{v.Incarnation})
	case v.Incarnation >= f.self.Incarnation:
		f.newIncarnation(v.Incarnation + 1)
	}
}

// leaseView is what this host has seen of another host's lease.
type leaseView struct {
	row hostRow
	// firstSeen is when this host first saw the row's value.
	firstSeen time.Duration
	// raisedAt is when it first saw the incarnation, and olderTTL the longest
	// lease that an older incarnation may have.
	raisedAt time.Duration
	olderTTL time.Duration
}

func (f *Fleet) hostsScanned(now time.Duration, in StoreDone) {
	if in.Outcome != OK {
		f.fail(DutyHostScan, now)
		return
	}
	interval := hostScanSmall
	if f.hosts() > smallFleet {
		interval = hostScanLarge
	}
	f.succeed(DutyHostScan, interval)
	f.hostScan.sent, f.hostScan.done = f.duties[DutyHostScan].sent, true
	for _, r := range in.Rows {
		f.hostScan.after = max(f.hostScan.after, r.Revision)
		f.hostRowSeen(now, r)
	}
}

func (f *Fleet) hostRowSeen(now time.Duration, r store.Row) {
	name := r.Key[len(hostPrefix):]
	row := decodeRow[hostRow](r)
	if name != f.self.Name && row.TTLMillis > 0 {
		// The host list lags and may miss a host; a lease row has its address, too.
		f.addressSeen(name, row.Address, row.Zone)
	}
	v, ok := f.hostViews[name]
	if !ok {
		f.hostViews[name] = &leaseView{row: row, firstSeen: now, raisedAt: now, olderTTL: max(row.ttl(), f.ttl())}
		return
	}
	if row == v.row {
		return
	}
	if row.Incarnation > v.row.Incarnation {
		v.raisedAt, v.olderTTL = now, max(row.ttl(), v.row.ttl(), f.ttl())
	}
	v.row, v.firstSeen = row, now
}

// Lapsed reports whether the lease of the incarnation must have lapsed, for
// good. The row must still have been unchanged in a read sent after its time:
// until then the holder may have renewed it.
func (f *Fleet) Lapsed(now time.Duration, host string, incarnation uint64) bool {
	f.watching = now + watchDuration
	return f.lapsed(now, host, incarnation)
}

func (f *Fleet) lapsed(now time.Duration, host string, incarnation uint64) bool {
	if host == f.self.Name && (incarnation == f.self.Incarnation || f.lease.ended[incarnation]) {
		return f.lease.ended[incarnation]
	}
	v, ok := f.hostViews[host]
	if !ok || incarnation > v.row.Incarnation {
		return false
	}
	if f.guards.noLapseWait {
		return true
	}
	if incarnation < v.row.Incarnation {
		return now >= v.raisedAt+withMargin(v.olderTTL)
	}
	return v.row.TTLMillis == 0 || f.hostScan.sent >= v.firstSeen+withMargin(v.row.ttl())
}

// leased reports whether a host may hold a lease, as far as the store was read.
func (f *Fleet) leased(now time.Duration, host string) bool {
	v, ok := f.hostViews[host]
	return ok && !f.lapsed(now, host, v.row.Incarnation)
}
