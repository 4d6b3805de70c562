package fleet

import "time"

const (
	// maxWritesPerSecond is the budget of the whole fleet for lease renewals, and
	// likewise for role writes and for the retries of one duty. The store handles
	// several hundred writes per second.
	maxWritesPerSecond = 200
	// renewIntervalsPerLease is the duration of a lease in renewal intervals. Two
	// renewals may fail.
	renewIntervalsPerLease = 3
	// minLargeFleetLease is the minimum lease duration of fleets with more than
	// shortPromiseMaxHosts hosts. The lease must outlast the arrival of the first
	// promises in a store outage: promiseAfter plus the age of attestations on
	// arrival. With a lease of 3 s at 150 hosts, 8 of 20 minters had a gap in a
	// simulated outage.
	minLargeFleetLease = 7 * time.Second
	// minRenewInterval is the lease renewal interval of a small fleet.
	minRenewInterval = time.Second
	// clockMarginPercent is the upper bound of the difference in rate between two
	// monotonic clocks.
	clockMarginPercent = 2

	// smallFleetHosts is the largest number of hosts at which every host polls the
	// pointer and the host rows itself.
	smallFleetHosts = 32

	// A promise keeps a host from taking over minter roles for this time after the
	// attestation that carries it. The quiet period of a new process has the same
	// duration. Fleets with more than shortPromiseMaxHosts hosts use longPromise,
	// because attestations of hosts in the same zone are up to 3.0 s old at 150
	// hosts and up to 3.5 s at 490.
	shortPromise         = 3 * time.Second
	longPromise          = 6 * time.Second
	shortPromiseMaxHosts = 100
	// promiseAfter is the time without an answer from the store after which a host
	// starts to promise. It must pass well before a lease of 3 s lapses.
	promiseAfter = time.Second

	pollInterval          = time.Second
	roleScanIntervalSmall = 500 * time.Millisecond
	roleScanIntervalLarge = time.Second
	hostScanIntervalSmall = 500 * time.Millisecond
	hostScanIntervalLarge = time.Second
	evaluateInterval      = 200 * time.Millisecond
	// hostScanExtension is how long a large fleet continues to scan the host rows
	// after the last reason to do so.
	hostScanExtension = 5 * time.Second
	// pollFallbackAge is the age of the last store-confirmed version above which a
	// host polls the pointer even if it is not one of the chosen pollers.
	pollFallbackAge = 3 * time.Second
	// claimDelayPerRank is the additional delay of a claim per rendezvous rank. It
	// keeps two hosts from claiming the same role at the same time in most cases.
	claimDelayPerRank = 500 * time.Millisecond
	// fallbackDelay is the delay before hosts of other zones claim a zone's roles.
	// It lets hosts of the zone that start at the same time acquire their leases
	// first.
	fallbackDelay = time.Second
	// minLiveTimeForMove is how long a host must have been live before roles are
	// moved to it without urgency.
	minLiveTimeForMove = 5 * time.Second
	// rebalanceInterval is the minimum time between two moves that only spread
	// load.
	rebalanceInterval = 2 * time.Second

	probeInterval     = 1500 * time.Millisecond
	probeAfterSilence = 1500 * time.Millisecond
	maxProbesInFlight = 16
	// recordRetention is how long the record of a host outside the inventory is kept
	// after its last attestation.
	recordRetention = time.Minute

	backoffBase = 50 * time.Millisecond
	// minBackoffCap is the minimum of Fleet.maxBackoff.
	minBackoffCap = 2 * time.Second
)

func renewInterval(hosts int) time.Duration {
	return max(minRenewInterval, time.Duration(hosts)*time.Second/maxWritesPerSecond)
}

func leaseDuration(hosts int) time.Duration {
	ttl := renewIntervalsPerLease * renewInterval(hosts)
	if hosts > shortPromiseMaxHosts {
		ttl = max(ttl, minLargeFleetLease)
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

// exchangeSchedule returns the interval of heartbeat exchanges and the number
// of peers per round. With 2 peers every 500 ms, the oldest attestation at 490
// hosts was 5.0 s old in a simulated minute, which reaches the default
// key_grace.
func exchangeSchedule(hosts int) (time.Duration, int) {
	if hosts <= 100 {
		return 250 * time.Millisecond, 3
	}
	return 500 * time.Millisecond, 3
}

func promiseDuration(hosts int) time.Duration {
	if hosts <= shortPromiseMaxHosts {
		return shortPromise
	}
	return longPromise
}

// maxLiveAge returns the age of the newest attestation below which a host
// counts as live for ranking. It does not decide whether a lease has lapsed.
func maxLiveAge(hosts int) time.Duration {
	if hosts <= smallFleetHosts {
		return 1500 * time.Millisecond
	}
	return 6 * time.Second
}
