package pace

import "time"

const (
	// lowStart is the share of the slots with which a limit starts.
	lowStart = 1.0 / 3
	// failureCut and latencyCut are the factors by which a limit shrinks.
	failureCut = 0.5
	latencyCut = 0.75
	// latencyFloor is the share of the slots below which latency does not cut: a server
	// that is slower for good loses no more than that.
	latencyFloor = 0.5
	// minFailures is the number of consecutive failures that cut.
	minFailures = 2
	// cutInterval is the shortest time between two cuts. Statements under way at the same
	// time fail together and count as one.
	cutInterval = 100 * time.Millisecond
	// slowRatio is the multiple of its usual latency from which on a server counts as
	// slow.
	slowRatio = 1.6
	// maxRatio bounds what a single answer adds: one of 7 times the mean is ordinary.
	maxRatio = 3.0
	// ratioWeight and usualWeight are the weights of a new answer in the moving averages
	// of the ratio and of the usual latency, slowUsualWeight that in the usual latency
	// while the server is slow: a server that is slower for good counts as slow until
	// about that many answers have made it usual.
	ratioWeight     = 1.0 / 16
	usualWeight     = 1.0 / 32
	slowUsualWeight = 1.0 / 128
	// fewAnswers is the number of answers that say too little about the usual latency.
	fewAnswers = 8
	// fullAfter bounds what a limit that is too low costs: after that time in use without
	// a cut the server gets all its slots.
	fullAfter = 2 * time.Second
	// calmAnswers is the number of consecutive answers, none of them while the server is
	// slow, that double the limit of a server that is little used. After a low start, it
	// gets all its slots after twice as many.
	calmAnswers = 128
)

// Cause names why a limit shrinks.
type Cause string

// Causes of a cut.
const (
	Busy    Cause = "busy"
	Failure Cause = "failure"
	Latency Cause = "latency"
)

// Kind distinguishes statements with different usual latencies.
type Kind struct {
	Statement string
	Priority  int
}

// Limit is the limit on the concurrent statements and connections being opened of one
// server. It is not safe for concurrent use.
type Limit struct {
	slots int
	limit float64
	// threshold is the limit below which each answer adds a slot. Above it, as many
	// answers as there are slots add one.
	threshold float64
	// usedSince is the time since which the limit has been in use, 0 if it is not; the
	// limit grows quickly only then.
	usedSince time.Duration
	lastCut   time.Duration
	hasCut    bool
	// settled is set once the limit has allowed all slots since fullSince for fullAfter.
	settled   bool
	fullSince time.Duration
	// failures counts the consecutive failures since the last answer.
	failures int
	// calm counts the consecutive good answers since the limit last shrank or doubled.
	calm  int
	ratio float64
	usual map[Kind]*usualLatency
}

// usualLatency is the moving average of the latency of one kind.
type usualLatency struct {
	mean    time.Duration
	answers int
}

// New returns a limit that allows all slots.
func New(slots int) *Limit {
	return &Limit{slots: slots, limit: float64(slots), threshold: float64(slots), ratio: 1, settled: true, usual: map[Kind]*usualLatency{}}
}

// SetSlots sets the number of slots of the server.
func (l *Limit) SetSlots(slots int) {
	if l.limit >= float64(l.slots) {
		l.limit = float64(slots)
	}
	l.slots, l.limit, l.threshold = slots, min(l.limit, float64(slots)), float64(slots)
}

// Restart makes the limit start low again.
func (l *Limit) Restart() {
	l.limit = min(l.limit, max(1, float64(l.slots)*lowStart))
	l.threshold, l.usedSince, l.ratio, l.settled, l.fullSince, l.calm = float64(l.slots), 0, 1, false, 0, 0
}

// Allowed returns the number of concurrent statements that the limit allows.
func (l *Limit) Allowed() int { return max(int(l.limit), 1) }

// Slots returns the number of slots of the server.
func (l *Limit) Slots() int { return l.slots }

// IsFull reports whether the limit allows all slots.
func (l *Limit) IsFull() bool { return l.Allowed() >= l.slots }

// RecordDemand records that a statement arrives while others are running or waiting, and
// reports whether the limit admits it.
func (l *Limit) RecordDemand(now time.Duration, running int) bool {
	if running+1 < l.Allowed() {
		l.usedSince = 0
	} else if l.usedSince == 0 {
		l.usedSince = now
	}
	return l.IsFull() || running < l.Allowed()
}

// RecordAnswer records an answer with its latency at the server. It returns the cause of
// a cut, if the limit shrinks.
func (l *Limit) RecordAnswer(now time.Duration, kind Kind, latency time.Duration) (Cause, bool) {
	l.failures = 0
	u := l.usual[kind]
	if u == nil {
		u = &usualLatency{mean: max(latency, 1)}
		l.usual[kind] = u
	}
	ratio := min(maxRatio, float64(latency)/float64(u.mean))
	u.answers++
	if u.answers > fewAnswers {
		l.ratio += ratioWeight * (ratio - l.ratio)
	}
	slow, weight := l.ratio >= slowRatio, usualWeight
	switch {
	case u.answers <= fewAnswers:
		weight = 1 / float64(u.answers)
	case slow:
		weight = slowUsualWeight
	}
	u.mean = max(u.mean+time.Duration(weight*(ratio-1)*float64(u.mean)), 1)
	if slow {
		l.calm = 0
		// A server that has long been in full use is left alone: fewer statements would only
		// move its load to the others.
		floor := latencyFloor * float64(l.slots)
		if !l.settled && l.limit > floor && l.cut(now, max(latencyCut*l.limit, floor)) {
			return Latency, true
		}
		if !l.IsFull() && l.isLongInUse(now) {
			l.limit, l.settled = float64(l.slots), true
		}
		return "", false
	}
	// The usual latency is measured before the limit grows, so that a server that slows
	// down under more statements shows it.
	if u.answers >= fewAnswers {
		l.grow(now)
	}
	if l.calm++; l.calm >= calmAnswers {
		l.limit, l.calm = min(2*l.limit, float64(l.slots)), 0
	}
	return "", false
}

// isLongInUse reports whether the limit has been in use without a cut for fullAfter.
func (l *Limit) isLongInUse(now time.Duration) bool {
	return l.usedSince > 0 && now-max(l.usedSince, l.lastCut) >= fullAfter
}

func (l *Limit) grow(now time.Duration) {
	if l.IsFull() {
		if l.fullSince == 0 {
			l.fullSince = now
		}
		l.settled = l.settled || now-l.fullSince >= fullAfter
		return
	}
	if l.usedSince == 0 {
		return
	}
	switch {
	case l.isLongInUse(now):
		l.limit = float64(l.slots)
	case l.limit < l.threshold:
		l.limit++
	default:
		l.limit += 1 / l.limit
	}
	l.limit = min(l.limit, float64(l.slots))
}

// RecordBusy records that the server had no free slot. It reports whether the limit
// shrinks.
func (l *Limit) RecordBusy(now time.Duration) bool {
	l.calm = 0
	return l.limit > 1 && l.cut(now, max(failureCut*l.limit, 1))
}

// RecordFailure records that a statement failed or got no answer. A single failure
// between answers has another cause than the number of statements. RecordFailure reports
// whether the limit shrinks.
func (l *Limit) RecordFailure(now time.Duration) bool {
	l.failures++
	l.calm = 0
	return l.failures >= minFailures && l.RecordBusy(now)
}

func (l *Limit) cut(now time.Duration, limit float64) bool {
	if l.hasCut && now-l.lastCut < cutInterval {
		return false
	}
	l.limit, l.threshold, l.lastCut, l.hasCut, l.settled, l.fullSince, l.calm = limit, limit, now, true, false, 0, 0
	return true
}
