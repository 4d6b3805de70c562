package fleet

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// lease is this host's own lease. Its row is renewed by compare-and-swap. The
// lease runs from the time just before the renewing request was sent.
type lease struct {
	// until is the end of the granted lease, 0 before the first grant.
	until time.Duration
	// lapsed is set once the lease of the current incarnation has lapsed. Only a
	// new incarnation clears it.
	lapsed bool
	// firstWriteUntil is the latest end of the lease granted by the first write of
	// an incarnation. The write may take effect although its answer is lost.
	firstWriteUntil time.Duration

	everHeld         bool
	releaseRequested bool // the lease is to be ended in the store
	released         bool
	revision         store.Revision
	// revisionKnown is false until the row has been read, and again after a write
	// that conflicted or whose answer was lost.
	revisionKnown bool
	counter       uint64
	lastWrite     hostRow // last row value sent
	writeSentAt   time.Duration
	readInFlight  bool
	// lapsedIncarnations holds the incarnations of this process whose lease has
	// lapsed.
	lapsedIncarnations map[uint64]bool
}

// expire marks the lease as lapsed when its end has passed. It runs before
// every input, so that a late answer cannot revive the lease.
func (l *lease) expire(now time.Duration, g disabledGuards) {
	if g.keepIncarnation {
		return
	}
	end := l.until
	if end == 0 {
		end = l.firstWriteUntil
	}
	if end > 0 && now >= end {
		l.lapsed = true
	}
}

func (f *Fleet) leaseLive(now time.Duration) bool {
	return now < f.lease.until && !f.lease.lapsed
}

func (f *Fleet) leaseTTL() time.Duration { return leaseDuration(f.hostCount()) }

// renewLease writes the own host row, or reads it first when its revision is
// unknown.
func (f *Fleet) renewLease(now time.Duration) {
	l := &f.lease
	key := hostPrefix + f.self.Name
	if !l.revisionKnown {
		l.readInFlight = true
		f.startStoreCall(DutyLease, now, StoreCall{Op: OpGet, Key: key})
		return
	}
	if l.lapsed {
		f.startIncarnation(f.self.Incarnation + 1)
	}
	ttl := f.leaseTTL()
	if l.releaseRequested {
		ttl = 0
		l.until = min(l.until, now)
	}
	l.counter++
	l.readInFlight = false
	l.lastWrite = hostRow{
		Incarnation: f.self.Incarnation, Counter: l.counter, TTLMillis: ttl.Milliseconds(),
		Writer: f.writer, Address: f.self.Address, Zone: f.self.Zone,
	}
	l.writeSentAt = now
	if l.until == 0 && l.firstWriteUntil == 0 {
		l.firstWriteUntil = now + ttl
	}
	f.startStoreCall(DutyLease, now, StoreCall{Op: OpCompareAndSwap, Key: key, Expect: l.revision, Value: encode(l.lastWrite)})
}

// startIncarnation resets the lease and starts a higher incarnation.
func (f *Fleet) startIncarnation(incarnation uint64) {
	l := &f.lease
	if l.lapsedIncarnations == nil {
		l.lapsedIncarnations = map[uint64]bool{}
	}
	l.lapsedIncarnations[f.self.Incarnation] = true
	l.lapsed, l.until, l.firstWriteUntil = false, 0, 0
	f.self.Incarnation = incarnation
	f.selfRecord.setIdentity(f.self)
	f.selfRecord.leaving, f.selfRecord.version = f.leaving, f.config.highestSeen
	f.selfRecord.updateDigest()
}

func (f *Fleet) handleLeaseDone(now time.Duration, in StoreDone) {
	l := &f.lease
	switch {
	case in.Outcome == OutcomeUnknown && f.disabled.skipReadBack, in.Outcome == OutcomeUnknown && l.readInFlight:
		f.scheduleRetry(DutyLease, now)
	case in.Outcome == OutcomeUnknown, in.Outcome == OutcomeConflict:
		l.revisionKnown = false
		f.scheduleRetry(DutyLease, now)
	case l.readInFlight:
		f.applyOwnRow(now, in)
	default:
		l.revision = in.Revision
		f.applyLeaseGrant(now)
	}
}

// applyLeaseGrant applies a lease write that is known to have taken effect.
func (f *Fleet) applyLeaseGrant(now time.Duration) {
	l := &f.lease
	f.scheduleNext(DutyLease, renewInterval(f.hostCount()))
	if l.lastWrite.TTLMillis == 0 {
		l.until, l.released = min(l.until, now), true
		f.duties[DutyLease].nextAt = now + time.Hour // the process is about to exit
		return
	}
	from := l.writeSentAt
	if f.disabled.leaseFromAnswer {
		from = now
	}
	until := from + l.lastWrite.ttl()
	if l.lapsed || now >= until {
		l.lapsed = !f.disabled.keepIncarnation
		f.duties[DutyLease].nextAt = now
		return
	}
	if now >= l.until { // newly acquired, not renewed
		f.roles.evaluated = false
		f.emitChanged()
	}
	l.until, l.everHeld = until, true
}

// applyOwnRow determines from the own host row whether a write with a lost
// answer took effect, and detects another process under the same host name.
func (f *Fleet) applyOwnRow(now time.Duration, in StoreDone) {
	l := &f.lease
	var row store.Row
	if len(in.Rows) > 0 {
		row = in.Rows[0]
	}
	l.revision, l.revisionKnown = row.Revision, true
	f.duties[DutyLease].nextAt = now
	v := decodeRow[hostRow](row)
	switch {
	case row.Revision == 0:
	case v == l.lastWrite:
		f.applyLeaseGrant(now)
	case v.Writer == f.writer: // an older write of this process
	case l.everHeld:
		f.stopped = true
		l.until = min(l.until, now)
		f.emit(Superseded{v.Incarnation})
	case v.Incarnation >= f.self.Incarnation:
		f.startIncarnation(v.Incarnation + 1)
	}
}

// observedLease is the lease of another host as read from the store.
type observedLease struct {
	row hostRow
	// valueSeenAt is when this host first read the current row value.
	valueSeenAt time.Duration
	// incarnationSeenAt is when this host first read the current incarnation, and
	// maxOlderTTL the longest lease that an older incarnation may still hold.
	incarnationSeenAt time.Duration
	maxOlderTTL       time.Duration
}

func (f *Fleet) handleHostScan(now time.Duration, in StoreDone) {
	if in.Outcome != OutcomeOK {
		f.scheduleRetry(DutyHostScan, now)
		return
	}
	interval := hostScanIntervalSmall
	if f.hostCount() > smallFleetHosts {
		interval = hostScanIntervalLarge
	}
	f.scheduleNext(DutyHostScan, interval)
	f.hostScan.sentAt, f.hostScan.completed = f.duties[DutyHostScan].sentAt, true
	for _, r := range in.Rows {
		f.hostScan.after = max(f.hostScan.after, r.Revision)
		f.applyHostRow(now, r)
	}
}

func (f *Fleet) applyHostRow(now time.Duration, r store.Row) {
	name := r.Key[len(hostPrefix):]
	row := decodeRow[hostRow](r)
	if name != f.self.Name && row.TTLMillis > 0 {
		// The host list lags and may lack a host; its lease row also has the address.
		f.setFallbackAddress(name, row.Address, row.Zone)
	}
	v, ok := f.observedLeases[name]
	if !ok {
		f.observedLeases[name] = &observedLease{row: row, valueSeenAt: now, incarnationSeenAt: now, maxOlderTTL: max(row.ttl(), f.leaseTTL())}
		return
	}
	if row == v.row {
		return
	}
	if row.Incarnation > v.row.Incarnation {
		v.incarnationSeenAt, v.maxOlderTTL = now, max(row.ttl(), v.row.ttl(), f.leaseTTL())
	}
	v.row, v.valueSeenAt = row, now
}

// LeaseLapsed reports whether the lease of the incarnation has certainly lapsed,
// and therefore stays lapsed. If the row has not been released, the lease
// duration, lengthened by the clock margin, must have passed since the current
// row value was first read, and a read sent after that must have found the value
// unchanged, because the holder may have renewed the lease in the meantime. For an
// incarnation older than that of the row, the longest lease that it may hold must
// have passed since the newer incarnation was first read. A call also extends the
// scan of the host rows.
func (f *Fleet) LeaseLapsed(now time.Duration, host string, incarnation uint64) bool {
	f.scanHostsUntil = now + hostScanExtension
	return f.leaseLapsed(now, host, incarnation)
}

func (f *Fleet) leaseLapsed(now time.Duration, host string, incarnation uint64) bool {
	if host == f.self.Name && (incarnation == f.self.Incarnation || f.lease.lapsedIncarnations[incarnation]) {
		return f.lease.lapsedIncarnations[incarnation]
	}
	v, ok := f.observedLeases[host]
	if !ok || incarnation > v.row.Incarnation {
		return false
	}
	if f.disabled.skipLapseWait {
		return true
	}
	if incarnation < v.row.Incarnation {
		return now >= v.incarnationSeenAt+withMargin(v.maxOlderTTL)
	}
	return v.row.TTLMillis == 0 || f.hostScan.sentAt >= v.valueSeenAt+withMargin(v.row.ttl())
}

// mayHoldLease reports whether a host may hold a lease according to the rows
// read so far.
func (f *Fleet) mayHoldLease(now time.Duration, host string) bool {
	v, ok := f.observedLeases[host]
	return ok && !f.leaseLapsed(now, host, v.row.Incarnation)
}
