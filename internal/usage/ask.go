package usage

import (
	"maps"
	"time"
)

// hostState is what is known of a host and its clock.
type hostState struct {
	incarnation uint64
	asking      bool
	// dueAt is when the first question is due, askedAt when the last one was sent.
	dueAt, askedAt time.Duration
	aliveAt        time.Duration
	// offset is the host's clock minus the clock of this host, with an error of up to
	// offsetError at offsetAt.
	hasOffset                     bool
	offset, offsetError, offsetAt time.Duration
}

// askHosts asks the hosts for their counts and clocks. The first questions are spread
// over a part of the interval.
func (m *Machine) askHosts(now time.Duration, hosts []Host) {
	interval := max(askInterval, time.Second*time.Duration(len(hosts))/maxAsksPerSecond)
	known := make(map[string]bool, len(hosts))
	for i, h := range hosts {
		known[h.Name] = true
		s, ok := m.hosts[h.Name]
		if !ok || s.incarnation != h.Incarnation {
			s = &hostState{incarnation: h.Incarnation, aliveAt: now, dueAt: now + interval/8*time.Duration(i)/time.Duration(len(hosts))}
			m.hosts[h.Name] = s
		}
		if h.Alive {
			s.aliveAt = now
		}
		windows, urgent := m.spans(now, h, s)
		due := s.dueAt
		switch {
		case s.askedAt == 0:
		case urgent && h.Alive:
			due = s.askedAt + interval/askInterval*urgentAskInterval
		default:
			due = s.askedAt + interval
		}
		if !s.asking && now >= due {
			s.asking, s.askedAt = true, now
			m.do(Ask{Generation: m.generation, Host: h, Windows: windows})
		}
	}
	maps.DeleteFunc(m.hosts, func(name string, _ *hostState) bool { return !known[name] })
}

// spans returns the windows that a host has to be asked for, and whether one of them has
// ended.
func (m *Machine) spans(now time.Duration, h Host, s *hostState) (windows []Span, urgent bool) {
	if !s.hasOffset {
		return nil, true
	}
	if m.phase != reporting || !m.time.anchored || m.record.Next == 0 || s.offsetError > maxClockError {
		return nil, false
	}
	toHost := s.offset - m.time.offset // the host's clock minus the true time
	trueNow := m.trueTime(now)
	for w := m.record.Next; time.Duration(w)*m.settings.Window <= trueNow; w++ {
		if m.answers[w][process{h.Name, h.Incarnation}].complete {
			continue
		}
		end := m.windowEnd(w)
		windows = append(windows, Span{Window: w, From: end - m.settings.Window + toHost, To: end + toHost})
		urgent = urgent || trueNow-end >= settleTime
	}
	return windows, urgent
}
