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

// Settings describe the process to New.
type Settings struct {
	Self Identity
	// Writer is unique to this process. It settles lost answers.
	Writer string
	// Seed seeds the choice of peers and the jitter.
	Seed uint64
}

// guards switch single safety rules off, so that tests can show that the
// oracle notices their absence.
type guards struct {
	noLapseWait      bool // a lease counts as lapsed when it is first seen
	noNewIncarnation bool // a lapsed lease is renewed under the same incarnation
	leaseFromAnswer  bool // the lease runs from the answer, not from the request
	noPromise        bool // a minter with a lapsed lease does not ask for promises
	noQuietPeriod    bool // a host takes minter roles over right after its start
	noTransit        bool // ages in answers do not count the time in transit
	noBaseCheck      bool // a publication ignores the operator's base version
	noReadBack       bool // a lost answer counts as a failed write
	versionsMayFall  bool // any fetched document is put in force
	noWitness        bool // a publication is accepted before other hosts know of it
	noInformed       bool // a host attests right after its start
	noMajority       bool // any number of hosts may be gone
	ignoreSilent     bool // hosts without a fresh attestation do not age the knowledge of keys
}

// Fleet is the aggregate. It is not safe for concurrent use.
type Fleet struct {
	self    Identity
	writer  string
	rng     *rand.Rand
	guards  guards
	start   time.Duration
	started bool
	actions []Action

	nextCall    uint64
	duties      [dutyCount]duty
	lastStoreOK time.Duration
	stopped     bool
	leaving     bool

	lease     lease
	hostViews map[string]*leaseView
	hostScan  scan
	roleScan  scan
	watching  time.Duration // host rows are scanned until then

	records       map[string]*record
	order         []*record // by name
	me            *record
	beatAt        time.Duration
	pendingCalls  map[uint64]peerCall
	promisedUntil time.Duration
	evaluatedAt   time.Duration

	roles   rolesState
	conf    configState
	publish *publication
}

// scan is the state of an incremental read of rows with one prefix.
type scan struct {
	after store.Revision
	// sent is when the newest completed scan was sent.
	sent time.Duration
	done bool
}

type peerCall struct {
	peer    string
	address string
	sent    time.Duration
	probe   bool
	digests []uint64 // sent with the request
}

// New returns the aggregate of a process that has just started.
func New(s Settings) *Fleet {
	f := &Fleet{
		self:         s.Self,
		writer:       s.Writer,
		rng:          rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(s.Self.Name))),
		hostViews:    map[string]*leaseView{},
		records:      map[string]*record{},
		pendingCalls: map[uint64]peerCall{},
	}
	f.roles.init()
	f.me = f.record(s.Self.Name)
	f.me.identify(s.Self)
	return f
}

// Step takes one input and returns the actions that follow from it.
func (f *Fleet) Step(now time.Duration, in Input) []Action {
	f.begin(now)
	if f.stopped {
		return nil
	}
	switch in := in.(type) {
	case Tick:
		f.tick(now)
	case StoreDone:
		f.storeDone(now, in)
	case DocumentDone:
		f.documentDone(now, in)
	case ExchangeDone:
		f.exchangeDone(now, in)
	case ProbeDone:
		f.probeDone(in)
	case HostsListed:
		f.hostsListed(in)
	case Publish:
		f.publishAsked(now, in)
	case AbandonPublish:
		if f.publish != nil && f.publish.id == in.ID {
			f.publishEnds(PublishUnknown, "no settled answer within the deadline")
		}
	case HandoverReceived:
		f.duties[DutyRoleScan].next = now
	case Leave:
		f.leaving, f.me.leaving = true, true
		f.me.restate()
	case GiveUpLease:
		f.lease.giveUp = true
		f.duties[DutyLease].next = now
	}
	f.extendMinting(now)
	f.startDue(now)
	out := f.actions
	f.actions = nil
	return out
}

// begin applies what the passing of time alone changes, before any input is
// looked at: a lease that has lapsed stays lapsed.
func (f *Fleet) begin(now time.Duration) {
	if !f.started {
		// A host without any answer from the store promises from its start.
		f.started, f.start, f.lastStoreOK = true, now, now-promiseAfter
	}
	f.lease.expire(now, f.guards)
	f.expireMinting(now)
}

func (f *Fleet) emit(a Action) { f.actions = append(f.actions, a) }

// changed emits at most one Changed for one step.
func (f *Fleet) changed() {
	for _, a := range f.actions {
		if _, ok := a.(Changed); ok {
			return
		}
	}
	f.emit(Changed{})
}

func (f *Fleet) tick(now time.Duration) {
	f.startExchanges(now)
	f.probe(now)
	f.refreshKeys(now)
	if now >= f.evaluatedAt+evaluateInterval || !f.roles.evaluated {
		f.evaluatedAt = now
		f.forget(now)
		f.evaluateRoles(now)
	}
}

// startDue starts every duty that is due and idle.
func (f *Fleet) startDue(now time.Duration) {
	if f.stopped {
		return
	}
	if f.due(DutyLease, now) {
		f.renew(now)
	}
	if f.due(DutyHostScan, now) && (f.hosts() <= smallFleet || now < f.watching) {
		f.send(DutyHostScan, now, StoreCall{Op: OpScan, Key: hostPrefix, After: f.hostScan.after})
	}
	if f.due(DutyRoleScan, now) {
		f.send(DutyRoleScan, now, StoreCall{Op: OpScan, Key: rolePrefix, After: f.roleScan.after})
	}
	if f.due(DutyRoleWrite, now) {
		f.writeRole(now)
	}
	if f.due(DutyPointer, now) && f.polls(now) {
		f.send(DutyPointer, now, StoreCall{Op: OpGet, Key: pointerKey})
	}
	if f.due(DutyFetch, now) {
		f.fetch(now)
	}
	if f.publish != nil && f.due(DutyPublish, now) {
		f.publishNext(now)
	}
}

func (f *Fleet) storeDone(now time.Duration, in StoreDone) {
	d, ok := f.done(in.Call)
	if !ok {
		return
	}
	if in.Outcome != Unknown {
		f.lastStoreOK = now
	}
	switch d {
	case DutyLease:
		f.leaseDone(now, in)
	case DutyHostScan:
		f.hostsScanned(now, in)
	case DutyRoleScan:
		f.rolesScanned(now, in)
	case DutyRoleWrite:
		f.roleWritten(now, in)
	case DutyPointer:
		f.pointerRead(now, in)
	case DutyFetch:
		f.objectRead(now, in)
	case DutyPublish:
		f.publishDone(now, in)
	}
}

// hosts returns the size of the fleet.
func (f *Fleet) hosts() int {
	if d := f.conf.document; d != nil {
		return len(d.Inventory.Hosts)
	}
	return len(f.records)
}

func (f *Fleet) hostsListed(in HostsListed) {
	for _, h := range in.Hosts {
		if h.Name == f.self.Name || h.Leaving {
			continue
		}
		f.addressSeen(h.Name, h.Address, h.Zone)
	}
}

// addressSeen notes where a host can be reached, unless a heartbeat has said so.
func (f *Fleet) addressSeen(name, address, zone string) {
	r := f.record(name)
	if !r.known {
		r.address, r.zone = address, zone
	}
}

// record returns the record of a host and creates it if needed.
func (f *Fleet) record(name string) *record {
	if r, ok := f.records[name]; ok {
		return r
	}
	r := &record{name: name, hash: xxhash.Sum64String(name)}
	f.records[name] = r
	at, _ := slices.BinarySearchFunc(f.order, name, func(r *record, n string) int { return strings.Compare(r.name, n) })
	f.order = slices.Insert(f.order, at, r)
	return r
}

// forget drops hosts outside the inventory that have been silent for long.
func (f *Fleet) forget(now time.Duration) {
	if f.conf.document == nil {
		return
	}
	f.order = slices.DeleteFunc(f.order, func(r *record) bool {
		gone := r != f.me && !f.conf.inventory[r.name] && r.known && now-r.statedAt > forgetAfter
		if gone {
			delete(f.records, r.name)
		}
		return gone
	})
}

// Self returns the own identity. The incarnation changes when a lapsed lease is
// regained.
func (f *Fleet) Self() Identity { return f.self }

// LeaseUntil returns the end of the own lease. It is in the past when there is
// none.
func (f *Fleet) LeaseUntil() time.Duration { return f.lease.until }

// LeaseGivenUp reports whether the own lease has been ended in the store.
func (f *Fleet) LeaseGivenUp() bool { return f.lease.givenUp }

// Document returns the configuration in force, nil before the first, and its
// encoded form.
func (f *Fleet) Document() (*config.Document, []byte) { return f.conf.document, f.conf.data }

// Peers returns the other hosts by name.
func (f *Fleet) Peers(now time.Duration) []Peer {
	out := make([]Peer, 0, len(f.order))
	for _, r := range f.order {
		if r != f.me && r.address != "" {
			out = append(out, Peer{r.name, r.zone, r.address, r.live(now, liveAge(f.hosts())), r.leaving})
		}
	}
	return out
}
