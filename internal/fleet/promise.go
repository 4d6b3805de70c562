package fleet

import "time"

// promiseToSend returns the duration of the promise in an attestation made now,
// 0 for none. A host promises when the store has not answered for promiseAfter
// and no take-over of a minter role by this host is pending.
func (f *Fleet) promiseToSend(now time.Duration) time.Duration {
	if w := f.roles.pendingWrite; w != nil && w.takeover && w.role.minter {
		return 0
	}
	if now-f.lastStoreAnswerAt < promiseAfter {
		return 0
	}
	return promiseDuration(f.hostCount())
}

// mayTakeOverMinter reports whether this host may take over a minter role now:
// none of its promises is in effect, and its quiet period is over. The quiet
// period covers promises made by an earlier process of this host.
func (f *Fleet) mayTakeOverMinter(now time.Duration) bool {
	if f.disabled.skipQuietPeriod {
		return now >= f.promisedUntil
	}
	return now >= f.promisedUntil && now >= f.startedAt+promiseDuration(f.hostCount())
}

// zonePromiseEnd returns the time until which every other host of this host's
// zone has promised not to take over minter roles, 0 if one of them has not. A
// refused connection counts as a promise, because a process that starts later
// observes the quiet period.
func (f *Fleet) zonePromiseEnd(now time.Duration) time.Duration {
	until := now + longPromise
	for _, h := range f.config.document.Inventory.Hosts {
		p := f.records[h.Name]
		if h.Zone != f.self.Zone || p == f.selfRecord {
			continue
		}
		if p == nil || !p.promised && !p.refused {
			return 0
		}
		var end time.Duration
		if p.promised {
			end = p.promisedAt + withoutMargin(p.promisedFor)
		}
		if p.refused { // a new process observes a quiet period of at least the short promise
			end = max(end, p.refusedAt+withoutMargin(shortPromise))
		}
		until = min(until, end)
	}
	return until
}

// expireMinting ends the protection of minter roles whose mintUntil has passed.
// It runs before every input: a promise that arrives later does not exclude a
// take-over in the gap.
func (f *Fleet) expireMinting(now time.Duration) {
	for _, r := range f.roles.sorted {
		if r.protected && (!r.held || now >= r.mintUntil) {
			r.protected = false
		}
	}
}

// extendMinting extends the minting of roles that were held under a live lease
// and have been protected without a gap since, first by the lease and then by
// promises.
func (f *Fleet) extendMinting(now time.Duration) {
	if f.config.document == nil {
		return
	}
	promised := f.zonePromiseEnd(now)
	for _, r := range f.roles.sorted {
		if !r.held || !r.minter {
			continue
		}
		if f.holdsUnderLiveLease(now, r) {
			r.protected, r.mintUntil = true, max(r.mintUntil, f.lease.until)
		}
		if r.protected && r.zone == f.self.Zone {
			r.mintUntil = max(r.mintUntil, promised)
		}
	}
}

// MayMint reports whether this host holds the minter role and may issue tokens
// for it: its lease is live, or every other host of the zone has promised not
// to take over the role, without a gap since the lease was live.
func (f *Fleet) MayMint(now time.Duration, name string) bool {
	r, ok := f.roles.byName[name]
	if !ok || !r.held || f.stopped {
		return false
	}
	if f.holdsUnderLiveLease(now, r) || f.disabled.skipPromise {
		return true
	}
	return r.protected && now < r.mintUntil && !f.leaving && !f.lease.releaseRequested
}
