package store

import (
	"strconv"
	"strings"
	"sync"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// Era counts how often the store has come back from an older copy. What was written after
// the copy is lost then, and revisions are given out again. Era 0 stands for a store that
// has named none, Era n+1 for the number n.
type Era uint64

// Number returns the number that the store names.
func (e Era) Number() int64 { return int64(e) - 1 }

// IsFirst reports whether the era may be the first one of the store, whose numbers may
// begin with 0 or 1.
func (e Era) IsFirst() bool { return e <= 2 }

const (
	// versionBits is the number of low bits of a Revision that hold the version.
	versionBits = 44
	// MaxVersion and MaxEra bound what a Revision can hold.
	MaxVersion = 1<<versionBits - 1
	MaxEra     = 1<<(64-versionBits) - 1
)

// NewRevision returns the revision of a version in an era. Both must be within their
// bounds. Revisions of a later era are higher than all of an earlier one.
func NewRevision(e Era, version uint64) Revision {
	return Revision(uint64(e)<<versionBits | version&MaxVersion)
}

// Era returns the era in which the store gave the revision out.
func (r Revision) Era() Era { return Era(r >> versionBits) }

// Version returns the store's version, 0 for a row that does not exist.
func (r Revision) Version() uint64 { return uint64(r) & MaxVersion }

// Errors of calls that meet a change of the era. Nothing is known of the outcome of a
// write but for ErrEraPassed.
var (
	// ErrEarlierEra reports an answer of an earlier era than one that arrived before. It
	// must not be used.
	ErrEarlierEra = errors.New("store: answer of an earlier era")
	// ErrEraPassed reports that a write expects a revision of an earlier era. It was not
	// sent.
	ErrEraPassed = errors.New("store: the expected revision is of an earlier era")
	// ErrOutcomeUnknown reports that a write was answered in another era than it was sent
	// in. Whether it took effect, and whether it still will, is not known.
	ErrOutcomeUnknown = errors.New("store: the era changed during the write")
)

// eraState is the newest era that the answers of a store have named.
type eraState struct {
	era Era
	// version is the newest version seen in the era.
	version uint64
	// named is set once an answer has named an era.
	named bool
	// unreadable is set if the last answer named none.
	unreadable bool
}

// eraEvent is what an answer changed.
type eraEvent uint8

const (
	noEvent eraEvent = iota
	// eraFirstNamed: the first answer that names an era.
	eraFirstNamed
	// eraChanged: the first answer of a later era.
	eraChanged
	// eraUnreadable: the first answer without a readable era after others.
	eraUnreadable
	// eraPassed: an answer of an earlier era.
	eraPassed
)

// observe processes the era that an answer names as text, and the version in it, 0 if it
// has none. It returns the era of the answer.
func (s *eraState) observe(text string, version uint64) (Era, eraEvent) {
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil || n >= MaxEra {
		first := !s.unreadable
		s.unreadable = true
		s.version = max(s.version, version)
		if first {
			return s.era, eraUnreadable
		}
		return s.era, noEvent
	}
	s.unreadable = false
	e, event := Era(n+1), noEvent
	switch {
	case s.named && e < s.era:
		return e, eraPassed
	case !s.named:
		s.version, event = 0, eraFirstNamed
	case e > s.era:
		s.version, event = 0, eraChanged
	}
	s.era, s.named, s.version = e, true, max(s.version, version)
	return e, event
}

// EraTracker tracks the newest era of a store for its client. It is safe for concurrent
// use. The zero EraTracker is ready for use and logs nothing.
type EraTracker struct {
	mu       sync.Mutex
	state    eraState
	log      *log.Logger
	counters *telemetry.Counters
}

// SetReporter sets where changes of the era are logged and counted.
func (t *EraTracker) SetReporter(logger *log.Logger, counters *telemetry.Counters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log, t.counters = logger, counters
}

// Current returns the newest era seen.
func (t *EraTracker) Current() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.era
}

// Expect returns the era in which a call that rests on a revision has to be answered, or
// ErrEraPassed if a later era is known. The revision may be of a later era than all
// answers, because rows also come from other hosts. Revision 0 is of any era.
func (t *EraTracker) Expect(rev Revision) (Era, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rev != 0 && rev.Era() < t.state.era {
		if t.counters != nil {
			t.counters.Add("store_calls_of_earlier_era", 1)
		}
		return 0, ErrEraPassed
	}
	if before := t.state; rev.Era() > before.era {
		t.state.era, t.state.version, t.state.named = rev.Era(), rev.Version(), true
		t.report(eraChanged, before, rev.Era(), "", rev.Version())
	}
	return t.state.era, nil
}

// Observe processes the era that an answer names as text, and the version in it, 0 if it
// has none. An answer that names no era is of the era known so far. It returns the era of
// the answer, and ErrEarlierEra if a later one is known.
func (t *EraTracker) Observe(text string, version uint64) (Era, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.state
	e, event := t.state.observe(text, version)
	t.report(event, before, e, text, version)
	if event == eraPassed {
		return e, ErrEarlierEra
	}
	return e, nil
}

// report logs and counts an event. The caller holds the lock.
func (t *EraTracker) report(event eraEvent, before eraState, e Era, text string, version uint64) {
	if t.log == nil || event == noEvent {
		return
	}
	switch event {
	case eraFirstNamed:
		t.counters.Add("store_era", e.Number())
		t.log.Info().Int64("era", e.Number()).Msg("store era")
	case eraChanged:
		t.counters.Add("store_era", int64(e)-int64(max(before.era, 1)))
		t.counters.Add("store_era_changes", 1)
		t.log.Warn().Int64("old", before.era.Number()).Int64("new", e.Number()).Uint64("version_before", before.version).
			Uint64("version_after", version).Msg("store era changed")
	case eraUnreadable:
		t.counters.Add("store_era_unreadable", 1)
		t.log.Warn().Str("text", truncate(text)).Int64("era", e.Number()).Msg("store answer names no era")
	case eraPassed:
		t.counters.Add("store_answers_of_earlier_era", 1)
		t.log.Info().Int64("answered", e.Number()).Int64("era", before.era.Number()).Msg("store answer of an earlier era dropped")
	}
}
