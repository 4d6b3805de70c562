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

// configState is the configuration in force and the evidence of how recent it
// is.
type configState struct {
	document  *config.Document
	data      []byte
	inventory map[string]bool
	zoneOut   map[string]bool
	// highestSeen is the highest version seen so far, whether its document is in
	// force or not.
	highestSeen config.Version
	// pointer is the newest pointer row that this host has read or written.
	pointer pointerRow
	// confirmed is the newest version that a store read of the pointer by any host
	// has confirmed, and the time of that read.
	confirmed struct {
		version config.Version
		at      time.Duration
	}
	// freshAt is the latest time at which the document in force is known to have
	// been current. It is valid when fresh is set.
	fresh   bool
	freshAt time.Duration
	// informed is set once this process has seen every accepted version: it has
	// read the pointer, or informedQuorum other hosts have sent informed
	// attestations made after the start of this process. Hosts keep no state
	// across restarts, so a new process lacks the versions that its predecessor
	// had seen.
	informed bool
	// fetchingPointer is the pointer row of the object read in flight.
	fetchingPointer pointerRow
}

// pollerHash is the rendezvous hash key by which pollers are chosen.
var pollerHash = xxhash.Sum64String("poll")

func (f *Fleet) documentVersion() config.Version {
	if f.config.document == nil {
		return 0
	}
	return f.config.document.Version
}

// shouldPollPointer reports whether this host should poll the pointer now. In a
// large fleet two hosts per zone poll it; the others do so only when the
// confirmed version carried by heartbeats is older than pollFallbackAge.
func (f *Fleet) shouldPollPointer(now time.Duration) bool {
	if f.hostCount() <= smallFleetHosts || now-f.config.confirmed.at >= pollFallbackAge {
		return true
	}
	const pollersPerZone = 2
	return rank(f.liveHosts(now, f.self.Zone), pollerHash, f.selfRecord) < pollersPerZone
}

func (f *Fleet) handlePointerRead(now time.Duration, in StoreDone) {
	if in.Outcome != OutcomeOK || len(in.Rows) == 0 {
		f.scheduleRetry(DutyPointer, now)
		return
	}
	f.scheduleNext(DutyPointer, pollInterval)
	f.applyPointerRow(now, f.duties[DutyPointer].sentAt, in.Rows[0])
}

// applyPointerRow applies the pointer row of a read that was sent at the time
// sent.
func (f *Fleet) applyPointerRow(now, sent time.Duration, row store.Row) {
	f.config.informed = true
	p := decodeRow[pointerRow](row)
	if p.Version == 0 {
		return
	}
	if p.Version >= f.config.pointer.Version {
		f.config.pointer = p
	}
	f.confirmVersion(now, p.Version, sent)
}

// confirmVersion records that version v was current at the time at.
func (f *Fleet) confirmVersion(now time.Duration, v config.Version, at time.Duration) {
	c := &f.config.confirmed
	if v > c.version || v == c.version && at > c.at {
		c.version, c.at = v, at
	}
	f.recordVersion(v)
	f.updateFreshness(now)
}

// recordVersion records that version v exists and, if v is new, schedules a
// fetch of its document.
func (f *Fleet) recordVersion(v config.Version) {
	if v > f.config.highestSeen {
		f.config.highestSeen, f.selfRecord.version = v, v
		f.duties[DutyFetch].nextAt, f.duties[DutyFetch].failures = 0, 0
	}
}

// updateFreshness sets informed once informedByMajority holds, and advances freshAt
// to the later of two times: that of a store read that confirmed the version in force,
// and that of the oldest attestation of all hosts. Attestations count only while no
// version above the one in force has been seen.
func (f *Fleet) updateFreshness(now time.Duration) {
	c := &f.config
	if c.document == nil {
		return
	}
	if c.confirmed.version == c.document.Version {
		c.markCurrent(c.confirmed.at)
	}
	c.informed = c.informed || f.disabled.attestUninformed || f.informedByMajority()
	if c.highestSeen <= c.document.Version {
		if at, ok := f.oldestAttestation(now); ok {
			c.markCurrent(at)
		}
	}
}

// markCurrent records that the document in force was current at the time at, which
// may precede the start of this process.
func (c *configState) markCurrent(at time.Duration) {
	if !c.fresh || at > c.freshAt {
		c.fresh, c.freshAt = true, at
	}
}

// acceptQuorum is the number of hosts that must have seen a version for its
// document to count as accepted. Any informedQuorum hosts include at least one
// of them.
func acceptQuorum(hosts int) int   { return hosts/2 + 1 }
func informedQuorum(hosts int) int { return hosts - hosts/2 }

// informedByMajority reports whether at least informedQuorum other hosts have
// sent informed attestations made after the start of this process.
func (f *Fleet) informedByMajority() bool {
	n := 0
	hosts := f.config.document.Inventory.Hosts
	for _, h := range hosts {
		if r := f.records[h.Name]; r != nil && r != f.selfRecord && r.informed && r.informedAt >= f.startedAt {
			n++
		}
	}
	return n >= informedQuorum(len(hosts))
}

// oldestAttestation returns the time of the oldest attestation over all hosts
// of the inventory that are not known to be unavailable, and whether it may be
// used as evidence. For a host that has refused a connection since its last informed
// attestation, the time of the refusal counts, because no version was put in force
// at that address at that time. A host that has announced that it is leaving is
// left out, because it no longer applies configurations from the store. At least
// informedQuorum hosts must attest, so that for each accepted version one of them
// has seen it: the unavailable hosts may have been the only others that had.
func (f *Fleet) oldestAttestation(now time.Duration) (time.Duration, bool) {
	oldest, attesting := now, 0
	if !f.config.informed {
		return 0, false
	}
	hosts := f.config.document.Inventory.Hosts
	for _, h := range hosts {
		r := f.records[h.Name]
		if r == f.selfRecord {
			attesting++
			continue
		}
		if r != nil && r.leaving || f.disabled.ignoreSilentHosts && (r == nil || !r.isLive(now, time.Second)) {
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
	return oldest, attesting >= informedQuorum(len(hosts)) || f.disabled.skipAttestationQuorum
}

func (f *Fleet) keyGrace() time.Duration {
	if g := f.config.document.Rules.KeyGrace; g > 0 {
		return g.Std()
	}
	return config.DefaultKeyGrace.Std()
}

// KeysFresh reports whether the document in force is known to have been current
// within key_grace, so that sessions with a key may be served.
func (f *Fleet) KeysFresh(now time.Duration) bool {
	return f.config.document != nil && f.config.fresh && now-f.config.freshAt < f.keyGrace()
}

// mayApplyFromStore reports whether this host may publish a document or put one
// from the store in force. Other hosts rely on this being limited to hosts that
// hold a live lease and are not leaving.
func (f *Fleet) mayApplyFromStore(now time.Duration) bool {
	return f.leaseLive(now) && !f.leaving
}

// fetchDocument fetches a newer document from the store or from a peer that has
// it.
func (f *Fleet) fetchDocument(now time.Duration) {
	if f.documentVersion() >= f.config.highestSeen {
		return
	}
	p := f.config.pointer
	mayUseStore := p.Version >= f.config.highestSeen && f.mayApplyFromStore(now)
	var peers []*hostRecord
	for _, r := range f.sortedRecords {
		if r != f.selfRecord && r.version > f.documentVersion() && r.isLive(now, maxLiveAge(f.hostCount())) {
			peers = append(peers, r)
		}
	}
	// Small fleets try the store first, large fleets a peer. Each failure changes to
	// the other source.
	preferStore := f.hostCount() <= smallFleetHosts == (f.duties[DutyFetch].failures%2 == 0)
	switch {
	case mayUseStore && (preferStore || len(peers) == 0):
		f.config.fetchingPointer = p
		f.startStoreCall(DutyFetch, now, StoreCall{Op: OpGetObject, Key: p.Object})
	case len(peers) > 0:
		r := peers[f.rng.IntN(len(peers))]
		d := &f.duties[DutyFetch]
		f.nextCall++
		d.inFlight, d.call, d.sentAt = true, f.nextCall, now
		f.emit(FetchFromPeer{f.nextCall, r.name, r.address})
	}
}

func objectKey(v config.Version, data []byte) string {
	sum := sha256.Sum256(data)
	return fmt.Sprintf("config/%d-%s", v, hex.EncodeToString(sum[:]))
}

func (f *Fleet) handleObjectRead(now time.Duration, in StoreDone) {
	p := f.config.fetchingPointer
	if in.Outcome != OutcomeOK || in.Document == nil || objectKey(p.Version, in.Data) != p.Object || !f.mayApplyFromStore(now) {
		f.scheduleRetry(DutyFetch, now)
		return
	}
	f.scheduleNext(DutyFetch, backoffBase)
	f.applyDocument(now, p.Version, in.Document, in.Data)
}

func (f *Fleet) handleDocumentDone(now time.Duration, in DocumentDone) {
	if d, ok := f.endCall(in.Call); !ok || d != DutyFetch {
		return
	}
	if in.Document == nil || in.Version == 0 {
		f.scheduleRetry(DutyFetch, now)
		return
	}
	f.scheduleNext(DutyFetch, backoffBase)
	f.applyDocument(now, in.Version, in.Document, in.Data)
}

// applyDocument puts a document in force if its version is higher than the one
// in force.
func (f *Fleet) applyDocument(now time.Duration, v config.Version, doc *config.Document, data []byte) {
	if v <= f.documentVersion() && !f.disabled.allowOlderVersion {
		return
	}
	d := *doc
	d.Version = v
	f.config.document, f.config.data = &d, data
	f.config.inventory, f.config.zoneOut = map[string]bool{}, map[string]bool{}
	for _, h := range d.Inventory.Hosts {
		f.config.inventory[h.Name] = true
	}
	for _, z := range d.Rules.ZonesOut {
		f.config.zoneOut[z] = true
	}
	f.recordVersion(v)
	f.updateFreshness(now)
	f.roles.setDocument(&d)
	f.roles.evaluated = false
	f.emitChanged()
}

type publishState uint8

const (
	publishReadPointer publishState = iota
	publishPutObject
	publishSwapPointer
	publishReadBack
	publishAwaitMajority
)

// publication is the state of a document being published.
type publication struct {
	id             uint64
	base           config.Version
	doc            *config.Document
	data           []byte
	state          publishState
	expectRevision store.Revision
	newPointer     pointerRow
	swapSentAt     time.Duration
	// inventories are the inventories in each of which a majority of hosts must
	// have seen the version.
	inventories [][]config.Host
}

func (f *Fleet) handlePublish(now time.Duration, in Publish) {
	reason := ""
	switch {
	case f.publication != nil || f.duties[DutyPublish].inFlight:
		reason = "another publication is in progress on this host"
	case !f.mayApplyFromStore(now):
		reason = "the host has no live lease or is leaving"
	case f.config.document != nil && !f.config.inventory[f.self.Name]:
		reason = "the host is not in the inventory"
	}
	if reason != "" {
		f.emit(PublishEnded{in.ID, PublishResult{Status: PublishRefused, Reason: reason}})
		return
	}
	f.publication = &publication{id: in.ID, base: in.Base, doc: in.Document, data: in.Data}
	f.duties[DutyPublish] = duty{nextAt: now}
}

// endPublication drops the publication and emits its result.
func (f *Fleet) endPublication(s PublishStatus, reason string) {
	p := f.publication
	f.publication = nil
	f.emit(PublishEnded{p.id, PublishResult{Status: s, Version: p.newPointer.Version, Reason: reason}})
}

func (f *Fleet) continuePublication(now time.Duration) {
	p := f.publication
	switch p.state {
	case publishReadPointer, publishReadBack:
		f.startStoreCall(DutyPublish, now, StoreCall{Op: OpGet, Key: pointerKey})
	case publishPutObject:
		f.startStoreCall(DutyPublish, now, StoreCall{Op: OpPutObject, Key: p.newPointer.Object, Value: p.data})
	case publishSwapPointer:
		if !f.mayApplyFromStore(now) {
			f.scheduleRetry(DutyPublish, now)
			return
		}
		p.swapSentAt = now
		f.startStoreCall(DutyPublish, now, StoreCall{Op: OpCompareAndSwap, Key: pointerKey, Expect: p.expectRevision, Value: encode(p.newPointer)})
	case publishAwaitMajority:
		if f.majorityHasSeenPublished() {
			f.endPublication(PublishAccepted, "")
		}
	}
}

// majorityHasSeenPublished reports whether a majority of hosts has seen the
// published version, both in the previous and in the published inventory.
// Otherwise all hosts that have seen an accepted version could restart or leave
// during a store outage, and the remaining hosts would go on accepting
// withdrawn keys.
func (f *Fleet) majorityHasSeenPublished() bool {
	if f.disabled.skipMajorityWait {
		return true
	}
	for _, hosts := range f.publication.inventories {
		n := 0
		for _, h := range hosts {
			if r := f.records[h.Name]; r != nil && (r == f.selfRecord || r.version >= f.publication.newPointer.Version) {
				n++
			}
		}
		if n < acceptQuorum(len(hosts)) {
			return false
		}
	}
	return true
}

func (f *Fleet) handlePublishDone(now time.Duration, in StoreDone) {
	p := f.publication
	if p == nil {
		return
	}
	if in.Outcome == OutcomeUnknown {
		if p.state == publishSwapPointer {
			if f.disabled.skipReadBack {
				f.endPublication(PublishConflict, "no answer")
				return
			}
			p.state = publishReadBack
		}
		f.scheduleRetry(DutyPublish, now)
		return
	}
	f.duties[DutyPublish].failures, f.duties[DutyPublish].nextAt = 0, now
	switch p.state {
	case publishReadPointer:
		f.preparePublication(in.Rows[0])
	case publishPutObject:
		p.state = publishSwapPointer
	case publishSwapPointer:
		if in.Outcome == OutcomeConflict {
			p.state = publishReadBack
			return
		}
		f.commitPublication(now, p.swapSentAt)
	case publishReadBack:
		f.settlePublication(now, in.Rows[0])
	}
}

// preparePublication checks the base version against the pointer and prepares
// the new pointer row.
func (f *Fleet) preparePublication(row store.Row) {
	p := f.publication
	cur := decodeRow[pointerRow](row)
	if cur.Version != p.base && !f.disabled.skipBaseCheck {
		p.newPointer.Version = cur.Version
		f.endPublication(PublishConflict, fmt.Sprintf("version %d is current", cur.Version))
		return
	}
	p.expectRevision = row.Revision
	p.newPointer = pointerRow{
		Version: cur.Version + 1, Object: objectKey(cur.Version+1, p.data),
		Writer: fmt.Sprintf("%s/%d", f.writer, p.id),
	}
	p.state = publishPutObject
}

// settlePublication determines from the pointer row whether the
// compare-and-swap took effect.
func (f *Fleet) settlePublication(now time.Duration, row store.Row) {
	p := f.publication
	cur := decodeRow[pointerRow](row)
	switch {
	case cur == p.newPointer:
		f.commitPublication(now, f.duties[DutyPublish].sentAt)
	case row.Revision == p.expectRevision:
		p.state = publishSwapPointer
	case cur.Version > p.newPointer.Version:
		// The row may have held the published version before the current one.
		p.newPointer.Version = cur.Version
		f.endPublication(PublishUnknown, "a later version is current")
	default:
		f.endPublication(PublishConflict, fmt.Sprintf("version %d is current", cur.Version))
	}
}

// commitPublication puts the published document in force on this host, after the
// pointer row has been written, and starts to wait for a majority. The pointer read
// or write that showed this was sent at the time sent.
func (f *Fleet) commitPublication(now, sent time.Duration) {
	p := f.publication
	p.state = publishAwaitMajority
	if p.newPointer.Version >= f.config.pointer.Version {
		f.config.pointer = p.newPointer
	}
	p.inventories = [][]config.Host{p.doc.Inventory.Hosts}
	if f.config.document != nil {
		p.inventories = append(p.inventories, f.config.document.Inventory.Hosts)
	}
	f.applyDocument(now, p.newPointer.Version, p.doc, p.data)
	f.confirmVersion(now, p.newPointer.Version, sent)
}
