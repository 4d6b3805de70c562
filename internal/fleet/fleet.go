package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Settings are the parameters of New.
type Settings struct {
	Self Identity
	// Writer is unique to this process. It shows whether a write whose answer was
	// lost has taken effect.
	Writer string
	// Seed seeds the random choice of peers and the jitter.
	Seed uint64
}

// disabledGuards switches single safety rules off, so that tests can show that the
// oracle detects their absence. It is set only by tests of this package.
type disabledGuards struct {
	skipLapseWait         bool // a lease counts as lapsed as soon as it is first observed
	keepIncarnation       bool // a lapsed lease is renewed under the same incarnation
	leaseFromAnswer       bool // the lease runs from the answer instead of the request
	skipPromise           bool // a minter with a lapsed lease mints without promises
	skipQuietPeriod       bool // a host takes over minter roles right after its start
	ignoreTransitTime     bool // the age of a received attestation excludes the time in transit
	skipBaseCheck         bool // a publication does not check the operator's base version
	skipReadBack          bool // a lost answer is taken for a failed write
	allowOlderVersion     bool // a fetched document is put in force whatever its version
	skipMajorityWait      bool // a publication is accepted before other hosts have seen the version
	attestUninformed      bool // a host counts as informed right after its start
	skipAttestationQuorum bool // attestations count with any number of hosts unavailable
	ignoreSilentHosts     bool // hosts without a recent attestation are left out of the age of the configuration
}

// Fleet is the state machine of one host. It is not safe for concurrent use.
type Fleet struct {
	self      Identity
	writer    string
	rng       *rand.Rand
	disabled  disabledGuards
	startedAt time.Duration
	started   bool
	actions   []Action

	nextCall          uint64
	duties            [dutyCount]duty
	lastStoreAnswerAt time.Duration
	stopped           bool
	leaving           bool

	lease          lease
	observedLeases map[string]*observedLease
	hostScan       scan
	roleScan       scan
	scanHostsUntil time.Duration // large fleets scan the host rows only before this time

	records        map[string]*hostRecord
	sortedRecords  []*hostRecord // by name
	selfRecord     *hostRecord
	nextExchangeAt time.Duration
	peerCalls      map[uint64]peerCall
	promisedUntil  time.Duration
	evaluatedAt    time.Duration

	roles       rolesState
	config      configState
	publication *publication
}

// scan is the state of an incremental read of all rows with one key prefix.
type scan struct {
	after store.Revision
	// sentAt is when the request of the newest completed scan was sent.
	sentAt    time.Duration
	completed bool
}

type peerCall struct {
	peer    string
	address string
	sentAt  time.Duration
	probe   bool
	digests []uint64 // sent with the request
}

// New returns the Fleet of a process that has just started.
func New(s Settings) *Fleet {
	f := &Fleet{
		self:           s.Self,
		writer:         s.Writer,
		rng:            rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(s.Self.Name))),
		observedLeases: map[string]*observedLease{},
		records:        map[string]*hostRecord{},
		peerCalls:      map[uint64]peerCall{},
	}
	f.roles.init()
	f.selfRecord = f.getOrCreateRecord(s.Self.Name)
	f.selfRecord.setIdentity(s.Self)
	return f
}

// Step applies one input at the time now and returns the resulting actions.
func (f *Fleet) Step(now time.Duration, in Input) []Action {
	f.advanceClock(now)
	if f.stopped {
		return nil
	}
	switch in := in.(type) {
	case Tick:
		f.tick(now)
	case StoreDone:
		f.handleStoreDone(now, in)
	case DocumentDone:
		f.handleDocumentDone(now, in)
	case ExchangeDone:
		f.handleExchangeDone(now, in)
	case ProbeDone:
		f.handleProbeDone(in)
	case HostsListed:
		f.handleHostsListed(in)
	case Publish:
		f.handlePublish(now, in)
	case AbandonPublish:
		if f.publication != nil && f.publication.id == in.ID {
			f.endPublication(PublishUnknown, "no definite result within the deadline")
		}
	case HandoverReceived:
		f.duties[DutyRoleScan].nextAt = now
	case Leave:
		f.leaving, f.selfRecord.leaving = true, true
		f.selfRecord.updateDigest()
	case ReleaseLease:
		f.lease.releaseRequested = true
		f.duties[DutyLease].nextAt = now
	}
	f.extendMinting(now)
	f.startDueDuties(now)
	out := f.actions
	f.actions = nil
	return out
}

// advanceClock applies the changes that depend on time alone. It runs before
// the input is applied, so that an input cannot revive a lapsed lease.
func (f *Fleet) advanceClock(now time.Duration) {
	if !f.started {
		// A host may promise from its start until the store has answered once.
		f.started, f.startedAt, f.lastStoreAnswerAt = true, now, now-promiseAfter
	}
	f.lease.expire(now, f.disabled)
	f.expireMinting(now)
}

func (f *Fleet) emit(a Action) { f.actions = append(f.actions, a) }

// emitChanged emits StateChanged, at most once per step.
func (f *Fleet) emitChanged() {
	for _, a := range f.actions {
		if _, ok := a.(StateChanged); ok {
			return
		}
	}
	f.emit(StateChanged{})
}

func (f *Fleet) tick(now time.Duration) {
	f.startExchanges(now)
	f.probeSilentHosts(now)
	f.updateFreshness(now)
	if now >= f.evaluatedAt+evaluateInterval || !f.roles.evaluated {
		f.evaluatedAt = now
		f.dropStaleRecords(now)
		f.evaluateRoles(now)
	}
}

// startDueDuties starts every idle duty whose time has come.
func (f *Fleet) startDueDuties(now time.Duration) {
	if f.stopped {
		return
	}
	if f.isDue(DutyLease, now) {
		f.renewLease(now)
	}
	if f.isDue(DutyHostScan, now) && (f.hostCount() <= smallFleetHosts || now < f.scanHostsUntil) {
		f.startStoreCall(DutyHostScan, now, StoreCall{Op: OpScan, Key: hostPrefix, After: f.hostScan.after})
	}
	if f.isDue(DutyRoleScan, now) {
		f.startStoreCall(DutyRoleScan, now, StoreCall{Op: OpScan, Key: rolePrefix, After: f.roleScan.after})
	}
	if f.isDue(DutyRoleWrite, now) {
		f.writeRole(now)
	}
	if f.isDue(DutyPointer, now) && f.shouldPollPointer(now) {
		f.startStoreCall(DutyPointer, now, StoreCall{Op: OpGet, Key: pointerKey})
	}
	if f.isDue(DutyFetch, now) {
		f.fetchDocument(now)
	}
	if f.publication != nil && f.isDue(DutyPublish, now) {
		f.continuePublication(now)
	}
}

func (f *Fleet) handleStoreDone(now time.Duration, in StoreDone) {
	d, ok := f.endCall(in.Call)
	if !ok {
		return
	}
	if in.Outcome != OutcomeUnknown {
		f.lastStoreAnswerAt = now
	}
	switch d {
	case DutyLease:
		f.handleLeaseDone(now, in)
	case DutyHostScan:
		f.handleHostScan(now, in)
	case DutyRoleScan:
		f.handleRoleScan(now, in)
	case DutyRoleWrite:
		f.handleRoleWrite(now, in)
	case DutyPointer:
		f.handlePointerRead(now, in)
	case DutyFetch:
		f.handleObjectRead(now, in)
	case DutyPublish:
		f.handlePublishDone(now, in)
	}
}

// hostCount returns the number of hosts in the inventory, or of the hosts seen
// so far when there is no configuration.
func (f *Fleet) hostCount() int {
	if d := f.config.document; d != nil {
		return len(d.Inventory.Hosts)
	}
	return len(f.records)
}

func (f *Fleet) handleHostsListed(in HostsListed) {
	for _, h := range in.Hosts {
		if h.Name == f.self.Name || h.Leaving {
			continue
		}
		f.setFallbackAddress(h.Name, h.Address, h.Zone)
	}
}

// setFallbackAddress sets the address and zone of a host that has not sent an
// attestation yet.
func (f *Fleet) setFallbackAddress(name, address, zone string) {
	r := f.getOrCreateRecord(name)
	if !r.inRoster {
		r.address, r.zone = address, zone
	}
}

// getOrCreateRecord returns the record of a host and creates it if necessary.
func (f *Fleet) getOrCreateRecord(name string) *hostRecord {
	if r, ok := f.records[name]; ok {
		return r
	}
	r := &hostRecord{name: name, hash: xxhash.Sum64String(name)}
	f.records[name] = r
	at, _ := slices.BinarySearchFunc(f.sortedRecords, name, func(r *hostRecord, n string) int { return strings.Compare(r.name, n) })
	f.sortedRecords = slices.Insert(f.sortedRecords, at, r)
	return r
}

// dropStaleRecords drops hosts outside the inventory whose last attestation is
// older than recordRetention.
func (f *Fleet) dropStaleRecords(now time.Duration) {
	if f.config.document == nil {
		return
	}
	f.sortedRecords = slices.DeleteFunc(f.sortedRecords, func(r *hostRecord) bool {
		stale := r != f.selfRecord && !f.config.inventory[r.name] && r.inRoster && now-r.attestedAt > recordRetention
		if stale {
			delete(f.records, r.name)
		}
		return stale
	})
}

// Self returns the identity of this host. Its incarnation grows when a lapsed
// lease is regained.
func (f *Fleet) Self() Identity { return f.self }

// LeaseUntil returns the end of this host's lease. It is in the past when the
// host holds no lease.
func (f *Fleet) LeaseUntil() time.Duration { return f.lease.until }

// LeaseReleased reports whether this host has released its lease in the store.
func (f *Fleet) LeaseReleased() bool { return f.lease.released }

// Document returns the configuration in force and its encoded form, nil if
// there is none yet.
func (f *Fleet) Document() (*config.Document, []byte) { return f.config.document, f.config.data }

// Peers returns the other hosts with an address, ordered by name.
func (f *Fleet) Peers(now time.Duration) []Peer {
	out := make([]Peer, 0, len(f.sortedRecords))
	for _, r := range f.sortedRecords {
		if r != f.selfRecord && r.address != "" {
			out = append(out, Peer{r.name, r.zone, r.address, r.isLive(now, maxLiveAge(f.hostCount())), r.leaving})
		}
	}
	return out
}
