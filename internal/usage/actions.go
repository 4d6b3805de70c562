package usage

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// CallID tells the calls of a Machine apart. Results of calls that are no longer of
// interest are ignored.
type CallID uint64

// ReadRow reads the row and the store's clock.
type ReadRow struct{ Call CallID }

// WriteRow writes the row if it is at the revision Expect.
type WriteRow struct {
	Call   CallID
	Expect store.Revision
	Record Record
}

// Ask asks a host for its counts.
type Ask struct {
	// Generation is that of the Machine, which changes with the epoch.
	Generation uint64
	Host       Host
	Windows    []Span
}

// Span is a window on the clock of the host that is asked.
type Span struct {
	Window   int64
	From, To time.Duration
}

// Send sends the report of a window.
type Send struct {
	Call CallID
	Counts
	Epoch uint64
}

// NewEpoch requests a new epoch of the role.
type NewEpoch struct{}

// Decision is a decision that is logged and counted.
type Decision struct {
	// Kind is the name of the counter.
	Kind   string
	Epoch  uint64
	Window int64
	// Hosts is the number of hosts whose counts are in the window, Missing the names of
	// the hosts that did not answer in time.
	Hosts    int
	Missing  []string
	Requests int64
	// Offset is the time since the end of the window, or the step of the time of day.
	Offset time.Duration
	Reason string
}

func (ReadRow) isAction()  {}
func (WriteRow) isAction() {}
func (Ask) isAction()      {}
func (Send) isAction()     {}
func (NewEpoch) isAction() {}
func (Decision) isAction() {}

// Counters of decisions.
const (
	// WindowFixed counts windows whose counts were fixed, WindowReported those whose
	// report was accepted, and WindowLate those of them whose report was late.
	WindowFixed    = "usage_windows_fixed"
	WindowReported = "usage_windows_reported"
	WindowLate     = "usage_windows_late"
	// WindowIncomplete counts windows that were fixed without the counts of a host, and
	// WindowSkipped those that were given up.
	WindowIncomplete = "usage_windows_incomplete"
	WindowSkipped    = "usage_windows_skipped"
	// ReporterStarted counts how often this host has become the reporter,
	// ReporterSuperseded how often the row named a later one, and ReportRefused how often
	// the platform had seen a later one.
	ReporterStarted    = "usage_reporter_started"
	ReporterSuperseded = "usage_reporter_superseded"
	ReportRefused      = "usage_reports_refused_by_fence"
	// RecordUnusable counts rows that could not be decoded, and ClockStepped steps of the
	// estimated time of day.
	RecordUnusable = "usage_record_unusable"
	ClockStepped   = "usage_clock_stepped"
	// EraEntered counts how often the row was read as of an earlier era of the store.
	EraEntered = "usage_era_entered"
)

// DecisionKinds returns the counters of decisions.
func DecisionKinds() []string {
	return []string{
		WindowFixed, WindowReported, WindowLate, WindowIncomplete, WindowSkipped,
		ReporterStarted, ReporterSuperseded, ReportRefused, RecordUnusable, ClockStepped, EraEntered,
	}
}
