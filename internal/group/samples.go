package group

import "time"

// sampleLimit bounds the memory per group: 60 s of samples at one poll every 250 ms.
const sampleLimit = 240

// Sample says that the primary of the term was at the position at the time At,
// which was taken before the primary was asked.
type Sample struct {
	At       time.Duration
	Term     uint64
	Position uint64
}

// Samples holds the newest samples of one term, oldest first, with increasing
// positions.
type Samples struct{ list []Sample }

// Add records a sample. It drops the samples of lower terms and replaces older
// samples of the same position.
func (s *Samples) Add(n Sample) {
	if len(s.list) > 0 {
		last := s.list[len(s.list)-1]
		switch {
		case n.Term < last.Term:
			return
		case n.Term > last.Term:
			s.list = s.list[:0]
		case n.At <= last.At || n.Position < last.Position:
			s.insert(n)
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

// insert handles a sample that arrives late. It only ever raises the time of a
// known position, so that a late answer cannot make data look fresher than it
// is or break the order.
func (s *Samples) insert(n Sample) {
	for i := range s.list {
		if s.list[i].Position == n.Position && s.list[i].At < n.At {
			s.list[i].At = n.At
		}
	}
}

// Age returns the age of data of the term up to the position.
func (s *Samples) Age(now time.Duration, term, position uint64) (time.Duration, bool) {
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
