package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// RowRead is the result of ReadRow.
type RowRead struct {
	// Value is the row's value, Revision its revision, with version 0 if there is no row.
	Value    []byte
	Revision store.Revision
	// Stamp is the store's clock when it answered. The call was sent and its answer
	// received at the times Sent and Received.
	Stamp          time.Duration
	Sent, Received time.Duration
}

// storeOffset returns the store's clock minus the clock of this host.
func (r *RowRead) storeOffset() time.Duration { return r.Stamp - (r.Sent+r.Received)/2 }

// OnRead processes the result of ReadRow. ok is false if the call failed.
func (m *Machine) OnRead(now time.Duration, call CallID, r RowRead, ok bool) []Action {
	m.out = nil
	if call != m.rowCall {
		return nil
	}
	m.rowCall = 0
	if !ok {
		m.delayRow(now, m.rowDelay)
		return nil
	}
	record, decoded := decodeRecord(r.Value)
	if !decoded {
		record = Record{}
	}
	if !decoded && r.Revision.Version() != 0 {
		m.decide(Decision{Kind: RecordUnusable})
	}
	if record.Next != 0 && record.Window != m.settings.Window {
		m.decide(Decision{Kind: RecordUnusable, Window: record.Next, Reason: "usage_window was changed"})
		record.Next, record.Fixed = 0, nil
	}
	record.Window = m.settings.Window
	if era := r.Revision.Era(); record.Era != era {
		record = m.recordOfEarlierEra(now, record, r)
		record.Era = era
	}
	switch {
	case record.Epoch > m.epoch:
		m.stop(now, ReporterSuperseded, "the row has a later epoch", record.Next)
		return m.out
	case record.Epoch == m.epoch && record.Machine != m.settings.Machine:
		m.stop(now, ReporterSuperseded, "another machine has used the epoch", record.Next)
		return m.out
	}
	m.record, m.revision = record, r.Revision
	m.storeOffset = r.storeOffset()
	if record.TrueMinusStore != 0 {
		m.time.inherit(now, record.TrueMinusStore+m.storeOffset, (r.Received-r.Sent)/2)
	}
	if record.Epoch == m.epoch {
		m.setPhase(now, reporting)
	} else {
		m.setPhase(now, adopting)
	}
	return m.out
}

// WriteOutcome is the outcome of a write of the row.
type WriteOutcome uint8

const (
	// Unknown: the write may have been, or may still be, carried out.
	Unknown WriteOutcome = iota
	// Written: the write was carried out.
	Written
	// Conflict: the row was not at the expected revision.
	Conflict
)

// OnWrite processes the outcome of WriteRow. After an unknown outcome the
// row is written again with the same expected revision: one of the two writes fails, so
// that the outcome of the second one tells which content the row has.
func (m *Machine) OnWrite(now time.Duration, call CallID, o WriteOutcome, revision store.Revision) []Action {
	m.out = nil
	if call != m.rowCall {
		return nil
	}
	m.rowCall = 0
	switch {
	case o == Unknown:
		m.delayRow(now, m.rowDelay)
	case o == Conflict:
		m.delayRow(now, m.rowDelay-minRowDelay) // at once after the first
		m.setPhase(now, reading)
	default:
		m.record, m.revision, m.rowDelay = m.written, revision, minRowDelay
		for _, d := range m.writtenDecisions {
			m.decide(d)
		}
		if m.phase == adopting {
			m.setPhase(now, reporting)
			m.decide(Decision{Kind: ReporterStarted, Window: m.record.Next})
		}
		m.forgetAnswers()
		maps.DeleteFunc(m.accepted, func(w int64, _ bool) bool {
			return !slices.ContainsFunc(m.record.Fixed, func(f Counts) bool { return f.Window == w })
		})
	}
	return m.out
}

// Answer is the answer of a host to Ask.
type Answer struct {
	// Incarnation is that of the process that answered. Clock and TimeOfDay are readings
	// of its clocks, taken together.
	Incarnation      uint64
	Clock, TimeOfDay time.Duration
	Windows          []WindowAnswer
}

// WindowAnswer are the counts of a host in a window.
type WindowAnswer struct {
	Window int64
	// Complete is set if the window had ended.
	Complete bool
	Requests map[string]int64
}

// OnAnswer processes the answer of a host to a question that was sent at the time sent.
// ok is false if there was none.
func (m *Machine) OnAnswer(now, sent time.Duration, generation uint64, h Host, a Answer, ok bool) {
	s := m.hosts[h.Name]
	if generation != m.generation || s == nil || s.incarnation != h.Incarnation {
		return
	}
	s.asking = false
	if !ok || a.Incarnation != h.Incarnation {
		return
	}
	s.recordClock(now, sent, a.Clock)
	if now-sent <= 2*maxClockError {
		m.time.record(now, h.Name, a.TimeOfDay-(sent+now)/2)
	}
	for _, w := range a.Windows {
		if w.Window < m.record.Next {
			continue
		}
		if m.answers[w.Window] == nil {
			m.answers[w.Window] = map[process]answer{}
		}
		m.answers[w.Window][process{h.Name, h.Incarnation}] = answer{requests: w.Requests, complete: w.Complete}
	}
}

// recordClock records a reading of the host's clock, unless an earlier one was better.
func (s *hostState) recordClock(now, sent, clock time.Duration) {
	e := (now - sent) / 2
	if s.hasOffset && e > s.offsetError+time.Duration(maxClockDrift*float64(now-s.offsetAt)) {
		return
	}
	s.hasOffset, s.offset, s.offsetError, s.offsetAt = true, clock-(sent+now)/2, e, now
}

// SendOutcome is the outcome of a report.
type SendOutcome uint8

const (
	// NoAnswer: the report may have been, or may still be, carried out.
	NoAnswer SendOutcome = iota
	// Accepted: the platform has the report.
	Accepted
	// Refused: the platform has seen a higher fencing token.
	Refused
)

// OnSent processes the outcome of Send.
func (m *Machine) OnSent(now time.Duration, call CallID, window int64, o SendOutcome) []Action {
	m.out = nil
	if call != m.sendCall {
		return nil
	}
	m.sendCall = 0
	late := m.trueTime(now) - m.windowEnd(window)
	switch o {
	case Accepted:
		m.accepted[window] = true
		m.sendAt, m.sendDelay, m.unanswered = now, minSendDelay, 0
		m.decide(Decision{Kind: WindowReported, Window: window, Offset: late})
		if late > m.settings.Late {
			m.decide(Decision{Kind: WindowLate, Window: window, Offset: late})
		}
	case Refused:
		m.stop(now, ReportRefused, "the platform has seen a higher fencing token", window)
	default:
		m.sendAt, m.unanswered = now+m.sendDelay, window
		m.sendDelay = min(2*m.sendDelay, maxSendDelay)
	}
	return m.out
}
