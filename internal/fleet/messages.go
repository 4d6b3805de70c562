package fleet

import (
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Identity identifies one incarnation of a host.
type Identity struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
}

// Role is a role held by this host.
type Role struct {
	Name  string
	Epoch uint64
	// LeaseLive is false when the lease under which the role was written has
	// lapsed. A home host keeps serving such a role, because backend servers reject
	// connections of an older epoch.
	LeaseLive bool
}

// Peer describes another host.
type Peer struct {
	Name    string
	Zone    string
	Address string
	// Reachable is set while the newest attestation of the host is recent.
	Reachable bool
	Leaving   bool
}

// Duty identifies a kind of call to the store or to a peer. A duty has at most
// one request in flight.
type Duty uint8

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

// DutyCount is the number of duties.
const DutyCount = int(dutyCount)

// Op is an operation on the table service or the object store.
type Op uint8

const (
	OpGet Op = iota
	OpScan
	OpCompareAndSwap
	OpPutObject
	OpGetObject
)

// Outcome is the result of a store call.
type Outcome uint8

const (
	// OutcomeUnknown means that the answer was lost. A write may have taken effect.
	OutcomeUnknown Outcome = iota
	// OutcomeOK means that the call took effect.
	OutcomeOK
	// OutcomeConflict means that a write did not take effect, because the row was at
	// another revision.
	OutcomeConflict
)

// Input is an event for Step.
type Input interface{ input() }

type (
	// Tick triggers the work that is due at the current time.
	Tick struct{}
	// StoreDone answers a StoreCall.
	StoreDone struct {
		Call     uint64
		Outcome  Outcome
		Rows     []store.Row
		Revision store.Revision
		Data     []byte
		// Document is the decoded object, nil when it is invalid.
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
	// HostsListed carries the platform's host list.
	HostsListed struct{ Hosts []store.ListedHost }
	// Publish requests the publication of a document that was edited from version
	// Base.
	Publish struct {
		ID       uint64
		Base     config.Version
		Document *config.Document
		Data     []byte
	}
	// AbandonPublish reports that no client waits for the publication any more.
	AbandonPublish struct{ ID uint64 }
	// HandoverReceived triggers an immediate read of the role rows.
	HandoverReceived struct{}
	// Leave starts a planned stop and hands over the roles.
	Leave struct{}
	// ReleaseLease releases this host's lease in the store. The caller sends it
	// after all work protected by the lease has ended.
	ReleaseLease struct{}
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
func (ReleaseLease) input()     {}

// Action is work for the caller of Step.
type Action interface{ action() }

type (
	// StoreCall requests one store operation.
	StoreCall struct {
		Call   uint64
		Duty   Duty
		Op     Op
		Key    string
		After  store.Revision
		Expect store.Revision
		Value  []byte
		// ReleasedRole is the role that the call hands over, if any. The role's
		// open work must end before the call, because the new holder fences it off.
		ReleasedRole string
	}
	// FetchFromPeer requests a peer's newest document.
	FetchFromPeer struct {
		Call    uint64
		Peer    string
		Address string
	}
	// Exchange requests one heartbeat exchange.
	Exchange struct {
		Call    uint64
		Peer    string
		Address string
		Vector  *peerpb.Vector
	}
	// Probe requests a check whether an address refuses connections.
	Probe struct {
		Call    uint64
		Host    string
		Address string
	}
	// Handover notifies a peer that roles were assigned to it.
	Handover struct {
		Address string
		Roles   []string
	}
	// PublishEnded reports the result of a Publish.
	PublishEnded struct {
		ID     uint64
		Result PublishResult
	}
	// StateChanged reports that roles or the configuration have changed.
	StateChanged struct{}
	// Superseded reports that a newer incarnation of this host runs in another
	// process, so that this one must stop.
	Superseded struct{ Incarnation uint64 }
)

func (StoreCall) action()     {}
func (FetchFromPeer) action() {}
func (Exchange) action()      {}
func (Probe) action()         {}
func (Handover) action()      {}
func (PublishEnded) action()  {}
func (StateChanged) action()  {}
func (Superseded) action()    {}

// PublishStatus is the result of a publication.
type PublishStatus uint8

const (
	// PublishConflict means that the base version was not current and that nothing
	// was published.
	PublishConflict PublishStatus = iota
	// PublishAccepted means that the document is current and that a majority of the
	// hosts has seen its version.
	PublishAccepted
	// PublishRefused means that this host cannot publish at present.
	PublishRefused
	// PublishUnknown means that the document may have been published.
	PublishUnknown
)

// PublishResult is the result of a publication. Reason explains a status other
// than PublishAccepted.
type PublishResult struct {
	Status  PublishStatus
	Version config.Version
	Reason  string
}
