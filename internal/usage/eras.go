package usage

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// SetEra tells the machine the newest era of the store, so that a reporter reads the row
// again soon after it has begun. Windows that end before that are lost.
func (m *Machine) SetEra(e store.Era) { m.storeEra = e }

// eraClockMargin is how much the window edges of two reporters may differ.
const eraClockMargin = stepThreshold

// recordOfEarlierEra returns the record with which a reporter goes on that has read one of
// an earlier era of the store. Later windows may have been fixed and reported with counts
// that the store has lost. Those that this process knows are used again, but not those of
// the row, which may come from a late write that had failed in its own era. The others that
// have ended are skipped, see skipEarlierEra, and readings of the store's clock are dropped,
// because it may be another one.
func (m *Machine) recordOfEarlierEra(now time.Duration, read Record, r RowRead) Record {
	known, next := m.record, read
	pending := time.Duration(0)
	next.Fixed = nil
	if m.revision != 0 && known.Window == read.Window {
		next.Fixed = known.Fixed
		if known.SkipEndedStore != 0 {
			pending = known.SkipEndedStore - m.storeOffset
		}
		if known.Next >= read.Next {
			next.Next, next.Epoch, next.Machine = known.Next, known.Epoch, known.Machine
		}
	}
	next.ActAfterStore, next.Former, next.TrueMinusStore = 0, nil, 0
	if next.Epoch == m.epoch && next.Machine == m.settings.Machine {
		m.continuedEpoch = m.epoch
	}
	next.QuietUntilStore = now + r.storeOffset() + m.settings.Lease + maxLateExecution
	// Not the start of the era: another reporter may have been at work in it, whose row was
	// overwritten by a late write of the earlier one.
	next.SkipEndedStore = max(pending, now+eraClockMargin) + r.storeOffset()
	m.decide(Decision{Kind: EraEntered, Window: next.Next, Requests: next.Next - read.Next, Reason: "the row is of an earlier era of the store"})
	return next
}

// quietUntil returns the time of the store's clock before which this host sends nothing,
// because machines that are not known may have been the reporter in turn.
func (m *Machine) quietUntil() time.Duration {
	if m.continuedEpoch == m.epoch {
		return 0 // the fencing token keeps it out if there was a later reporter
	}
	return m.record.QuietUntilStore
}

// skipEarlierEra skips the windows that had ended when the row of an earlier era was read
// and whose counts are not known.
func (m *Machine) skipEarlierEra(next *Record) {
	if next.SkipEndedStore == 0 {
		return
	}
	first := int64(m.trueTime(next.SkipEndedStore-m.storeOffset) / m.settings.Window)
	next.SkipEndedStore, m.record.SkipEndedStore = 0, 0
	if next.Next >= first {
		return
	}
	m.decide(Decision{Kind: WindowSkipped, Window: next.Next, Requests: first - next.Next, Reason: "the store has come back from an older copy"})
	next.Next, m.record.Next = first, first
	m.forgetAnswers()
}
