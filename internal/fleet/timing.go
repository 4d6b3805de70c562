package fleet

import "time"

const (
	// leasePerSecond is the number of lease renewals a second that the whole
	// fleet may send. The store takes several hundred writes a second.
	leasePerSecond = 200
	// leaseIntervals is the lease's duration in renew intervals, so that two
	// renewals may fail.
	leaseIntervals = 3
	// largeTTL is the least duration of a lease above promiseHosts. It has to
	// outlast the first promises in a store outage: promiseAfter plus the age
	// at which statements arrive. With 3 s at 150 hosts, 8 of 20 minters had a
	// gap in a simulated outage.
	largeTTL = 7 * time.Second
	// minRenew is the renew interval of a small fleet.
	minRenew = time.Second
	// clockMarginPercent bounds the difference in rate between two monotonic
	// clocks.
	clockMarginPercent = 2

	// smallFleet is the number of hosts up to which every host polls the
	// pointer and the host rows itself.
	smallFleet = 32

	// A promise is how long a host refrains from taking minter roles over
	// after a statement that carries one. It is also the quiet period of a
	// host that has just started. Above promiseHosts it is the long one,
	// because statements of zone mates are up to 3.0 s old at 150 hosts and
	// 3.5 s at 490.
	shortPromise = 3 * time.Second
	longPromise  = 6 * time.Second
	promiseHosts = 100
	// promiseAfter is the time without a store answer after which a host
	// starts to promise. It has to pass well before a lease of 3 s lapses.
	promiseAfter = time.Second

	pollInterval     = time.Second
	roleScanSmall    = 500 * time.Millisecond
	roleScanLarge    = time.Second
	hostScanSmall    = 500 * time.Millisecond
	hostScanLarge    = time.Second
	evaluateInterval = 200 * time.Millisecond
	// watchDuration is how long the host rows are scanned after the last
	// reason to do so.
	watchDuration = 5 * time.Second
	// selfPollAge is the age of the store-confirmed knowledge above which a
	// host polls the pointer although others are chosen to.
	selfPollAge = 3 * time.Second
	// claimStep delays the claim of each further rank, so that two hosts seldom
	// claim the same role at once.
	claimStep = 500 * time.Millisecond
	// fallbackDelay lets the hosts of a zone that start together with the
	// others gain their leases before its roles are claimed elsewhere.
	fallbackDelay = time.Second
	// settleTime is how long a host must have been live before roles are
	// moved to it.
	settleTime = 5 * time.Second
	// moveGap is the least time between two moves that only spread load.
	moveGap = 2 * time.Second

	probeInterval  = 1500 * time.Millisecond
	probeAfter     = 1500 * time.Millisecond
	probesInFlight = 16
	// forgetAfter is the age at which a host outside the inventory is dropped.
	forgetAfter = time.Minute

	backoffBase = 50 * time.Millisecond
	backoffCap  = 2 * time.Second
)

func renewInterval(hosts int) time.Duration {
	return max(minRenew, time.Duration(hosts)*time.Second/leasePerSecond)
}

func leaseTTL(hosts int) time.Duration {
	ttl := leaseIntervals * renewInterval(hosts)
	if hosts > promiseHosts {
		ttl = max(ttl, largeTTL)
	}
	return ttl
}

// withMargin lengthens a duration by the clock margin.
func withMargin(d time.Duration) time.Duration {
	return d + d*clockMarginPercent/100
}

// withoutMargin shortens a duration by the clock margin.
func withoutMargin(d time.Duration) time.Duration {
	return d * 100 / (100 + clockMarginPercent)
}

// beat returns the interval of the heartbeat exchange and the number of peers
// asked each time. With 2 peers every 500 ms the oldest statement at 490 hosts
// was 5.0 s old in a simulated minute, which is no less than key_grace.
func beat(hosts int) (time.Duration, int) {
	if hosts <= 100 {
		return 250 * time.Millisecond, 3
	}
	return 500 * time.Millisecond, 3
}

func promiseDuration(hosts int) time.Duration {
	if hosts <= promiseHosts {
		return shortPromise
	}
	return longPromise
}

// liveAge is the age of the newest statement up to which a host counts as live
// when roles are ranked. It decides no lapse.
func liveAge(hosts int) time.Duration {
	if hosts <= smallFleet {
		return 1500 * time.Millisecond
	}
	return 6 * time.Second
}
