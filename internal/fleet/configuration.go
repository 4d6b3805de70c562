package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// configState is the configuration in force and the age of its knowledge.
type configState struct {
	document  *config.Document
	data      []byte
	inventory map[string]bool
	zoneOut   map[string]bool
	// known is the highest version known to exist.
	known config.Version
	// pointer is the newest pointer row read by this host.
	pointer pointerRow
	// confirmed is the newest knowledge that a store read of the pointer by
	// any host has confirmed.
	confirmed struct {
		version config.Version
		at      time.Duration
	}
	// freshAt is the latest moment at which the document in force is known to
	// have been current. It holds once fresh is set.
	fresh   bool
	freshAt time.Duration
	// informed is set once this process knows every version that has been
	// accepted: it has read the pointer, or heard informed statements, made
	// after its start, of a majority of the inventory. A host keeps no state, so
	// that a process that has just started has forgotten what it accepted.
	informed bool
	// fetching is the pointer that the object in flight belongs to.
	fetching pointerRow
}

// pollHash is the rendezvous key of the choice of pollers.
var pollHash = xxhash.Sum64String("poll")

func (f *Fleet) version() config.Version {
	if f.conf.document == nil {
		return 0
	}
	return f.conf.document.Version
}

// polls reports whether this host should read the pointer now. In a large fleet
// two hosts per zone are chosen; the others read only when the knowledge that
// the heartbeats carry grows old.
func (f *Fleet) polls(now time.Duration) bool {
	if f.hosts() <= smallFleet || now-f.conf.confirmed.at >= selfPollAge {
		return true
	}
	const pollersPerZone = 2
	return rank(f.liveHosts(now, f.self.Zone), pollHash, f.me) < pollersPerZone
}

func (f *Fleet) pointerRead(now time.Duration, in StoreDone) {
	if in.Outcome != OK || len(in.Rows) == 0 {
		f.fail(DutyPointer, now)
		return
	}
	f.succeed(DutyPointer, pollInterval)
	f.pointerSeen(now, f.duties[DutyPointer].sent, in.Rows[0])
}

// pointerSeen takes the pointer row of a read over that was sent at the time.
func (f *Fleet) pointerSeen(now, sent time.Duration, row store.Row) {
	f.conf.informed = true
	p := decodeRow[pointerRow](row)
	if p.Version == 0 {
		return
	}
	if p.Version >= f.conf.pointer.Version {
		f.conf.pointer = p
	}
	f.confirm(now, p.Version, sent)
}

// confirm records that the version was current at a time.
func (f *Fleet) confirm(now time.Duration, v config.Version, at time.Duration) {
	c := &f.conf.confirmed
	if v > c.version || v == c.version && at > c.at {
		c.version, c.at = v, at
	}
	f.known(v)
	f.refreshKeys(now)
}

// known records that a version exists, and starts to fetch it.
func (f *Fleet) known(v config.Version) {
	if v > f.conf.known {
		f.conf.known, f.me.version = v, v
		f.duties[DutyFetch].next, f.duties[DutyFetch].failures = 0, 0
	}
}

// refreshKeys moves freshAt on by whichever evidence is newer: a store read of
// the pointer, or the oldest attestation of all hosts. Attestations count only
// while no version above the own one is known to exist.
func (f *Fleet) refreshKeys(now time.Duration) {
	c := &f.conf
	if c.document == nil {
		return
	}
	if c.confirmed.version == c.document.Version {
		c.current(c.confirmed.at)
	}
	c.informed = c.informed || f.guards.noInformed || f.heardMajority()
	if c.known <= c.document.Version {
		if at, ok := f.attested(now); ok {
			c.current(at)
		}
	}
}

// current records that the document in force was current at a time, which may
// precede the start of this process.
func (c *configState) current(at time.Duration) {
	if !c.fresh || at > c.freshAt {
		c.fresh, c.freshAt = true, at
	}
}

// A document counts as accepted when a majority of the inventory knows its
// version. informedQuorum hosts therefore include one that does.
func acceptQuorum(hosts int) int   { return hosts/2 + 1 }
func informedQuorum(hosts int) int { return hosts - hosts/2 }

// heardMajority reports whether enough hosts have made informed statements since
// this process has started.
func (f *Fleet) heardMajority() bool {
	n := 0
	hosts := f.conf.document.Inventory.Hosts
	for _, h := range hosts {
		if r := f.records[h.Name]; r != nil && r != f.me && r.informed && r.informedAt >= f.start {
			n++
		}
	}
	return n >= informedQuorum(len(hosts))
}

// attested returns the moment of the oldest attestation over every host of the
// inventory that is not known to be gone. A refused connection shows that
// nothing was accepted at that address at that time. A host that has said
// goodbye accepts no configuration from the store any more. The hosts that do
// attest must be enough to include one that knows each accepted version, because
// those that are gone may have taken that knowledge with them.
func (f *Fleet) attested(now time.Duration) (time.Duration, bool) {
	oldest, attesting := now, 0
	if !f.conf.informed {
		return 0, false
	}
	hosts := f.conf.document.Inventory.Hosts
	for _, h := range hosts {
		r := f.records[h.Name]
		if r == f.me {
			attesting++
			continue
		}
		if r != nil && r.leaving || f.guards.ignoreSilent && (r == nil || !r.live(now, time.Second)) {
			continue
		}
		switch {
		case r == nil || !r.informed && !r.refused:
			return 0, false
		case !r.refused || r.informed && r.informedAt >= r.refusedAt:
			oldest = min(oldest, r.informedAt)
			attesting++
		default:
			oldest = min(oldest, r.refusedAt)
		}
	}
	return oldest, attesting >= informedQuorum(len(hosts)) || f.guards.noMajority
}

func (f *Fleet) keyGrace() time.Duration {
	if g := f.conf.document.Rules.KeyGrace; g > 0 {
		return g.Std()
	}
	return config.DefaultKeyGrace.Std()
}

// KeysFresh reports whether the knowledge of keys is recent enough for keyed
// sessions.
func (f *Fleet) KeysFresh(now time.Duration) bool {
	return f.conf.document != nil && f.conf.fresh && now-f.conf.freshAt < f.keyGrace()
}

// acceptsFromStore reports whether this host may put a document from the store
// in force or publish one. Others count on it that only hosts with a live lease
// do so, and none that is leaving.
func (f *Fleet) acceptsFromStore(now time.Duration) bool {
	return f.leaseLive(now) && !f.leaving
}

// fetch gets a newer document from the store or from a peer that has it.
func (f *Fleet) fetch(now time.Duration) {
	if f.version() >= f.conf.known {
		return
	}
	p := f.conf.pointer
	object := p.Version >= f.conf.known && f.acceptsFromStore(now)
	var peers []*record
	for _, r := range f.order {
		if r != f.me && r.version > f.version() && r.live(now, liveAge(f.hosts())) {
			peers = append(peers, r)
		}
	}
	preferStore := f.hosts() <= smallFleet == (f.duties[DutyFetch].failures%2 == 0)
	switch {
	case object && (preferStore || len(peers) == 0):
		f.conf.fetching = p
		f.send(DutyFetch, now, StoreCall{Op: OpGetObject, Key: p.Object})
	case len(peers) > 0:
		r := peers[f.rng.IntN(len(peers))]
		d := &f.duties[DutyFetch]
		f.nextCall++
		d.busy, d.call, d.sent = true, f.nextCall, now
		f.emit(FetchFromPeer{f.nextCall, r.name, r.address})
	}
}

func objectKey(v config.Version, data []byte) string {
	sum := sha256.Sum256(data)
	return fmt.Sprintf("config/%d-%s", v, hex.EncodeToString(sum[:]))
}

func (f *Fleet) objectRead(now time.Duration, in StoreDone) {
	p := f.conf.fetching
	if in.Outcome != OK || in.Document == nil || objectKey(p.Version, in.Data) != p.Object || !f.acceptsFromStore(now) {
		f.fail(DutyFetch, now)
		return
	}
	f.succeed(DutyFetch, backoffBase)
	f.accept(now, p.Version, in.Document, in.Data)
}

func (f *Fleet) documentDone(now time.Duration, in DocumentDone) {
	if d, ok := f.done(in.Call); !ok || d != DutyFetch {
		return
	}
	if in.Document == nil || in.Version == 0 {
		f.fail(DutyFetch, now)
		return
	}
	f.succeed(DutyFetch, backoffBase)
	f.accept(now, in.Version, in.Document, in.Data)
}

// accept puts a document in force. Versions only grow.
func (f *Fleet) accept(now time.Duration, v config.Version, doc *config.Document, data []byte) {
	if v <= f.version() && !f.guards.versionsMayFall {
		return
	}
	d := *doc
	d.Version = v
	f.conf.document, f.conf.data = &d, data
	f.conf.inventory, f.conf.zoneOut = map[string]bool{}, map[string]bool{}
	for _, h := range d.Inventory.Hosts {
		f.conf.inventory[h.Name] = true
	}
	for _, z := range d.Rules.ZonesOut {
		f.conf.zoneOut[z] = true
	}
	f.known(v)
	f.refreshKeys(now)
	f.roles.setDocument(&d)
	f.roles.evaluated = false
	f.changed()
}

type publishState uint8

const (
	publishReads publishState = iota
	publishPuts
	publishSwaps
	publishSettles
	publishWaits
)

// publication is one document on its way into the store.
type publication struct {
	id     uint64
	base   config.Version
	doc    *config.Document
	data   []byte
	state  publishState
	expect store.Revision
	next   pointerRow
	swapAt time.Duration
	// electorates are the inventories of which a majority must know the version.
	electorates [][]config.Host
}

func (f *Fleet) publishAsked(now time.Duration, in Publish) {
	reason := ""
	switch {
	case f.publish != nil || f.duties[DutyPublish].busy:
		reason = "another publication is in progress on this host"
	case !f.acceptsFromStore(now):
		reason = "the host has no live lease or is leaving"
	case f.conf.document != nil && !f.conf.inventory[f.self.Name]:
		reason = "the host is not in the inventory"
	}
	if reason != "" {
		f.emit(Published{in.ID, PublishResult{Status: PublishRefused, Reason: reason}})
		return
	}
	f.publish = &publication{id: in.ID, base: in.Base, doc: in.Document, data: in.Data}
	f.duties[DutyPublish] = duty{next: now}
}

func (f *Fleet) publishEnds(s PublishStatus, reason string) {
	p := f.publish
	f.publish = nil
	f.emit(Published{p.id, PublishResult{Status: s, Version: p.next.Version, Reason: reason}})
}

func (f *Fleet) publishNext(now time.Duration) {
	p := f.publish
	switch p.state {
	case publishReads, publishSettles:
		f.send(DutyPublish, now, StoreCall{Op: OpGet, Key: pointerKey})
	case publishPuts:
		f.send(DutyPublish, now, StoreCall{Op: OpPutObject, Key: p.next.Object, Value: p.data})
	case publishSwaps:
		if !f.acceptsFromStore(now) {
			f.fail(DutyPublish, now)
			return
		}
		p.swapAt = now
		f.send(DutyPublish, now, StoreCall{Op: OpCompareAndSwap, Key: pointerKey, Expect: p.expect, Value: encode(p.next)})
	case publishWaits:
		if f.witnessed() {
			f.publishEnds(PublishAccepted, "")
		}
	}
}

// witnessed reports whether a majority of the inventory knows of the published
// version, both of the inventory before and of the published one. Without it the
// hosts that know of an accepted version could all restart or leave in a store
// outage, and the others would go on with withdrawn keys.
func (f *Fleet) witnessed() bool {
	if f.guards.noWitness {
		return true
	}
	for _, hosts := range f.publish.electorates {
		n := 0
		for _, h := range hosts {
			if r := f.records[h.Name]; r != nil && (r == f.me || r.version >= f.publish.next.Version) {
				n++
			}
		}
		if n < acceptQuorum(len(hosts)) {
			return false
		}
	}
	return true
}

func (f *Fleet) publishDone(now time.Duration, in StoreDone) {
	p := f.publish
	if p == nil {
		return
	}
	if in.Outcome == Unknown {
		if p.state == publishSwaps {
			if f.guards.noReadBack {
				f.publishEnds(PublishConflict, "no answer")
				return
			}
			p.state = publishSettles
		}
		f.fail(DutyPublish, now)
		return
	}
	f.duties[DutyPublish].failures, f.duties[DutyPublish].next = 0, now
	switch p.state {
	case publishReads:
		f.publishPrepares(in.Rows[0])
	case publishPuts:
		p.state = publishSwaps
	case publishSwaps:
		if in.Outcome == Conflict {
			p.state = publishSettles
			return
		}
		f.publishTook(now, p.swapAt)
	case publishSettles:
		f.publishSettled(now, in.Rows[0])
	}
}

// publishPrepares compares the base version with the pointer.
func (f *Fleet) publishPrepares(row store.Row) {
	p := f.publish
	cur := decodeRow[pointerRow](row)
	if cur.Version != p.base && !f.guards.noBaseCheck {
		p.next.Version = cur.Version
		f.publishEnds(PublishConflict, fmt.Sprintf("version %d is current", cur.Version))
		return
	}
	p.expect = row.Revision
	p.next = pointerRow{
		Version: cur.Version + 1, Object: objectKey(cur.Version+1, p.data),
		Writer: fmt.Sprintf("%s/%d", f.writer, p.id),
	}
	p.state = publishPuts
}

// publishSettled compares the pointer with what was written.
func (f *Fleet) publishSettled(now time.Duration, row store.Row) {
	p := f.publish
	cur := decodeRow[pointerRow](row)
	switch {
	case cur == p.next:
		f.publishTook(now, f.duties[DutyPublish].sent)
	case row.Revision == p.expect:
		p.state = publishSwaps
	case cur.Version > p.next.Version:
		// The row may have held this version before the current one.
		p.next.Version = cur.Version
		f.publishEnds(PublishUnknown, "a later version is current")
	default:
		f.publishEnds(PublishConflict, fmt.Sprintf("version %d is current", cur.Version))
	}
}

func (f *Fleet) publishTook(now, sent time.Duration) {
	p := f.publish
	p.state = publishWaits
	if p.next.Version >= f.conf.pointer.Version {
		f.conf.pointer = p.next
	}
	p.electorates = [][]config.Host{p.doc.Inventory.Hosts}
	if f.conf.document != nil {
		p.electorates = append(p.electorates, f.conf.document.Inventory.Hosts)
	}
	f.accept(now, p.next.Version, p.doc, p.data)
	f.confirm(now, p.next.Version, sent)
}
