package usage

import (
	"slices"
	"time"
)

const (
	// maxTimeSampleAge is the age up to which a reading of a host's clocks counts.
	maxTimeSampleAge = 30 * time.Second
	// anchorWait is how long a reporter without an earlier estimate waits for readings
	// of more than half of the hosts, and before the estimate is firm.
	anchorWait = 3 * time.Second
	// firmDivisor sets the share of the readings that may disagree when the estimate
	// becomes firm: at most 1/firmDivisor.
	firmDivisor = 4
	// maxSlewPerSecond bounds how fast the estimate follows the median.
	maxSlewPerSecond = time.Millisecond
	// stepThreshold is the difference between the estimate and the median from which on
	// the estimate is held, and stepAfter the time for which it must last before the
	// estimate steps to the median.
	stepThreshold = 500 * time.Millisecond
	stepAfter     = time.Minute
)

// timeOfDay estimates the true time as an offset to the clock of this host. The sources
// are the times of day of all hosts, each of which may jump by seconds; the median is
// not moved by a minority of them, and once the estimate is firm, no jump of the median
// that lasts less than stepAfter moves it by more than maxSlewPerSecond.
type timeOfDay struct {
	samples map[string]timeSample
	// offset is the estimate of the true time minus the clock of this host.
	offset     time.Duration
	anchored   bool
	adjustedAt time.Duration
	// firm is set once most hosts have agreed on the estimate, or windows were closed by
	// it. Until then it follows the median.
	firm bool
	// firstSampleAt is when the first reading arrived, disagreesSince the time since
	// which the median differs by more than stepThreshold, 0 if it does not.
	firstSampleAt, disagreesSince time.Duration
}

type timeSample struct {
	offset, at time.Duration
}

// record records the time of day of a host, as an offset to the clock of this host.
func (t *timeOfDay) record(now time.Duration, host string, offset time.Duration) {
	if len(t.samples) == 0 {
		t.samples, t.firstSampleAt = map[string]timeSample{}, now
	}
	t.samples[host] = timeSample{offset, now}
}

// anchor sets the estimate.
func (t *timeOfDay) anchor(now, offset time.Duration) {
	t.offset, t.anchored, t.adjustedAt, t.disagreesSince = offset, true, now, 0
}

// inherit adopts the estimate of an earlier reporter, which is known with an error of up
// to e, unless this host's own estimate agrees with it.
func (t *timeOfDay) inherit(now, offset, e time.Duration) {
	if !t.firm || (t.offset-offset).Abs() > e+stepThreshold/10 {
		t.anchor(now, offset)
	}
	t.firm = true
}

// resume begins a term of this host as the reporter.
func (t *timeOfDay) resume(now time.Duration) {
	t.adjustedAt, t.disagreesSince = now, 0
}

// median returns the median of the recent readings, and their number.
func (t *timeOfDay) median(now time.Duration) (offset time.Duration, n int) {
	var offsets []time.Duration
	for host, s := range t.samples {
		if now-s.at > maxTimeSampleAge {
			delete(t.samples, host)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) == 0 {
		return 0, 0
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], len(offsets)
}

// disagreeing returns the number of readings that differ by more than stepThreshold from
// the median.
func (t *timeOfDay) disagreeing(median time.Duration) (n int) {
	for _, s := range t.samples {
		if (s.offset - median).Abs() > stepThreshold {
			n++
		}
	}
	return n
}

// update adjusts the estimate; hosts is the number of hosts that are alive. It returns
// the difference by which the estimate stepped, 0 if it did not.
func (t *timeOfDay) update(now time.Duration, hosts int) (step time.Duration) {
	m, n := t.median(now)
	if n == 0 {
		return 0
	}
	if !t.firm {
		waited := now-t.firstSampleAt >= anchorWait
		if 2*n > hosts || waited {
			t.anchor(now, m)
		}
		t.firm = waited && 2*n > hosts && firmDivisor*t.disagreeing(m) <= n
		return 0
	}
	difference := m - t.offset
	if difference.Abs() <= stepThreshold {
		t.disagreesSince = 0
		limit := time.Duration(float64(maxSlewPerSecond) * (now - t.adjustedAt).Seconds())
		t.offset += min(max(difference, -limit), limit)
		t.adjustedAt = now
		return 0
	}
	t.adjustedAt = now
	switch {
	case 2*n <= hosts:
		// The readings of a minority do not outweigh an estimate.
		t.disagreesSince = 0
	case t.disagreesSince == 0:
		t.disagreesSince = now
	case now-t.disagreesSince >= stepAfter:
		t.anchor(now, m)
		return difference
	}
	return 0
}
