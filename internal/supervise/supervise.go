package supervise

import (
	"slices"
	"time"
)

// State is what a Detector decides about its server.
type State uint8

const (
	// Serving servers get all requests.
	Serving State = iota
	// Ejected servers get no reads.
	Ejected
	// Probing servers get a few reads, whose outcome decides what follows.
	Probing
)

// String returns the name used in logs.
func (s State) String() string { return [...]string{"serving", "ejected", "probing"}[s] }

const (
	// bucketLength and buckets define the sliding window over which failures count.
	bucketLength = 250 * time.Millisecond
	buckets      = 8
	// maxFailureShare is the share of failures from which on a server is ejected. With
	// one repetition at another server, a caller then notices 2 of 100 failures.
	maxFailureShare = 0.15
	// minFailures is the number of failures in the window below which chance may explain
	// the share.
	minFailures = 5
	// minSilence is the time without any answer from which on overdue answers count as
	// failures. It tells a server without answers from a slow one that is little used, and
	// from deadlines that were short on arrival.
	minSilence = 350 * time.Millisecond
	// baseEjection and maxEjection bound an ejection. Each further one lasts twice as
	// long, until the server has served without an ejection for calmPeriod.
	baseEjection = time.Second
	maxEjection  = 8 * time.Second
	calmPeriod   = 10 * time.Second
	// maxEjectedShare is the share of a group's servers that may be ejected at a time.
	maxEjectedShare = 0.5
	// probeSuccesses is the number of consecutive successful probes that end an ejection.
	probeSuccesses = 5
	// probeTimeout is the time after which a probe without an outcome is given up, for
	// example because its transaction goes on.
	probeTimeout = 500 * time.Millisecond
)

// MaxProbes is the number of probes that may be under way at a time.
const MaxProbes = 1

// Probe identifies a read that decides whether an ejection ends; 0 is none.
type Probe uint64

// ProbeOutcome is what a probe says about the server.
type ProbeOutcome uint8

const (
	// Undecided probes were not sent, or say nothing about the server.
	Undecided ProbeOutcome = iota
	// Succeeded probes were answered.
	Succeeded
	// Failed probes failed because of the server.
	Failed
)

// Group describes the servers of the group for the cap on ejections.
type Group struct {
	// Servers is the number of servers of the group, OthersEjected the number of the
	// others that are known to be ejected.
	Servers, OthersEjected int
}

func (g Group) allowsEjection() bool {
	return float64(g.OthersEjected+1) <= maxEjectedShare*float64(g.Servers)
}

// Change is a change of the state.
type Change struct {
	State State
	// Failures and Requests are those in the window, Until the end of an ejection.
	Failures, Requests int
	Until              time.Duration
	// Capped is set when the server would have been ejected but for the cap.
	Capped bool
}

type bucket struct {
	index              int64
	requests, failures int
	customers, failed  customerSet
}

// customerSet tells one customer from several.
type customerSet struct {
	first   string
	several bool
}

func (s *customerSet) add(customer string) {
	switch {
	case s.first == "":
		s.first = customer
	case s.first != customer:
		s.several = true
	}
}

func (s *customerSet) merge(other customerSet) {
	if other.first != "" {
		s.add(other.first)
	}
	s.several = s.several || other.several
}

// sentProbe is a probe under way.
type sentProbe struct {
	Probe
	at time.Duration
}

// Detector decides about one backend server by the outcomes of its requests. It is not
// safe for concurrent use.
type Detector struct {
	state State
	ring  [buckets]bucket
	// lastSuccess is the time of the last answer, silentSince the time at which the first
	// statement was sent that is overdue since then, if silent is set.
	lastSuccess, silentSince time.Duration
	silent                   bool
	// until is the end of the ejection, level the number of ejections that count for the
	// length of the next one, and calmSince the time since which none has been.
	until     time.Duration
	level     int
	calmSince time.Duration
	successes int
	probes    []sentProbe
	// lastProbe is the newest probe, priorProbes the newest of earlier ejections.
	lastProbe, priorProbes Probe
	cappedAt               time.Duration
}

// State returns the state at the time now.
func (d *Detector) State(now time.Duration) State {
	if d.state == Ejected && now >= d.until {
		return Probing
	}
	return d.state
}

// Inherit makes the detector of a new home host start with probes, because the former
// home host had ejected the server.
func (d *Detector) Inherit(now time.Duration) { d.state, d.level, d.calmSince = Probing, 1, now }

// advance lets probes begin when an ejection has ended.
func (d *Detector) advance(now time.Duration) {
	if d.state == Ejected && now >= d.until {
		d.state, d.successes, d.probes, d.priorProbes = Probing, 0, nil, d.lastProbe
	}
}

// AdmitRead reports whether a read may be sent to the server. While the server is probed,
// a read that is admitted is a probe, which ends with EndProbe.
func (d *Detector) AdmitRead(now time.Duration) (Probe, bool) {
	d.advance(now)
	switch d.state {
	case Ejected:
		return 0, false
	case Probing:
		for len(d.probes) > 0 && now-d.probes[0].at >= probeTimeout {
			d.probes = d.probes[1:]
		}
		if len(d.probes) >= MaxProbes {
			return 0, false
		}
		d.lastProbe++
		d.probes = append(d.probes, sentProbe{d.lastProbe, now})
		return d.lastProbe, true
	}
	return 0, true
}

// EndProbe ends a probe, so that another read can be one, and returns the change of the
// state, if any. Only probes decide while the server is probed: other statements may have
// been sent before the ejection, or to the primary. A probe that was given up still
// decides, or a server without answers would be probed for ever.
func (d *Detector) EndProbe(now time.Duration, probe Probe, outcome ProbeOutcome, g Group) (Change, bool) {
	d.advance(now)
	d.probes = slices.DeleteFunc(d.probes, func(p sentProbe) bool { return p.Probe == probe })
	if d.state != Probing || probe <= d.priorProbes {
		return Change{}, false
	}
	switch outcome {
	case Succeeded:
		if d.successes++; d.successes < probeSuccesses {
			return Change{}, false
		}
		d.state, d.calmSince, d.probes = Serving, now, nil
		d.ring = [buckets]bucket{}
		return Change{State: Serving}, true
	case Failed:
		if g.OthersEjected == 0 || g.allowsEjection() {
			return d.eject(now), true
		}
		requests, failures, _ := d.window(now)
		d.state, d.calmSince, d.cappedAt, d.probes = Serving, now, now, nil
		return Change{State: Serving, Capped: true, Failures: failures, Requests: requests}, true
	}
	return Change{}, false
}

// RecordSuccess records an answer of the server, whether or not the request succeeded
// for its caller.
func (d *Detector) RecordSuccess(now time.Duration, customer string) {
	d.advance(now)
	d.bucketAt(now, customer).requests++
	d.lastSuccess, d.silent = now, false
}

// HasAnsweredSince reports whether the server has answered a statement since sent.
func (d *Detector) HasAnsweredSince(sent time.Duration) bool { return d.lastSuccess > sent }

// RecordOverdue records that a statement, sent at sent, got no answer in time. It is a
// failure only if the server has answered no other statement since, and none for
// minSilence.
func (d *Detector) RecordOverdue(now, sent time.Duration, customer string, g Group) (Change, bool) {
	if d.HasAnsweredSince(sent) {
		return Change{}, false
	}
	if !d.silent {
		d.silent, d.silentSince = true, sent
	}
	if d.State(now) == Serving && now-d.silentSince < minSilence {
		return Change{}, false
	}
	return d.RecordFailure(now, customer, g)
}

// RecordFailure records a failure of the server and returns the change of the state, if
// any.
func (d *Detector) RecordFailure(now time.Duration, customer string, g Group) (Change, bool) {
	d.advance(now)
	b := d.bucketAt(now, customer)
	b.requests++
	b.failures++
	b.failed.add(customer)
	if d.state != Serving {
		return Change{}, false
	}
	requests, failures, oneCustomer := d.window(now)
	if failures < minFailures || float64(failures) < maxFailureShare*float64(requests) || oneCustomer {
		return Change{}, false
	}
	if !g.allowsEjection() {
		if d.cappedAt > 0 && now-d.cappedAt < baseEjection {
			return Change{}, false
		}
		d.cappedAt = now
		return Change{State: Serving, Capped: true, Failures: failures, Requests: requests}, true
	}
	return d.eject(now), true
}

func (d *Detector) eject(now time.Duration) Change {
	requests, failures, _ := d.window(now)
	if d.state == Serving {
		d.level = max(d.level-int((now-d.calmSince)/calmPeriod), 0)
	}
	length := maxEjection
	if d.level < 8 {
		length = min(maxEjection, baseEjection<<d.level)
	}
	d.state, d.until, d.successes = Ejected, now+length, 0
	d.level++
	return Change{State: Ejected, Failures: failures, Requests: requests, Until: d.until}
}

func (d *Detector) bucketAt(now time.Duration, customer string) *bucket {
	index := int64(now / bucketLength)
	b := &d.ring[index%buckets]
	if b.index != index {
		*b = bucket{index: index}
	}
	b.customers.add(customer)
	return b
}

// window returns the requests and failures in the window. oneCustomer is set if only one
// of several customers had failures, so that its statements are the cause.
func (d *Detector) window(now time.Duration) (requests, failures int, oneCustomer bool) {
	index := int64(now / bucketLength)
	var all, failed customerSet
	for _, b := range d.ring {
		if index-b.index >= buckets {
			continue
		}
		requests += b.requests
		failures += b.failures
		all.merge(b.customers)
		failed.merge(b.failed)
	}
	return requests, failures, all.several && !failed.several
}
