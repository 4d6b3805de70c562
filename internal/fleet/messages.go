package fleet

import (
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Identity names one incarnation of a host.
type Identity struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
}

// Role is a role kept by this host.
type Role struct {
	Name  string
	Epoch uint64
	// Live is false while the lease under which the role was written has
	// lapsed. A home host keeps serving such a role, because backend servers
	// reject the connections of an older epoch.
	Live bool
}

// Peer is another host as this host sees it.
type Peer struct {
	Name      string
	Zone      string
	Address   string
	Reachable bool
	Leaving   bool
}

// Duty names a store client of the aggregate. A duty has at most one request in
// flight.
type Duty uint8

// Duties.
const (
	DutyLease Duty = iota
	DutyHostScan
	DutyRoleScan
	DutyRoleWrite
	DutyPointer
	DutyFetch
	DutyPublish
	dutyCount
)

// Duties is the number of duties.
const Duties = int(dutyCount)

// Op is an operation on the table service or the object store.
type Op uint8

// Operations.
const (
	OpGet Op = iota
	OpScan
	OpCompareAndSwap
	OpPutObject
	OpGetObject
)

// Outcome is the result of a store call.
type Outcome uint8

// Outcomes.
const (
	// Unknown is a lost answer. A write may have taken effect.
	Unknown Outcome = iota
	// OK means that the call took effect.
	OK
	// Conflict means that a write did not take effect, because the row was at
	// another revision.
	Conflict
)

// Input is an event for Step.
type Input interface{ input() }

type (
	// Tick lets the aggregate start what is due.
	Tick struct{}
	// StoreDone answers a StoreCall.
	StoreDone struct {
		Call     uint64
		Outcome  Outcome
		Rows     []store.Row
		Revision store.Revision
		Data     []byte
		// Document is the decoded object; nil when it is not valid.
		Document *config.Document
	}
	// DocumentDone answers a FetchFromPeer. Document is nil on failure.
	DocumentDone struct {
		Call     uint64
		Version  config.Version
		Document *config.Document
		Data     []byte
	}
	// ExchangeDone answers an Exchange. Vector is nil on failure; Refused
	// reports that the address refused the connection.
	ExchangeDone struct {
		Call    uint64
		Vector  *peerpb.Vector
		Refused bool
	}
	// ProbeDone answers a Probe.
	ProbeDone struct {
		Call    uint64
		Refused bool
	}
	// HostsListed reports the platform's host list.
	HostsListed struct{ Hosts []store.ListedHost }
	// Publish asks to publish a document edited from version Base.
	Publish struct {
		ID       uint64
		Base     config.Version
		Document *config.Document
		Data     []byte
	}
	// AbandonPublish reports that nobody waits for the publication any more.
	AbandonPublish struct{ ID uint64 }
	// HandoverReceived asks to read the role rows at once.
	HandoverReceived struct{}
	// Leave announces the planned stop and hands the roles over.
	Leave struct{}
	// GiveUpLease ends the own lease in the store, after everything that it
	// protects has ended.
	GiveUpLease struct{}
)

func (Tick) input()             {}
func (StoreDone) input()        {}
func (DocumentDone) input()     {}
func (ExchangeDone) input()     {}
func (ProbeDone) input()        {}
func (HostsListed) input()      {}
func (Publish) input()          {}
func (AbandonPublish) input()   {}
func (HandoverReceived) input() {}
func (Leave) input()            {}
func (GiveUpLease) input()      {}

// Action is work for the shell.
type Action interface{ action() }

type (
	// StoreCall asks for one store operation.
	StoreCall struct {
		Call   uint64
		Duty   Duty
		Op     Op
		Key    string
		After  store.Revision
		Expect store.Revision
		Value  []byte
		// Releases is the role that the call hands over, if any. Its open work
		// has to end before the call, because the new holder cuts it off.
		Releases string
	}
	// FetchFromPeer asks a peer for its newest document.
	FetchFromPeer struct {
		Call    uint64
		Peer    string
		Address string
	}
	// Exchange asks for one heartbeat exchange.
	Exchange struct {
		Call    uint64
		Peer    string
		Address string
		Vector  *peerpb.Vector
	}
	// Probe asks whether an address refuses connections.
	Probe struct {
		Call    uint64
		Host    string
		Address string
	}
	// Handover tells a peer that roles were written to it.
	Handover struct {
		Address string
		Roles   []string
	}
	// Published ends a Publish.
	Published struct {
		ID     uint64
		Result PublishResult
	}
	// Changed reports that roles or the configuration changed.
	Changed struct{}
	// Stop reports that a newer incarnation of this host runs elsewhere.
	Stop struct{ Incarnation uint64 }
)

func (StoreCall) action()     {}
func (FetchFromPeer) action() {}
func (Exchange) action()      {}
func (Probe) action()         {}
func (Handover) action()      {}
func (Published) action()     {}
func (Changed) action()       {}
func (Stop) action()          {}

// PublishStatus is the end of a publication.
type PublishStatus uint8

// Ends of a publication.
const (
	// PublishConflict means that the base version was not current and nothing
	// was published.
	PublishConflict PublishStatus = iota
	// PublishAccepted means that the document is current and that a majority of
	// the hosts knows of it.
	PublishAccepted
	// PublishRefused means that this host may not publish now.
	PublishRefused
	// PublishUnknown means that the document may have been published.
	PublishUnknown
)

// PublishResult reports the end of a publication.
type PublishResult struct {
	Status  PublishStatus
	Version config.Version
	Reason  string
}
