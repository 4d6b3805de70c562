package fleet

import "time"

// promises reports whether a statement made now carries a promise: the store
// has not answered for a while, and no take-over of a minter role is unsettled.
func (f *Fleet) promises(now time.Duration) bool {
	if w := f.roles.pending; w != nil && w.takeover && w.role.rate {
		return false
	}
	return now-f.lastStoreOK >= promiseAfter
}

// mayTakeMinter reports whether this host may take a minter role over now: it
// has promised nothing that still holds, and its quiet period is over. The quiet
// period covers promises that an earlier process of this host has made.
func (f *Fleet) mayTakeMinter(now time.Duration) bool {
	if f.guards.noQuietPeriod {
		return now >= f.promisedUntil
	}
	return now >= f.promisedUntil && now >= f.start+promiseDuration
}

// MayMint reports whether the role is held here and either the lease is live or
// every other host of the zone has promised not to take the role over. A
// refused connection counts as a promise, because a process that starts later
// observes the quiet period.
func (f *Fleet) MayMint(now time.Duration, name string) bool {
	r, ok := f.roles.byName[name]
	if !ok || !r.held || f.stopped {
		return false
	}
	if f.holdsLive(now, r) {
		return true
	}
	if r.zone != f.self.Zone || !f.lease.everHeld || f.leaving || f.lease.giveUp {
		return false
	}
	if f.guards.noPromise {
		return true
	}
	valid := withoutMargin(promiseDuration)
	for _, h := range f.conf.document.Inventory.Hosts {
		p := f.records[h.Name]
		if h.Zone != r.zone || p == f.me {
			continue
		}
		if p == nil || !(p.promised && now-p.promisedAt < valid || p.refused && now-p.refusedAt < valid) {
			return false
		}
	}
	return true
}
