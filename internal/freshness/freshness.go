// Package freshness derives the position that a replica must have from samples
// of the position of each group's log.
package freshness

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

const (
	// keep is the number of samples of a group. At one sample each step they
	// reach back further than any staleness bound in use.
	keep = 64
	// step is the least time between two samples that are kept.
	step = 50 * time.Millisecond
)

// sample says that every commit that was acknowledged before at is at or before
// the position.
type sample struct {
	at       time.Duration
	position statement.Position
}

type group struct {
	// samples are in the order of at.
	samples []sample
	// base is the first position seen of the newest term.
	base statement.Position
}

// Samples holds the samples of all groups at one host. It is not safe for
// concurrent use.
type Samples struct{ groups map[string]*group }

// New returns Samples without any.
func New() *Samples { return &Samples{groups: map[string]*group{}} }

// Observe adds a sample: every commit acknowledged before at, on the own clock,
// is at or before the position.
func (s *Samples) Observe(name string, at time.Duration, p statement.Position) {
	if p.IsZero() {
		return
	}
	g, ok := s.groups[name]
	if !ok {
		g = &group{}
		s.groups[name] = g
	}
	if p.Term > g.base.Term {
		g.base = p
	}
	n := len(g.samples)
	if n > 0 && (at < g.samples[n-1].at+step || p.Less(g.samples[n-1].position)) {
		return
	}
	if n == keep {
		g.samples = append(g.samples[:0], g.samples[1:]...)
	}
	g.samples = append(g.samples, sample{at: at, position: p})
}

// Newest returns the time of the newest sample, 0 without any.
func (s *Samples) Newest(name string) time.Duration {
	g, ok := s.groups[name]
	if !ok || len(g.samples) == 0 {
		return 0
	}
	return g.samples[len(g.samples)-1].at
}

// Floor returns a position that covers every commit acknowledged before since:
// the oldest one that does, which most replicas have. ok is false when no sample
// is recent enough.
func (s *Samples) Floor(name string, since time.Duration) (p statement.Position, ok bool) {
	g, known := s.groups[name]
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

// Raise returns a position that covers both. A position of an older term may
// have been rolled back by a promotion, so that no server ever has it; what is
// left of it is covered by any position of the newer term.
func (s *Samples) Raise(name string, p, q statement.Position) statement.Position {
	if g, ok := s.groups[name]; ok {
		if p.Term < g.base.Term && !p.IsZero() {
			p = g.base
		}
		if q.Term < g.base.Term && !q.IsZero() {
			q = g.base
		}
	}
	return statement.Max(p, q)
}
