// Package freshness derives the log position that a replica must have reached
// to serve a read. A host takes samples of the log position of each group; each
// sample covers every commit that was acknowledged before the time of the
// sample. The floor of a read is the position of the oldest sample that is
// recent enough for the staleness bound of the read. Samples holds the samples
// and has no side effects.
package freshness

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

const (
	// maxSamples is the number of samples kept for each group. At one sample
	// per minSampleInterval they cover more time than any staleness bound in
	// use.
	maxSamples = 64
	// minSampleInterval is the minimum time between two samples that are kept.
	minSampleInterval = 50 * time.Millisecond
)

// sample states that every commit acknowledged before at is at or before
// position.
type sample struct {
	at       time.Duration
	position statement.Position
}

type groupSamples struct {
	// samples are sorted by time.
	samples []sample
	// termStart is the first position observed in the newest term.
	termStart statement.Position
}

// Samples holds the samples of all groups at one host. It is not safe for
// concurrent use.
type Samples struct{ groups map[string]*groupSamples }

// New returns an empty Samples.
func New() *Samples { return &Samples{groups: map[string]*groupSamples{}} }

// Observe adds a sample for the group: every commit acknowledged before at, on
// the clock of this host, is at or before p.
func (s *Samples) Observe(group string, at time.Duration, p statement.Position) {
	if p.IsZero() {
		return
	}
	g, ok := s.groups[group]
	if !ok {
		g = &groupSamples{}
		s.groups[group] = g
	}
	if p.Term > g.termStart.Term {
		g.termStart = p
	}
	n := len(g.samples)
	if n > 0 && (at < g.samples[n-1].at+minSampleInterval || p.Less(g.samples[n-1].position)) {
		return
	}
	if n == maxSamples {
		g.samples = append(g.samples[:0], g.samples[1:]...)
	}
	g.samples = append(g.samples, sample{at: at, position: p})
}

// Newest returns the time of the group's newest sample, 0 if there is none.
func (s *Samples) Newest(group string) time.Duration {
	g, ok := s.groups[group]
	if !ok || len(g.samples) == 0 {
		return 0
	}
	return g.samples[len(g.samples)-1].at
}

// Floor returns a position that covers every commit of the group acknowledged
// before since. It is the lowest sampled position that does, because most
// replicas have reached it. Floor returns false if no sample is recent enough.
func (s *Samples) Floor(group string, since time.Duration) (p statement.Position, ok bool) {
	g, known := s.groups[group]
	if !known {
		return statement.Position{}, false
	}
	for _, x := range g.samples {
		if x.at >= since {
			return x.position, true
		}
	}
	return statement.Position{}, false
}

// CoveringPosition returns a position of the group that covers both p and q. A
// promotion may have rolled back a position of an older term, so that no server
// ever reaches it. Such a position is replaced by the first one observed in the
// newest term, which covers everything that the promotion kept.
func (s *Samples) CoveringPosition(group string, p, q statement.Position) statement.Position {
	if g, ok := s.groups[group]; ok {
		if p.Term < g.termStart.Term && !p.IsZero() {
			p = g.termStart
		}
		if q.Term < g.termStart.Term && !q.IsZero() {
			q = g.termStart
		}
	}
	return statement.Max(p, q)
}
