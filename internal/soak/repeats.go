package soak

import (
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/platform/standin"
)

const (
	// maxRepeatDelay is the longest delay of a copy that is sent late.
	maxRepeatDelay = 300 * time.Millisecond
	// rareRepeatShare and frequentRepeatShare are the shares of answers that are sent
	// twice.
	rareRepeatShare     = 0.05
	frequentRepeatShare = 0.3
	// repeatErrorShare is the share of statements that such a database refuses, so that
	// errors are repeated, too.
	repeatErrorShare = 0.03
)

// repeatCounts counts, by database, the events under way that make it repeat answers. The
// zero value is ready for use.
type repeatCounts struct {
	mu      sync.Mutex
	running map[*standin.Database]int
}

// start makes the databases repeat answers.
func (c *repeatCounts) start(databases []*standin.Database, answers standin.RepeatedAnswers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = map[*standin.Database]int{}
	}
	for _, d := range databases {
		c.running[d]++
		d.SetAnswerRepeats(answers)
		d.SetErrors(repeatErrorShare)
	}
}

// stop ends the repeats of the databases for which no other event is under way.
func (c *repeatCounts) stop(databases []*standin.Database) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range databases {
		if c.running[d]--; c.running[d] == 0 {
			d.SetAnswerRepeats(standin.RepeatedAnswers{})
			d.SetErrors(0)
		}
	}
}

// repeatAnswers makes a database, or all of its group, repeat answers for the duration of
// the event. The target selects the databases, the share of answers and the position in
// the copies.
func (r *run) repeatAnswers(e Event, g *standin.Group, d *standin.Database) {
	databases := []*standin.Database{d}
	if e.Target/2%2 == 0 {
		databases = g.Databases()
	}
	answers := standin.RepeatedAnswers{Share: rareRepeatShare, MaxDelay: maxRepeatDelay, PresentPosition: e.Target/8%2 == 0}
	if e.Target/4%2 == 0 {
		answers.Share = frequentRepeatShare
	}
	r.repeats.start(databases, answers)
	time.Sleep(e.Duration)
	r.repeats.stop(databases)
}

// repeatedAnswers returns the number of copies that all databases have sent.
func (r *run) repeatedAnswers() int64 {
	var n int64
	for _, g := range r.env.Groups {
		for _, d := range g.Databases() {
			n += d.RepeatedAnswers()
		}
	}
	return n
}
