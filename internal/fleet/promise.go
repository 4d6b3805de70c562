package fleet

import "time"

// promises returns the length of the promise that a statement made now carries,
// 0 for none. A host promises while the store has not answered for a while and
// no take-over of a minter role is unsettled.
func (f *Fleet) promises(now time.Duration) time.Duration {
	if w := f.roles.pending; w != nil && w.takeover && w.role.rate {
		return 0
	}
	if now-f.lastStoreOK < promiseAfter {
		return 0
	}
	return promiseDuration(f.hosts())
}

// mayTakeMinter reports whether this host may take a minter role over now: it
// has promised nothing that still holds, and its quiet period is over. The quiet
// period covers promises that an earlier process of this host has made.
func (f *Fleet) mayTakeMinter(now time.Duration) bool {
	if f.guards.noQuietPeriod {
		return now >= f.promisedUntil
	}
	return now >= f.promisedUntil && now >= f.start+promiseDuration(f.hosts())
}

// cover returns the moment until which every other host of the own zone has
// promised not to take minter roles over. A refused connection counts as a
// promise, because a process that starts later observes the quiet period.
func (f *Fleet) cover(now time.Duration) time.Duration {
	until := now + longPromise
	for _, h := range f.conf.document.Inventory.Hosts {
		p := f.records[h.Name]
		if h.Zone != f.self.Zone || p == f.me {
			continue
		}
		if p == nil || !p.promised && !p.refused {
			return 0
		}
		var end time.Duration
		if p.promised {
			end = p.promisedAt + withoutMargin(p.promisedFor)
		}
		if p.refused { // observes a quiet period of at least the short promise
			end = max(end, p.refusedAt+withoutMargin(shortPromise))
		}
		until = min(until, end)
	}
	return until
}

// expireMinting ends the minting of roles whose cover has run out. It runs
// before every input: a promise that arrives later says nothing about a
// take-over in the gap.
func (f *Fleet) expireMinting(now time.Duration) {
	for _, r := range f.roles.order {
		if r.covered && (!r.held || now >= r.mintUntil) {
			r.covered = false
		}
	}
}

// extendMinting prolongs the minting of the roles that were held under a live
// lease and have been covered ever since, first by the lease and then by
// promises.
func (f *Fleet) extendMinting(now time.Duration) {
	if f.conf.document == nil {
		return
	}
	promised := f.cover(now)
	for _, r := range f.roles.order {
		if !r.held || !r.rate {
			continue
		}
		if f.holdsLive(now, r) {
			r.covered, r.mintUntil = true, max(r.mintUntil, f.lease.until)
		}
		if r.covered && r.zone == f.self.Zone {
			r.mintUntil = max(r.mintUntil, promised)
		}
	}
}

// MayMint reports whether the role is held here and either the lease is live or
// every other host of the zone has promised, without a gap since the lease was
// live, not to take the role over.
func (f *Fleet) MayMint(now time.Duration, name string) bool {
	r, ok := f.roles.byName[name]
	if !ok || !r.held || f.stopped {
		return false
	}
	if f.holdsLive(now, r) || f.guards.noPromise {
		return true
	}
	return r.covered && now < r.mintUntil && !f.leaving && !f.lease.giveUp
}
