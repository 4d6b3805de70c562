package group

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Host identifies one process of one host.
type Host struct {
	Name        string
	Zone        string
	Incarnation uint64
}

// Server is one database of the group.
type Server struct {
	Name string
	Zone string
	// Home is the live host that holds the server's role. Its name is empty when
	// the holder is unknown.
	Home Host
	// OutOfService is set when the server is leaving or its zone is out of service.
	OutOfService bool
	// HasOpenTransactions is set while the home host has open transactions on the
	// server.
	HasOpenTransactions bool
}

// Timing holds the intervals and time limits of a Machine.
type Timing struct {
	// Poll is the interval between status polls of a database.
	Poll time.Duration
	// Suspect is the time without an answer after which the primary is suspected to
	// be lost.
	Suspect time.Duration
	// RankStep is multiplied by a candidate's rank to give the delay before it
	// starts a promotion, so that candidates do not start at the same time.
	RankStep time.Duration
	// Retry is the delay before a promotion is started again and before a failed
	// compare-and-swap is repeated.
	Retry time.Duration
	// FenceSettle is the time to wait for the remaining databases after a majority
	// is fenced.
	FenceSettle time.Duration
	// StepTimeout bounds the fence and promote steps.
	StepTimeout time.Duration
	// PlannedWait bounds the time for which a planned promotion waits for open
	// transactions and for a replica to catch up.
	PlannedWait time.Duration
	// Refresh is the interval at which a host that does not own the group reads its row.
	Refresh time.Duration
	// Handover is the interval at which the new home host of the primary reads the
	// row until it owns the group.
	Handover time.Duration
	// Probe is the time for which a host polls the primary after another host
	// requested a report.
	Probe time.Duration
}

// DefaultTiming returns the timing of docs/design.md, section 6.
func DefaultTiming() Timing {
	return Timing{
		Poll:        250 * time.Millisecond,
		Suspect:     time.Second,
		RankStep:    300 * time.Millisecond,
		Retry:       250 * time.Millisecond,
		FenceSettle: 20 * time.Millisecond,
		StepTimeout: time.Second,
		PlannedWait: 2 * time.Second,
		Refresh:     10 * time.Second,
		Handover:    50 * time.Millisecond,
		Probe:       3 * time.Second,
	}
}

// Input is one input of Step.
type Input interface{ input() }

// Inputs of Step. An answer repeats the fields that identify its action.
type (
	// Tick advances timers.
	Tick struct{}
	// Topology replaces the group's servers and durability setting.
	Topology struct {
		Servers    []Server
		Durability config.Durability
	}
	// Lease reports the incarnation of this host and the time at which its lease
	// ends, on the machine's clock. It must be passed before each decision that
	// depends on the lease.
	Lease struct {
		Incarnation uint64
		Until       time.Duration
	}
	// LeaseLapsed reports that the lease of an incarnation of a host has certainly
	// lapsed and will never be renewed.
	LeaseLapsed struct {
		Host        string
		Incarnation uint64
	}
	// RowAnswer answers ReadRow. Revision is 0 when the row does not exist.
	RowAnswer struct {
		ID       uint64
		Row      Row
		Revision store.Revision
		Err      error
	}
	// SwapAnswer answers Swap.
	SwapAnswer struct {
		WriteID  string
		Revision store.Revision
		Outcome  Outcome
	}
	// StatusAnswer answers Poll.
	StatusAnswer struct {
		Server string
		Sent   time.Duration
		Status dbconn.Status
		Err    error
	}
	// FenceAnswer answers Fence.
	FenceAnswer struct {
		Server string
		Term   uint64
		Status dbconn.Status
		Err    error
	}
	// PromoteAnswer answers Promote.
	PromoteAnswer struct {
		Server string
		Term   uint64
		Err    error
	}
	// ReportAnswer answers RequestReport.
	ReportAnswer struct {
		Host   string
		Sent   time.Duration
		Report Report
		Err    error
	}
	// ReportRequested reports that another host requested a report.
	ReportRequested struct{}
	// StatusRequested requests a status poll that is sent from now on, because a
	// call waits for its result: a poll of the primary, or of every database when
	// Quorum is set.
	StatusRequested struct{ Quorum bool }
)

func (Tick) input()            {}
func (Topology) input()        {}
func (Lease) input()           {}
func (RowAnswer) input()       {}
func (SwapAnswer) input()      {}
func (LeaseLapsed) input()     {}
func (StatusAnswer) input()    {}
func (FenceAnswer) input()     {}
func (PromoteAnswer) input()   {}
func (ReportAnswer) input()    {}
func (ReportRequested) input() {}
func (StatusRequested) input() {}

// Outcome is the outcome of a compare-and-swap.
type Outcome uint8

// Outcomes of a compare-and-swap.
const (
	// Unknown is the zero value: no answer arrived, and the write may or may not
	// have taken effect.
	Unknown Outcome = iota
	Swapped
	Conflict
)

// Action is an operation that the caller of Step must perform. Every action
// except Follow and Count is answered by exactly one input, with an error if it
// timed out.
type Action interface{ action() }

// Actions of Step.
type (
	// ReadRow reads the group's row.
	ReadRow struct{ ID uint64 }
	// Swap writes the group's row by compare-and-swap.
	Swap struct {
		Expect store.Revision
		Row    Row
	}
	// Poll queries the status of a database.
	Poll struct {
		Server string
		Sent   time.Duration
	}
	// Fence makes a database adopt the term and reject lower terms.
	Fence struct {
		Server string
		Term   uint64
	}
	// Promote makes a database the primary of the term.
	Promote struct {
		Server string
		Term   uint64
	}
	// Follow makes a database replicate from the primary.
	Follow struct {
		Server  string
		Term    uint64
		Primary string
	}
	// RequestReport requests the report of another host.
	RequestReport struct {
		Host string
		Sent time.Duration
	}
	// Count increments a counter.
	Count struct{ Name string }
)

func (ReadRow) action()       {}
func (Swap) action()          {}
func (Poll) action()          {}
func (Fence) action()         {}
func (Promote) action()       {}
func (Follow) action()        {}
func (RequestReport) action() {}
func (Count) action()         {}

// Names of the counters of the promotion steps.
const (
	CountSuspected  = "promotion_suspected"
	CountLapsed     = "promotion_lease_lapsed"
	CountClaimed    = "promotion_term_claimed"
	CountFenced     = "promotion_fenced"
	CountAssigned   = "promotion_assigned"
	CountHandedOn   = "promotion_handed_on"
	CountPromoted   = "promotion_promoted"
	CountOpened     = "promotion_opened"
	CountFailed     = "promotion_failed"
	CountPlanned    = "promotion_planned"
	CountAdopted    = "group_adopted"
	CountTakenOver  = "group_taken_over"
	CountHandedOver = "group_handed_over"
	CountResigned   = "group_resigned"
	CountFollow     = "group_follow_ordered"
	CountSettled    = "group_swap_settled"
)

// Counters returns the names of all counters, so that the caller can register
// them.
func Counters() []string {
	return []string{
		CountSuspected, CountLapsed, CountClaimed, CountFenced, CountAssigned, CountHandedOn, CountPromoted,
		CountOpened, CountFailed, CountPlanned, CountAdopted, CountTakenOver, CountHandedOver, CountResigned,
		CountFollow, CountSettled,
	}
}

// Report is the state of a group as one host reports it to another.
type Report struct {
	// Owner is set when the reporting host owns the group.
	Owner     bool
	OwnerHost string
	Term      uint64
	Primary   string
	// PrimaryOpen is set by the owner while it uses the primary in the term.
	PrimaryOpen bool
	// PrimaryAnswered is set if the primary recently answered a poll as primary of
	// the term. PrimaryAge is then the time since that poll was sent. Otherwise it
	// is the time for which the primary has not answered, or 0 if it was not
	// polled.
	PrimaryAnswered bool
	PrimaryAge      time.Duration
	// Samples have times on the clock of the machine that holds the Report.
	Samples []Sample
}

// Gap holds the durations of the phases of the last failover, during which the
// group had no usable primary.
type Gap struct {
	Detection time.Duration
	Lease     time.Duration
	Fencing   time.Duration
	Promotion time.Duration
}
