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

// RateShards is the number of minter roles per zone.
const RateShards = 4

// ServerRole returns the name of the home role of a backend server.
func ServerRole(server string) string { return "server/" + server }

// RateRole returns the name of a minter role.
func RateRole(zone string, shard int) string { return fmt.Sprintf("rate/%s/%d", zone, shard) }

// role is one role row as last seen, and what this host does about it.
type role struct {
	name   string
	hash   uint64
	zone   string
	rate   bool
	wanted bool // the document in force has the role

	row      roleRow
	revision store.Revision
	fromRead bool // the row was read from the store by this host
	// freeSince is when the role was first found to be claimable; it holds
	// while free is set.
	free      bool
	freeSince time.Duration

	// held is set while this host keeps the role under heldAs.
	held   bool
	heldAs roleRow
	// covered is set while a minter role has been protected against a take-over
	// without a gap. mintUntil is the end of what protects it now.
	covered   bool
	mintUntil time.Duration
	// releasing is set from the decision to hand the role over until a newer
	// row has been read.
	releasing bool
	// late is set when the role came while this host was leaving already.
	late bool
}

type rolesState struct {
	byName    map[string]*role
	order     []*role
	evaluated bool
	movedAt   time.Duration
	pending   *roleWrite
}

// roleWrite is the write of the role duty in flight or to be settled.
type roleWrite struct {
	role    *role
	row     roleRow
	expect  store.Revision
	reading bool
	// again is set when a read shows that the write has had no effect so far.
	again bool
	// takeover is set when the row names a holder whose lease has lapsed.
	takeover bool
}

func (s *rolesState) init() { s.byName = map[string]*role{} }

func (s *rolesState) get(name string) *role {
	if r, ok := s.byName[name]; ok {
		return r
	}
	r := &role{name: name, hash: xxhash.Sum64String(name)}
	s.byName[name] = r
	at, _ := slices.BinarySearchFunc(s.order, name, func(r *role, n string) int { return strings.Compare(r.name, n) })
	s.order = slices.Insert(s.order, at, r)
	return r
}

// setDocument marks the roles that the document asks for.
func (s *rolesState) setDocument(d *config.Document) {
	for _, r := range s.order {
		r.wanted = false
	}
	want := func(name, zone string, rate bool) {
		r := s.get(name)
		r.wanted, r.zone, r.rate = true, zone, rate
	}
	for _, g := range d.Inventory.Groups {
		for _, srv := range g.Servers {
			want(ServerRole(srv.Name), srv.Zone, false)
		}
	}
	for _, z := range d.Inventory.Zones {
		for shard := range RateShards {
			want(RateRole(z.Name, shard), z.Name, true)
		}
	}
}

func (s *rolesState) export() []*peerpb.RoleRow {
	var out []*peerpb.RoleRow
	for _, r := range s.order {
		if r.revision > 0 {
			out = append(out, &peerpb.RoleRow{
				Role: r.name, Holder: r.row.Holder, Incarnation: r.row.Incarnation,
				Epoch: r.row.Epoch, Revision: uint64(r.revision),
			})
		}
	}
	return out
}

func (f *Fleet) rolesScanned(now time.Duration, in StoreDone) {
	if in.Outcome != OK {
		f.fail(DutyRoleScan, now)
		return
	}
	interval := roleScanSmall
	if f.hosts() > smallFleet {
		interval = roleScanLarge
	}
	f.succeed(DutyRoleScan, interval)
	f.roleScan.sent, f.roleScan.done = f.duties[DutyRoleScan].sent, true
	for _, r := range in.Rows {
		f.roleScan.after = max(f.roleScan.after, r.Revision)
		f.roleSeen(r.Key[len(rolePrefix):], r.Revision, decodeRow[roleRow](r), true)
	}
}

// roleSeen takes a newer row over. A row that a peer relayed serves to find the
// holder and never makes this host the holder.
func (f *Fleet) roleSeen(name string, rev store.Revision, row roleRow, read bool) {
	r := f.roles.get(name)
	if rev < r.revision || rev == r.revision && (r.fromRead || !read) {
		return
	}
	r.row, r.revision, r.fromRead = row, rev, read
	r.free = false
	if !read {
		return
	}
	r.releasing = false
	mine := row.Holder == f.self.Name && row.Incarnation == f.self.Incarnation
	switch {
	case mine:
		r.held, r.heldAs, r.late = true, row, f.leaving
	case r.held && row != r.heldAs:
		r.held = false
	}
	f.roles.evaluated = false
	f.changed()
}

// liveHosts returns the hosts of a zone that may take roles now. An empty zone
// stands for all zones that are not out.
func (f *Fleet) liveHosts(now time.Duration, zone string) []*record {
	age := liveAge(f.hosts())
	var out []*record
	for _, r := range f.order {
		if zone != "" && r.zone != zone || zone == "" && f.conf.zoneOut[r.zone] || !f.conf.inventory[r.name] {
			continue
		}
		if r == f.me {
			if f.leaseLive(now) && !f.leaving {
				out = append(out, r)
			}
		} else if r.live(now, age) && r.leased && !r.leaving {
			out = append(out, r)
		}
	}
	return out
}

func score(hash uint64, r *record) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	binary.LittleEndian.PutUint64(b[8:], r.hash)
	return xxhash.Sum64(b[:])
}

// rank returns the rank of a host by rendezvous hashing, len(hosts) when it is
// not among them.
func rank(hosts []*record, hash uint64, me *record) int {
	if !slices.Contains(hosts, me) {
		return len(hosts)
	}
	own, n := score(hash, me), 0
	for _, r := range hosts {
		if score(hash, r) > own {
			n++
		}
	}
	return n
}

func best(hosts []*record, hash uint64) *record {
	var top *record
	for _, r := range hosts {
		if top == nil || score(hash, r) > score(hash, top) {
			top = r
		}
	}
	return top
}

// candidates returns the hosts that may hold a role, and whether they are of
// another zone than the role's although that zone is in use.
func (f *Fleet) candidates(now time.Duration, r *role) (hosts []*record, fallback bool) {
	if f.conf.zoneOut[r.zone] {
		if hosts = f.liveHosts(now, ""); len(hosts) > 0 {
			return hosts, false
		}
	}
	if hosts = f.liveHosts(now, r.zone); len(hosts) > 0 {
		return hosts, false
	}
	return f.liveHosts(now, ""), true
}

// takers returns the hosts that may take a role over from a holder whose lease
// has lapsed. A minter of its own zone may mint on the promises of its zone
// mates, so that nobody else may succeed it.
func (f *Fleet) takers(now time.Duration, r *role) ([]*record, bool) {
	if holder, ok := f.records[r.row.Holder]; r.rate && (!ok || holder.zone == r.zone) {
		return f.liveHosts(now, r.zone), false
	}
	return f.candidates(now, r)
}

// zoneLapsed reports whether no host of the zone holds a lease by the store.
func (f *Fleet) zoneLapsed(now time.Duration, zone string) bool {
	if !f.hostScan.done {
		return false
	}
	for _, h := range f.conf.document.Inventory.Hosts {
		if h.Zone == zone && f.leased(now, h.Name) {
			return false
		}
	}
	return true
}

// evaluateRoles notes which roles are claimable and keeps the host rows under
// observation while a holder is in doubt.
func (f *Fleet) evaluateRoles(now time.Duration) {
	f.roles.evaluated = true
	if f.conf.document == nil || !f.roleScan.done {
		return
	}
	age := liveAge(f.hosts())
	for _, r := range f.roles.order {
		if !r.wanted || r.held {
			r.free = false
			continue
		}
		holder := f.records[r.row.Holder]
		suspect := r.row.Holder != "" && (holder == nil || !holder.live(now, age) || holder.incarnation != r.row.Incarnation)
		if suspect && f.hasStake(now, r) {
			f.watching = now + watchDuration
		}
		free := r.row.Holder == "" || suspect && f.lapsed(now, r.row.Holder, r.row.Incarnation)
		if free && !r.free {
			r.freeSince = now
		}
		r.free = free
	}
}

// hasStake reports whether this host is among the first to take a role over.
func (f *Fleet) hasStake(now time.Duration, r *role) bool {
	hosts, _ := f.takers(now, r)
	return rank(hosts, r.hash, f.me) < 2
}

// writeRole chooses the most urgent role write and sends it.
func (f *Fleet) writeRole(now time.Duration) {
	s := &f.roles
	if w := s.pending; w != nil && w.again {
		// The store may still carry out a write whose answer was lost. Only a
		// change of the row shows that it no longer can, and a host must not
		// promise before that.
		w.again, w.reading = false, false
		f.sendRoleWrite(now, w)
		return
	} else if w != nil { // settle the last one first
		w.reading = true
		f.send(DutyRoleWrite, now, StoreCall{Op: OpGet, Key: rolePrefix + w.role.name})
		return
	}
	if f.conf.document == nil || !f.roleScan.done || !f.leaseLive(now) {
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
	s.pending = w
	f.sendRoleWrite(now, w)
}

func (f *Fleet) sendRoleWrite(now time.Duration, w *roleWrite) {
	call := StoreCall{Op: OpCompareAndSwap, Key: rolePrefix + w.role.name, Expect: w.expect, Value: encode(w.row)}
	if w.role.releasing {
		call.Releases = w.role.name
	}
	f.send(DutyRoleWrite, now, call)
}

// chooseRenewal writes a kept role again after the lease was regained. The row
// is unchanged since, so nobody else held the role and its epoch stays.
func (f *Fleet) chooseRenewal() *roleWrite {
	for _, r := range f.roles.order {
		if r.held && !r.releasing && r.heldAs.Incarnation != f.self.Incarnation {
			row := r.heldAs
			row.Incarnation = f.self.Incarnation
			return &roleWrite{role: r, row: row, expect: r.revision}
		}
	}
	return nil
}

// chooseHandover moves a held role to the host that should have it. Moves that
// only spread load are one at a time and rate limited.
func (f *Fleet) chooseHandover(now time.Duration) *roleWrite {
	for _, r := range f.roles.order {
		if !r.held && !r.releasing {
			continue
		}
		target, urgent := f.handoverTarget(now, r)
		if r.releasing {
			urgent = true
		} else if target == f.me {
			continue
		}
		if !urgent && (now < f.roles.movedAt+moveGap || f.storeFails()) {
			continue
		}
		if !urgent {
			f.roles.movedAt = now
		}
		return f.handover(r, target)
	}
	return nil
}

// storeFails reports whether the last call of any duty failed. A role whose
// hand-over meets a store outage is out of use until the store returns, so that
// no move starts then that only spreads load.
func (f *Fleet) storeFails() bool {
	for i := range f.duties {
		if f.duties[i].failures > 0 {
			return true
		}
	}
	return false
}

// handoverTarget returns the host that should hold the role, nil for none.
func (f *Fleet) handoverTarget(now time.Duration, r *role) (target *record, urgent bool) {
	// A host that leaves, too, has handed the role over: several hosts stop at
	// once and do not know it of each other yet. Handing the role on would go
	// back and forth, so it becomes free.
	if !r.wanted || r.late {
		return nil, true
	}
	hosts, _ := f.candidates(now, r)
	urgent = f.leaving || f.conf.zoneOut[f.self.Zone] && !slices.Contains(hosts, f.me)
	if !urgent {
		hosts = slices.DeleteFunc(hosts, func(h *record) bool { return h != f.me && now-h.liveSince < settleTime })
	}
	if len(hosts) == 0 && !f.leaving {
		return f.me, false
	}
	return best(hosts, r.hash), urgent
}

// handover stops the use of the role here before the row changes.
func (f *Fleet) handover(r *role, target *record) *roleWrite {
	row := roleRow{Epoch: r.row.Epoch}
	if target != nil {
		row = roleRow{Holder: target.name, Incarnation: target.incarnation, Epoch: r.row.Epoch + 1}
	}
	if target == f.me {
		row.Incarnation = f.self.Incarnation
	}
	if r.held {
		r.held, r.releasing = false, true
		f.changed()
	}
	return &roleWrite{role: r, row: row, expect: r.revision}
}

// chooseClaim picks a free role for which this host's rank has come.
func (f *Fleet) chooseClaim(now time.Duration) *roleWrite {
	if f.leaving || !f.conf.inventory[f.self.Name] {
		return nil
	}
	for _, r := range f.roles.order {
		if !r.free || r.releasing || r.held {
			continue
		}
		takeover := r.row.Holder != ""
		hosts, fallback := f.candidates(now, r)
		if takeover {
			hosts, fallback = f.takers(now, r)
		}
		n := rank(hosts, r.hash, f.me)
		if n == len(hosts) || now < r.freeSince+time.Duration(n)*claimStep {
			continue
		}
		if takeover && r.rate && !f.mayTakeMinter(now) {
			continue
		}
		if fallback && now < r.freeSince+fallbackDelay {
			continue
		}
		if fallback {
			f.watching = now + watchDuration
			if !f.zoneLapsed(now, r.zone) {
				continue
			}
		}
		row := roleRow{Holder: f.self.Name, Incarnation: f.self.Incarnation, Epoch: r.row.Epoch + 1}
		return &roleWrite{role: r, row: row, expect: r.revision, takeover: takeover}
	}
	return nil
}

func (f *Fleet) roleWritten(now time.Duration, in StoreDone) {
	s := &f.roles
	w := s.pending
	d := &f.duties[DutyRoleWrite]
	switch {
	case in.Outcome == Unknown && f.guards.noReadBack:
		s.pending = nil
		f.fail(DutyRoleWrite, now)
		return
	case in.Outcome == Unknown:
		f.fail(DutyRoleWrite, now)
		return
	case in.Outcome == Conflict:
		d.next = now // read the row
		return
	}
	d.failures, d.next = 0, now+f.claimGap()
	if w.reading && w.takeover && in.Rows[0].Revision == w.expect {
		w.again = true
		return
	}
	s.pending = nil
	row, rev := w.row, in.Revision
	if w.reading {
		row, rev = decodeRow[roleRow](in.Rows[0]), in.Rows[0].Revision
	}
	f.roleSeen(w.role.name, rev, row, true)
	if r := w.role; w.reading && r.releasing && rev == r.revision {
		d.next = now // the hand-over did not take effect; try again
	}
	if h := f.records[row.Holder]; h != nil && h != f.me {
		f.emit(Handover{h.address, []string{w.role.name}})
	}
}

// claimGap spaces the role writes of one host, so that the whole fleet stays
// under leasePerSecond.
func (f *Fleet) claimGap() time.Duration {
	if f.hosts() <= smallFleet {
		return 0
	}
	return time.Duration(f.hosts()) * time.Second / leasePerSecond
}

// Held returns the roles kept here.
func (f *Fleet) Held(now time.Duration) []Role {
	var out []Role
	for _, r := range f.roles.order {
		if r.held {
			out = append(out, Role{r.name, r.heldAs.Epoch, f.holdsLive(now, r)})
		}
	}
	return out
}

func (f *Fleet) holdsLive(now time.Duration, r *role) bool {
	return r.held && r.heldAs.Incarnation == f.self.Incarnation && f.leaseLive(now)
}

// Holder returns the last known holder of a role, false when there is none or
// its lease is known to have lapsed.
func (f *Fleet) Holder(now time.Duration, name string) (Identity, bool) {
	r, ok := f.roles.byName[name]
	if !ok || r.row.Holder == "" || r.releasing {
		return Identity{}, false
	}
	if r.row.Holder == f.self.Name {
		return f.self, r.held
	}
	h, ok := f.records[r.row.Holder]
	if !ok || f.lapsed(now, h.name, r.row.Incarnation) && h.incarnation == r.row.Incarnation && !h.live(now, liveAge(f.hosts())) {
		return Identity{}, false
	}
	return Identity{h.name, h.zone, h.address, h.incarnation}, true
}
