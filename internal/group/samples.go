package group

import "time"

// sampleLimit bounds the memory per group. It is enough for 60 s of samples at one
// poll every 250 ms.
const sampleLimit = 240

// Sample states that the primary of the term had reached the position. At is the
// time just before the primary was polled.
type Sample struct {
	At       time.Duration
	Term     uint64
	Position uint64
}

// Samples holds the newest samples of one term, oldest first, with strictly
// increasing positions. The zero value is empty and ready to use.
type Samples struct{ list []Sample }

// Add records a sample. It drops the samples of lower terms and replaces an older
// sample of the same position.
func (s *Samples) Add(n Sample) {
	if len(s.list) > 0 {
		last := s.list[len(s.list)-1]
		switch {
		case n.Term < last.Term:
			return
		case n.Term > last.Term:
			s.list = s.list[:0]
		case n.At <= last.At || n.Position < last.Position:
			s.raiseTime(n)
			return
		case n.Position == last.Position:
			s.list[len(s.list)-1] = n
			return
		}
	}
	s.list = append(s.list, n)
	if len(s.list) > sampleLimit {
		s.list = append(s.list[:0], s.list[len(s.list)-sampleLimit:]...)
	}
}

// raiseTime handles a sample that arrives out of order. It only raises the time of
// a known position, so that a late answer cannot make data look fresher than it
// is or break the order.
func (s *Samples) raiseTime(n Sample) {
	for i := range s.list {
		if s.list[i].Position == n.Position && s.list[i].At < n.At {
			s.list[i].At = n.At
		}
	}
}

// DataAge returns the staleness bound of data of the term up to the position: the
// time since the newest sample at or below the position. It returns false if there
// is no such sample.
func (s *Samples) DataAge(now time.Duration, term, position uint64) (time.Duration, bool) {
	for i := len(s.list) - 1; i >= 0; i-- {
		if e := s.list[i]; e.Term == term && e.Position <= position {
			return max(now-e.At, 0), true
		}
	}
	return 0, false
}

// Newest returns up to n of the newest samples, oldest first.
func (s *Samples) Newest(n int) []Sample {
	return append([]Sample(nil), s.list[max(len(s.list)-n, 0):]...)
}
