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
	// Home is the live holder of the server's role; its name is empty when unknown.
	Home Host
	// Out is set when the server is leaving or its zone is taken out.
	Out bool
	// Busy is set while the home host runs transactions on the server.
	Busy bool
}

// Timing holds the machine's intervals.
type Timing struct {
	Poll time.Duration
	// Suspect is the time without an answer after which the primary is suspected.
	Suspect time.Duration
	// RankStep is the additional wait of each candidate rank.
	RankStep time.Duration
	// Retry is the wait before a promotion starts over and before a failed
	// compare-and-swap is repeated.
	Retry time.Duration
	// FenceSettle is the wait for the remaining databases once a majority is fenced.
	FenceSettle time.Duration
	// StepTimeout bounds the fence and promote steps.
	StepTimeout time.Duration
	// PlannedWait bounds the time for which a planned promotion waits for open
	// transactions and for a replica to catch up.
	PlannedWait time.Duration
	// Refresh is the interval at which a host that does not own the group reads its row.
	Refresh time.Duration
	// Handover is the interval at which a new home of the primary reads the row
	// until it owns the group.
	Handover time.Duration
	// Probe is the time for which a host polls the primary after it was asked about it.
	Probe time.Duration
}

// DefaultTiming is the timing of docs/design.md, section 6.
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

// Inputs of Step. An answer repeats what identifies its action.
type (
	// Tick advances timers.
	Tick struct{}
	// Topology replaces the group's servers, settings and timing.
	Topology struct {
		Servers    []Server
		Durability config.Durability
	}
	// Lease reports the incarnation of this host and the end of its lease on the
	// machine's clock. It must be given before each decision that depends on the
	// lease.
	Lease struct {
		Incarnation uint64
		Until       time.Duration
	}
	// Lapsed says that the lease of an incarnation of a host must have lapsed and
	// is never renewed again.
	Lapsed struct {
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
		Writer   string
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
	// ReportAnswer answers Ask.
	ReportAnswer struct {
		Host   string
		Sent   time.Duration
		Report Report
		Err    error
	}
	// Asked says that another host asked for a report.
	Asked struct{}
	// Wanted says that somebody waits for a status that is sent from now on: of
	// the primary, or of every database when Quorum is set.
	Wanted struct{ Quorum bool }
)

func (Tick) input()          {}
func (Topology) input()      {}
func (Lease) input()         {}
func (RowAnswer) input()     {}
func (SwapAnswer) input()    {}
func (Lapsed) input()        {}
func (StatusAnswer) input()  {}
func (FenceAnswer) input()   {}
func (PromoteAnswer) input() {}
func (ReportAnswer) input()  {}
func (Asked) input()         {}
func (Wanted) input()        {}

// Outcome is the outcome of a compare-and-swap.
type Outcome uint8

// Outcomes of a compare-and-swap.
const (
	// Unknown is the zero value: the answer was lost and the write may have
	// taken effect.
	Unknown Outcome = iota
	Swapped
	Conflict
)

// Action is something that the shell performs. Every action except Follow and
// Count is answered exactly once, with an error when it timed out.
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
	// Poll asks a database for its status.
	Poll struct {
		Server string
		Sent   time.Duration
	}
	// Fence makes a database adopt the term.
	Fence struct {
		Server string
		Term   uint64
	}
	// Promote makes a database primary of the term.
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
	// Ask asks another host for its report.
	Ask struct {
		Host string
		Sent time.Duration
	}
	// Count adds one to a counter.
	Count struct{ Name string }
)

func (ReadRow) action() {}
func (Swap) action()    {}
func (Poll) action()    {}
func (Fence) action()   {}
func (Promote) action() {}
func (Follow) action()  {}
func (Ask) action()     {}
func (Count) action()   {}

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

// Counters returns the names of all counters, for registering them.
func Counters() []string {
	return []string{
		CountSuspected, CountLapsed, CountClaimed, CountFenced, CountAssigned, CountHandedOn, CountPromoted,
		CountOpened, CountFailed, CountPlanned, CountAdopted, CountTakenOver, CountHandedOver, CountResigned,
		CountFollow, CountSettled,
	}
}

// Report is what one host tells another about a group.
type Report struct {
	// Owner is set when the reporting host owns the group.
	Owner     bool
	OwnerHost string
	Term      uint64
	Primary   string
	// Open is set by the owner while the primary is open in the term.
	Open bool
	// Reached says that the primary answered as primary of the term lately. Age
	// is then the time since it was asked, otherwise the time for which it has
	// not answered, 0 when it was not asked.
	Reached bool
	Age     time.Duration
	// Samples are on the clock of the machine that holds the Report.
	Samples []Sample
}

// Gap holds the parts of the last failover gap.
type Gap struct {
	Detection time.Duration
	Lease     time.Duration
	Fencing   time.Duration
	Promotion time.Duration
}
