package fleet

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// MinterShards is the number of minter roles per zone.
const MinterShards = 4

// HomeRole returns the name of the home role of a backend server.
func HomeRole(server string) string { return "server/" + server }

// MinterRole returns the name of a minter role.
func MinterRole(zone string, shard int) string { return fmt.Sprintf("rate/%s/%d", zone, shard) }

// role is the last known row of a role and this host's relation to it.
type role struct {
	name       string
	hash       uint64
	zone       string
	minter     bool
	configured bool // part of the document in force

	row           roleRow
	revision      store.Revision
	readFromStore bool // this host read the row from the store; otherwise a peer relayed it
	// claimableSince is when the role became claimable. It is valid when claimable
	// is set.
	claimable      bool
	claimableSince time.Duration

	// held is set while this host holds the role with the row heldRow.
	held    bool
	heldRow roleRow
	// protected is set while a minter role has been protected against take-over
	// without a gap. mintUntil is the end of the current protection.
	protected bool
	mintUntil time.Duration
	// releasing is set from the decision to hand over the role until a newer row
	// has been read.
	releasing bool
	// receivedWhileLeaving is set when the role was assigned to this host after it
	// had started to leave.
	receivedWhileLeaving bool
}

type rolesState struct {
	byName       map[string]*role
	sorted       []*role
	evaluated    bool
	rebalancedAt time.Duration
	pendingWrite *roleWrite
}

// roleWrite is a role write in flight, or one whose result has to be read back.
type roleWrite struct {
	role           *role
	row            roleRow
	expectRevision store.Revision
	readBack       bool
	// resend is set when a read shows that the write has not taken effect so far.
	resend bool
	// takeover is set when the write replaces a holder whose lease has lapsed.
	takeover bool
}

func (s *rolesState) init() { s.byName = map[string]*role{} }

func (s *rolesState) getOrCreate(name string) *role {
	if r, ok := s.byName[name]; ok {
		return r
	}
	r := &role{name: name, hash: xxhash.Sum64String(name)}
	s.byName[name] = r
	at, _ := slices.BinarySearchFunc(s.sorted, name, func(r *role, n string) int { return strings.Compare(r.name, n) })
	s.sorted = slices.Insert(s.sorted, at, r)
	return r
}

// setDocument marks the roles that the document contains as configured and
// creates missing ones.
func (s *rolesState) setDocument(d *config.Document) {
	for _, r := range s.sorted {
		r.configured = false
	}
	configure := func(name, zone string, minter bool) {
		r := s.getOrCreate(name)
		r.configured, r.zone, r.minter = true, zone, minter
	}
	for _, g := range d.Inventory.Groups {
		for _, srv := range g.Servers {
			configure(HomeRole(srv.Name), srv.Zone, false)
		}
	}
	for _, z := range d.Inventory.Zones {
		for shard := range MinterShards {
			configure(MinterRole(z.Name, shard), z.Name, true)
		}
	}
}

func (s *rolesState) encodeRows() []*peerpb.RoleRow {
	var out []*peerpb.RoleRow
	for _, r := range s.sorted {
		if r.revision > 0 {
			out = append(out, &peerpb.RoleRow{
				Role: r.name, Holder: r.row.Holder, Incarnation: r.row.Incarnation,
				Epoch: r.row.Epoch, Revision: uint64(r.revision),
			})
		}
	}
	return out
}

func (f *Fleet) handleRoleScan(now time.Duration, in StoreDone) {
	if in.Outcome != OutcomeOK {
		f.scheduleRetry(DutyRoleScan, now)
		return
	}
	interval := roleScanIntervalSmall
	if f.hostCount() > smallFleetHosts {
		interval = roleScanIntervalLarge
	}
	f.scheduleNext(DutyRoleScan, interval)
	f.roleScan.sentAt, f.roleScan.completed = f.duties[DutyRoleScan].sentAt, true
	for _, r := range in.Rows {
		f.roleScan.after = max(f.roleScan.after, r.Revision)
		f.applyRoleRow(r.Key[len(rolePrefix):], r.Revision, decodeRow[roleRow](r), true)
	}
}

// applyRoleRow applies a row that is newer than the last known one. A row
// relayed by a peer only serves to locate the holder; it never makes this host
// the holder.
func (f *Fleet) applyRoleRow(name string, rev store.Revision, row roleRow, fromStore bool) {
	r := f.roles.getOrCreate(name)
	if rev < r.revision || rev == r.revision && (r.readFromStore || !fromStore) {
		return
	}
	r.row, r.revision, r.readFromStore = row, rev, fromStore
	r.claimable = false
	if !fromStore {
		return
	}
	r.releasing = false
	mine := row.Holder == f.self.Name && row.Incarnation == f.self.Incarnation
	switch {
	case mine:
		r.held, r.heldRow, r.receivedWhileLeaving = true, row, f.leaving
	case r.held && row != r.heldRow:
		r.held = false
	}
	f.roles.evaluated = false
	f.emitChanged()
}

// liveHosts returns the hosts of a zone that can take roles now. An empty zone
// stands for all zones that are in service.
func (f *Fleet) liveHosts(now time.Duration, zone string) []*hostRecord {
	age := maxLiveAge(f.hostCount())
	var out []*hostRecord
	for _, r := range f.sortedRecords {
		if zone != "" && r.zone != zone || zone == "" && f.config.zoneOut[r.zone] || !f.config.inventory[r.name] {
			continue
		}
		if r == f.selfRecord {
			if f.leaseLive(now) && !f.leaving {
				out = append(out, r)
			}
		} else if r.isLive(now, age) && r.hasLease && !r.leaving {
			out = append(out, r)
		}
	}
	return out
}

func rendezvousScore(hash uint64, r *hostRecord) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	binary.LittleEndian.PutUint64(b[8:], r.hash)
	return xxhash.Sum64(b[:])
}

// rank returns the rank of self among the hosts by rendezvous hashing, or
// len(hosts) if self is not one of them.
func rank(hosts []*hostRecord, hash uint64, self *hostRecord) int {
	if !slices.Contains(hosts, self) {
		return len(hosts)
	}
	selfScore, n := rendezvousScore(hash, self), 0
	for _, r := range hosts {
		if rendezvousScore(hash, r) > selfScore {
			n++
		}
	}
	return n
}

func highestRanked(hosts []*hostRecord, hash uint64) *hostRecord {
	var top *hostRecord
	for _, r := range hosts {
		if top == nil || rendezvousScore(hash, r) > rendezvousScore(hash, top) {
			top = r
		}
	}
	return top
}

// candidates returns the hosts that may hold a role. fallback reports that they
// are of other zones although the role's own zone is in service.
func (f *Fleet) candidates(now time.Duration, r *role) (hosts []*hostRecord, fallback bool) {
	if f.config.zoneOut[r.zone] {
		if hosts = f.liveHosts(now, ""); len(hosts) > 0 {
			return hosts, false
		}
	}
	if hosts = f.liveHosts(now, r.zone); len(hosts) > 0 {
		return hosts, false
	}
	return f.liveHosts(now, ""), true
}

// takeoverCandidates returns the hosts that may take over a role from a holder
// whose lease has lapsed. A minter in the role's own zone may be minting
// on the promises of the other hosts of that zone, so no host of another zone
// may succeed it.
func (f *Fleet) takeoverCandidates(now time.Duration, r *role) ([]*hostRecord, bool) {
	if holder, ok := f.records[r.row.Holder]; r.minter && (!ok || holder.zone == r.zone) {
		return f.liveHosts(now, r.zone), false
	}
	return f.candidates(now, r)
}

// zoneLeasesLapsed reports whether no host of the zone holds a lease according
// to the store.
func (f *Fleet) zoneLeasesLapsed(now time.Duration, zone string) bool {
	if !f.hostScan.completed {
		return false
	}
	for _, h := range f.config.document.Inventory.Hosts {
		if h.Zone == zone && f.mayHoldLease(now, h.Name) {
			return false
		}
	}
	return true
}

// evaluateRoles determines which roles are claimable. It extends the scan of the
// host rows while the lease of a holder is in doubt that this host is among the
// first to succeed.
func (f *Fleet) evaluateRoles(now time.Duration) {
	f.roles.evaluated = true
	if f.config.document == nil || !f.roleScan.completed {
		return
	}
	age := maxLiveAge(f.hostCount())
	for _, r := range f.roles.sorted {
		if !r.configured || r.held {
			r.claimable = false
			continue
		}
		holder := f.records[r.row.Holder]
		suspect := r.row.Holder != "" && (holder == nil || !holder.isLive(now, age) || holder.incarnation != r.row.Incarnation)
		if suspect && f.amongFirstSuccessors(now, r) {
			f.scanHostsUntil = now + hostScanExtension
		}
		claimable := r.row.Holder == "" || suspect && f.leaseLapsed(now, r.row.Holder, r.row.Incarnation)
		if claimable && !r.claimable {
			r.claimableSince = now
		}
		r.claimable = claimable
	}
}

// amongFirstSuccessors reports whether this host is one of the two
// highest-ranked candidates for taking over a role.
func (f *Fleet) amongFirstSuccessors(now time.Duration, r *role) bool {
	hosts, _ := f.takeoverCandidates(now, r)
	return rank(hosts, r.hash, f.selfRecord) < 2
}

// writeRole sends the most urgent role write.
func (f *Fleet) writeRole(now time.Duration) {
	s := &f.roles
	if w := s.pendingWrite; w != nil && w.resend {
		// The store may still execute a write whose answer was lost, until the row has
		// changed. The write is repeated to change the row, because the host must not
		// promise while its take-over of a minter role may still take effect.
		w.resend, w.readBack = false, false
		f.sendRoleWrite(now, w)
		return
	} else if w != nil { // read back the previous write first
		w.readBack = true
		f.startStoreCall(DutyRoleWrite, now, StoreCall{Op: OpGet, Key: rolePrefix + w.role.name})
		return
	}
	if f.config.document == nil || !f.roleScan.completed || !f.leaseLive(now) {
		return
	}
	w := f.chooseRenewal()
	if w == nil {
		w = f.chooseHandover(now)
	}
	if w == nil {
		w = f.chooseClaim(now)
	}
	if w == nil {
		return
	}
	w.row.Writer = f.writer
	s.pendingWrite = w
	f.sendRoleWrite(now, w)
}

func (f *Fleet) sendRoleWrite(now time.Duration, w *roleWrite) {
	call := StoreCall{Op: OpCompareAndSwap, Key: rolePrefix + w.role.name, Expect: w.expectRevision, Value: encode(w.row)}
	if w.role.releasing {
		call.ReleasedRole = w.role.name
	}
	f.startStoreCall(DutyRoleWrite, now, call)
}

// chooseRenewal returns the write that renews a held role after the lease was
// regained under a new incarnation, or nil. The write takes effect only if the row
// has not changed, so no other host has held the role in between and its epoch
// stays.
func (f *Fleet) chooseRenewal() *roleWrite {
	for _, r := range f.roles.sorted {
		if r.held && !r.releasing && r.heldRow.Incarnation != f.self.Incarnation {
			row := r.heldRow
			row.Incarnation = f.self.Incarnation
			return &roleWrite{role: r, row: row, expectRevision: r.revision}
		}
	}
	return nil
}

// chooseHandover returns the write that moves a role from this host to the host that
// should hold it, or nil. This host stops using the role before the write. Moves
// that only spread load are made one at a time, at intervals of rebalanceInterval.
func (f *Fleet) chooseHandover(now time.Duration) *roleWrite {
	for _, r := range f.roles.sorted {
		if !r.held && !r.releasing {
			continue
		}
		target, urgent := f.handoverTarget(now, r)
		if r.releasing {
			urgent = true
		} else if target == f.selfRecord {
			continue
		}
		if !urgent && (now < f.roles.rebalancedAt+rebalanceInterval || f.storeFailing()) {
			continue
		}
		if !urgent {
			f.roles.rebalancedAt = now
		}
		return f.beginHandover(r, target)
	}
	return nil
}

// storeFailing reports whether the last call of any duty failed. A role whose
// hand-over coincides with a store outage is unavailable until the store
// answers again, so moves that only spread load do not start then.
func (f *Fleet) storeFailing() bool {
	for i := range f.duties {
		if f.duties[i].failures > 0 {
			return true
		}
	}
	return false
}

// handoverTarget returns the host that should hold the role, nil for none.
// urgent reports that the move does not merely spread load.
func (f *Fleet) handoverTarget(now time.Duration, r *role) (target *hostRecord, urgent bool) {
	// Several hosts that stop at the same time may hand roles to each other,
	// because none has seen yet that the others are leaving. Such a role could be
	// passed back and forth, so it is released instead.
	if !r.configured || r.receivedWhileLeaving {
		return nil, true
	}
	hosts, _ := f.candidates(now, r)
	urgent = f.leaving || f.config.zoneOut[f.self.Zone] && !slices.Contains(hosts, f.selfRecord)
	if !urgent {
		hosts = slices.DeleteFunc(hosts, func(h *hostRecord) bool { return h != f.selfRecord && now-h.liveSince < minLiveTimeForMove })
	}
	if len(hosts) == 0 && !f.leaving {
		return f.selfRecord, false
	}
	return highestRanked(hosts, r.hash), urgent
}

// beginHandover stops using the role on this host, before the row changes, and
// returns the write that hands it over.
func (f *Fleet) beginHandover(r *role, target *hostRecord) *roleWrite {
	row := roleRow{Epoch: r.row.Epoch}
	if target != nil {
		row = roleRow{Holder: target.name, Incarnation: target.incarnation, Epoch: r.row.Epoch + 1}
	}
	if target == f.selfRecord {
		row.Incarnation = f.self.Incarnation
	}
	if r.held {
		r.held, r.releasing = false, true
		f.emitChanged()
	}
	return &roleWrite{role: r, row: row, expectRevision: r.revision}
}

// chooseClaim returns the claim of a claimable role once this host's turn by
// rank has come, or nil.
func (f *Fleet) chooseClaim(now time.Duration) *roleWrite {
	if f.leaving || !f.config.inventory[f.self.Name] {
		return nil
	}
	for _, r := range f.roles.sorted {
		if !r.claimable || r.releasing || r.held {
			continue
		}
		takeover := r.row.Holder != ""
		hosts, fallback := f.candidates(now, r)
		if takeover {
			hosts, fallback = f.takeoverCandidates(now, r)
		}
		n := rank(hosts, r.hash, f.selfRecord)
		if n == len(hosts) || now < r.claimableSince+time.Duration(n)*claimDelayPerRank {
			continue
		}
		if takeover && r.minter && !f.mayTakeOverMinter(now) {
			continue
		}
		if fallback && now < r.claimableSince+fallbackDelay {
			continue
		}
		if fallback {
			f.scanHostsUntil = now + hostScanExtension
			if !f.zoneLeasesLapsed(now, r.zone) {
				continue
			}
		}
		row := roleRow{Holder: f.self.Name, Incarnation: f.self.Incarnation, Epoch: r.row.Epoch + 1}
		return &roleWrite{role: r, row: row, expectRevision: r.revision, takeover: takeover}
	}
	return nil
}

func (f *Fleet) handleRoleWrite(now time.Duration, in StoreDone) {
	s := &f.roles
	w := s.pendingWrite
	d := &f.duties[DutyRoleWrite]
	switch {
	case in.Outcome == OutcomeUnknown && f.disabled.skipReadBack:
		s.pendingWrite = nil
		f.scheduleRetry(DutyRoleWrite, now)
		return
	case in.Outcome == OutcomeUnknown:
		f.scheduleRetry(DutyRoleWrite, now)
		return
	case in.Outcome == OutcomeConflict:
		d.nextAt = now // read the row
		return
	}
	d.failures, d.nextAt = 0, now+f.roleWriteInterval()
	if w.readBack && w.takeover && in.Rows[0].Revision == w.expectRevision {
		w.resend = true
		return
	}
	s.pendingWrite = nil
	row, rev := w.row, in.Revision
	if w.readBack {
		row, rev = decodeRow[roleRow](in.Rows[0]), in.Rows[0].Revision
	}
	f.applyRoleRow(w.role.name, rev, row, true)
	if r := w.role; w.readBack && r.releasing && rev == r.revision {
		d.nextAt = now // the hand-over did not take effect; retry
	}
	if h := f.records[row.Holder]; h != nil && h != f.selfRecord {
		f.emit(Handover{h.address, []string{w.role.name}})
	}
}

// roleWriteInterval returns the minimum time between role writes of one host.
// It keeps the whole fleet below maxWritesPerSecond.
func (f *Fleet) roleWriteInterval() time.Duration {
	if f.hostCount() <= smallFleetHosts {
		return 0
	}
	return time.Duration(f.hostCount()) * time.Second / maxWritesPerSecond
}

// HeldRoles returns the roles held by this host.
func (f *Fleet) HeldRoles(now time.Duration) []Role {
	var out []Role
	for _, r := range f.roles.sorted {
		if r.held {
			out = append(out, Role{r.name, r.heldRow.Epoch, f.holdsUnderLiveLease(now, r)})
		}
	}
	return out
}

func (f *Fleet) holdsUnderLiveLease(now time.Duration, r *role) bool {
	return r.held && r.heldRow.Incarnation == f.self.Incarnation && f.leaseLive(now)
}

// Holder returns the last known holder of a role. It returns false when there is
// none, when the role is being handed over, and when the holder's lease has lapsed
// and neither a newer incarnation nor a recent attestation of the holder is known.
func (f *Fleet) Holder(now time.Duration, name string) (Identity, bool) {
	r, ok := f.roles.byName[name]
	if !ok || r.row.Holder == "" || r.releasing {
		return Identity{}, false
	}
	if r.row.Holder == f.self.Name {
		return f.self, r.held
	}
	h, ok := f.records[r.row.Holder]
	if !ok || f.leaseLapsed(now, h.name, r.row.Incarnation) && h.incarnation == r.row.Incarnation && !h.isLive(now, maxLiveAge(f.hostCount())) {
		return Identity{}, false
	}
	return Identity{h.name, h.zone, h.address, h.incarnation}, true
}
