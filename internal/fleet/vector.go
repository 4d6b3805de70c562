package fleet

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// A heartbeat exchange is a pull. The request carries the sender's own
// attestation and one digest per bucket of its roster, the set of hosts with
// their incarnations and addresses. A hash of the name assigns a host to a bucket.
// For buckets with equal digests the answer carries only an age per host; for the
// others it carries full attestations.
//
// Ages are taken from answers only. The requester counts an age from the time at
// which it sent the request, which includes the time in transit. The receiver of a
// request has no such time.

const (
	// hostsPerBucket balances the size of the digests against the size of the full
	// attestations of a bucket whose digests differ.
	hostsPerBucket = 32
	maxBuckets     = 256
	// unknownAge, in units of ageUnit, stands for a host without a known
	// attestation.
	unknownAge = 1 << 17
	// ageUnit lets an age of up to 4 s and its flags fit into a varint of two
	// bytes.
	ageUnit = 8 * time.Millisecond

	// maxZoneDraws limits the random draws for a peer in the own zone.
	maxZoneDraws = 30

	shortPromiseFlag = 1
	leasedFlag       = 2
	currentFlag      = 4 // the host has seen the highest version that the sender has seen
	informedFlag     = 8
	longPromiseFlag  = 16
	flagBits         = 5
)

// hostRecord is the state of one host, this one included, as reported by heartbeats,
// probes and the host list.
type hostRecord struct {
	name        string
	hash        uint64
	zone        string
	address     string
	incarnation uint64
	leaving     bool
	// inRoster is set once an attestation has been received. Hosts without one are
	// not part of the roster.
	inRoster bool
	digest   uint64 // of the fields above

	// attested is set once attestedAt is valid. attestedAt is no later than the
	// time at which the newest known attestation was made.
	attested   bool
	attestedAt time.Duration
	hasLease   bool
	// informed is set once informedAt is valid: the attestedAt of the newest
	// attestation that the host made while it was informed.
	informed   bool
	informedAt time.Duration
	// version is the highest configuration version that the host is known to have
	// seen.
	version config.Version
	// promised is set once promisedAt is valid: the attestedAt of the newest
	// attestation with a promise.
	promised    bool
	promisedAt  time.Duration
	promisedFor time.Duration
	// refused is set once refusedAt is valid: the host's address refused a
	// connection attempt made at that time.
	refused   bool
	refusedAt time.Duration
	probedAt  time.Duration
	// liveSince is when the host last became live.
	liveSince time.Duration
}

// attestation is what one host states about itself at one moment.
type attestation struct {
	at       time.Duration
	hasLease bool
	promise  time.Duration // 0 for none
	informed bool
	version  config.Version
}

// setIdentity applies a new incarnation. Earlier attestations stay valid for
// their time, because a new process observes a quiet period before it takes
// over roles. The version is reset, because a new process has not seen it.
func (r *hostRecord) setIdentity(id Identity) {
	r.zone, r.address, r.incarnation = id.Zone, id.Address, id.Incarnation
	r.leaving, r.hasLease, r.inRoster, r.version = false, false, true, 0
	r.updateDigest()
}

// updateDigest recomputes the digest after a change of the identity or of leaving.
func (r *hostRecord) updateDigest() {
	h := r.hash ^ bits.RotateLeft64(r.incarnation, 17) ^ xxhash.Sum64String(r.address)*3 ^ xxhash.Sum64String(r.zone)*5
	if r.leaving {
		h++
	}
	r.digest = h * 0x9e3779b97f4a7c15
}

func (r *hostRecord) isLive(now, age time.Duration) bool { return r.attested && now-r.attestedAt < age }

func bucketCount(hosts int) int {
	return min(max(1, hosts/hostsPerBucket), maxBuckets)
}

// digests combines the digests of the hosts in the roster into n buckets.
func (f *Fleet) digests(n int) []uint64 {
	out := make([]uint64, n)
	for _, r := range f.sortedRecords {
		if r.inRoster {
			b := r.hash % uint64(n)
			out[b] = bits.RotateLeft64(out[b], 5)*0x9e3779b97f4a7c15 ^ r.digest
		}
	}
	return out
}

// startExchanges starts a round of exchanges when it is due. Peers are chosen
// at random. The first draw is repeated up to maxZoneDraws times until it gives a
// peer in the own zone, because minters need recent promises of the hosts in their
// zone.
func (f *Fleet) startExchanges(now time.Duration) {
	interval, fanout := exchangeSchedule(f.hostCount())
	if now < f.nextExchangeAt {
		return
	}
	f.nextExchangeAt = now + interval - time.Duration(f.rng.Int64N(int64(interval)/10))
	var candidates []*hostRecord
	for _, r := range f.sortedRecords {
		if r != f.selfRecord && r.address != "" && !f.exchangeInFlight(r.name) {
			candidates = append(candidates, r)
		}
	}
	for n := range min(fanout, len(candidates)) {
		i := f.rng.IntN(len(candidates))
		for tries := 0; n == 0 && tries < maxZoneDraws && candidates[i].zone != f.self.Zone; tries++ {
			i = f.rng.IntN(len(candidates))
		}
		r := candidates[i]
		candidates[i] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
		f.nextCall++
		v := f.exchangeRequest(now)
		f.peerCalls[f.nextCall] = peerCall{peer: r.name, address: r.address, sentAt: now, digests: v.GetDigests()}
		f.emit(Exchange{f.nextCall, r.name, r.address, v})
	}
}

func (f *Fleet) exchangeInFlight(peer string) bool {
	for _, c := range f.peerCalls {
		if c.peer == peer && !c.probe {
			return true
		}
	}
	return false
}

func (f *Fleet) exchangeRequest(now time.Duration) *peerpb.Vector {
	v := f.newVector(now)
	v.Digests = f.digests(bucketCount(len(f.sortedRecords)))
	v.WantRoles = !f.roleScan.completed
	v.Hosts = []*peerpb.Attestation{f.encodeAttestation(now, f.selfRecord)}
	return v
}

func (f *Fleet) newVector(now time.Duration) *peerpb.Vector {
	v := &peerpb.Vector{From: f.self.Name, Incarnation: f.self.Incarnation, ConfigVersion: uint64(f.config.highestSeen)}
	if f.config.confirmed.version > 0 {
		v.ConfirmedVersion = uint64(f.config.confirmed.version)
		v.ConfirmedAgeMs = ageMillis(now - f.config.confirmed.at)
	}
	return v
}

const unknownAgeMillis = unknownAge * uint32(ageUnit/time.Millisecond)

// ageMillis rounds up, because an age may be overstated but not understated.
func ageMillis(d time.Duration) uint32 {
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, time.Duration(unknownAgeMillis)))
}

func (f *Fleet) encodeAttestation(now time.Duration, r *hostRecord) *peerpb.Attestation {
	a := &peerpb.Attestation{
		Host: r.name, Incarnation: r.incarnation, Leaving: r.leaving, Address: r.address, Zone: r.zone,
		AgeMs: unknownAgeMillis, Leased: r.hasLease, ConfigVersion: uint64(r.version),
		Informed: r.informed && r.informedAt == r.attestedAt,
	}
	if r.attested {
		a.AgeMs = ageMillis(now - r.attestedAt)
	}
	if r.promised && r.promisedAt == r.attestedAt {
		a.PromiseMs = uint32(r.promisedFor / time.Millisecond)
	}
	return a
}

// attestSelf records an attestation of this host: it has applied no version
// above highestSeen, and it promises if the store does not answer.
func (f *Fleet) attestSelf(now time.Duration) {
	s := attestation{now, f.leaseLive(now), f.promiseToSend(now), f.config.informed, f.config.highestSeen}
	if s.promise > 0 {
		f.promisedUntil = max(f.promisedUntil, now+s.promise)
	}
	f.applyAttestation(now, f.selfRecord, s)
}

// HandleExchange handles a peer's exchange request and returns the answer and the
// resulting actions. It uses only those parts of the request that do not depend on
// the time in transit.
func (f *Fleet) HandleExchange(now time.Duration, req *peerpb.Vector) (*peerpb.Vector, []Action) {
	f.advanceClock(now)
	if f.stopped {
		return nil, nil
	}
	for _, a := range req.GetHosts() {
		if a.GetHost() == req.GetFrom() {
			f.mergeIdentity(a)
		}
	}
	f.mergeVersion(req)
	f.attestSelf(now)
	out := f.newVector(now)
	n := len(req.GetDigests())
	if n == 0 || n > maxBuckets {
		n = 1
	}
	equal := f.compareDigests(req.GetDigests(), n, out)
	out.Ages = make([]uint32, 0, len(f.sortedRecords))
	for _, r := range f.sortedRecords {
		switch {
		case !r.inRoster:
		case !equal[r.hash%uint64(n)]:
			out.Hosts = append(out.Hosts, f.encodeAttestation(now, r))
		default:
			out.Ages = append(out.Ages, f.packAge(now, r))
		}
	}
	if req.GetWantRoles() {
		out.Roles = f.roles.encodeRows()
	}
	f.startDueDuties(now)
	acts := f.actions
	f.actions = nil
	return out, acts
}

// compareDigests reports for each of the n buckets whether the digest equals that
// of this host's roster. It lists the differing buckets in out.
func (f *Fleet) compareDigests(digests []uint64, n int, out *peerpb.Vector) []bool {
	equal := make([]bool, n)
	for b, d := range f.digests(n) {
		equal[b] = b < len(digests) && digests[b] == d
		if !equal[b] {
			out.Differing = append(out.Differing, uint32(b))
		}
	}
	return equal
}

// packAge encodes the age of a host's newest attestation, in units of ageUnit and
// rounded up, and its flags. The flags are the lowest flagBits bits.
func (f *Fleet) packAge(now time.Duration, r *hostRecord) uint32 {
	if !r.attested {
		return unknownAge << flagBits
	}
	v := uint32(min((now-r.attestedAt+ageUnit-1)/ageUnit, unknownAge)) << flagBits
	if r.promised && r.promisedAt == r.attestedAt {
		v |= shortPromiseFlag
		if r.promisedFor == longPromise {
			v ^= shortPromiseFlag | longPromiseFlag
		}
	}
	if r.hasLease {
		v |= leasedFlag
	}
	if r.version >= f.config.highestSeen {
		v |= currentFlag
	}
	if r.informed && r.informedAt == r.attestedAt {
		v |= informedFlag
	}
	return v
}

// mergeIdentity applies an attested identity if it is newer than the known one.
// It returns nil for an outdated incarnation, for this host and for an empty
// name.
func (f *Fleet) mergeIdentity(a *peerpb.Attestation) *hostRecord {
	if a.GetHost() == f.self.Name || a.GetHost() == "" {
		return nil
	}
	r := f.getOrCreateRecord(a.GetHost())
	switch {
	case !r.inRoster || a.GetIncarnation() > r.incarnation:
		r.setIdentity(Identity{a.GetHost(), a.GetZone(), a.GetAddress(), a.GetIncarnation()})
		r.leaving = a.GetLeaving()
		r.updateDigest()
	case a.GetIncarnation() < r.incarnation:
		return nil
	case a.GetLeaving() && !r.leaving:
		r.leaving = true
		r.updateDigest()
	}
	return r
}

func (f *Fleet) mergeVersion(v *peerpb.Vector) {
	ver := config.Version(v.GetConfigVersion())
	f.recordVersion(ver)
	if r, ok := f.records[v.GetFrom()]; ok {
		r.version = max(r.version, ver)
	}
}

// applyAttestation applies an attestation if it is newer than the newest known
// one. The version is merged in either case.
func (f *Fleet) applyAttestation(now time.Duration, r *hostRecord, s attestation) {
	r.version = max(r.version, s.version)
	if r.attested && s.at <= r.attestedAt {
		return
	}
	if !r.isLive(now, maxLiveAge(f.hostCount())) {
		r.liveSince = now
	}
	r.attested, r.attestedAt, r.hasLease = true, s.at, s.hasLease
	if s.promise > 0 {
		r.promised, r.promisedAt, r.promisedFor = true, s.at, s.promise
	}
	if s.informed {
		r.informed, r.informedAt = true, s.at
	}
}

func (f *Fleet) handleExchangeDone(now time.Duration, in ExchangeDone) {
	c, ok := f.peerCalls[in.Call]
	if !ok {
		return
	}
	delete(f.peerCalls, in.Call)
	if in.Refused {
		f.recordRefusal(c)
	}
	v := in.Vector
	if v == nil {
		return
	}
	at := c.sentAt // the content of the answer is no older than the request
	if f.disabled.ignoreTransitTime {
		at = now
	}
	f.mergeVersion(v)
	if v.GetConfirmedVersion() > 0 {
		f.confirmVersion(now, config.Version(v.GetConfirmedVersion()), at-millis(v.GetConfirmedAgeMs()))
	}
	f.mergeAges(now, at, c.digests, v)
	for _, a := range v.GetHosts() {
		if r := f.mergeIdentity(a); r != nil && a.GetAgeMs() < unknownAgeMillis {
			f.applyAttestation(now, r, attestation{
				at - millis(a.GetAgeMs()), a.GetLeased(), millis(a.GetPromiseMs()), a.GetInformed(),
				config.Version(a.GetConfigVersion()),
			})
		}
	}
	if !f.roleScan.completed {
		for _, row := range v.GetRoles() {
			f.applyRelayedRole(row)
		}
	}
	f.updateFreshness(now)
}

// mergeAges applies the ages of buckets with equal digests. Ages carry no host
// names; they are in the order of the roster. They are dropped when the own roster
// has changed since the request, because the order may then differ.
func (f *Fleet) mergeAges(now, at time.Duration, sentDigests []uint64, v *peerpb.Vector) {
	if len(v.GetAges()) == 0 || len(sentDigests) == 0 {
		return
	}
	differing := make([]bool, len(sentDigests))
	for _, b := range v.GetDiffering() {
		if int(b) < len(differing) {
			differing[b] = true
		}
	}
	ownDigests := f.digests(len(sentDigests))
	for b, d := range sentDigests {
		if !differing[b] && ownDigests[b] != d {
			return
		}
	}
	i, ages := 0, v.GetAges()
	for _, r := range f.sortedRecords {
		if !r.inRoster || differing[r.hash%uint64(len(sentDigests))] {
			continue
		}
		if i == len(ages) {
			return
		}
		if age, flags := ages[i]>>flagBits, ages[i]; age < unknownAge && r != f.selfRecord {
			s := attestation{
				at - time.Duration(age)*ageUnit, flags&leasedFlag != 0, 0, flags&informedFlag != 0, 0,
			}
			switch {
			case flags&longPromiseFlag != 0:
				s.promise = longPromise
			case flags&shortPromiseFlag != 0:
				s.promise = shortPromise
			}
			if flags&currentFlag != 0 {
				s.version = config.Version(v.GetConfigVersion())
			}
			f.applyAttestation(now, r, s)
		}
		i++
	}
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// recordRefusal records that the address of the call refused the connection, unless
// the host has another address by now.
func (f *Fleet) recordRefusal(c peerCall) {
	r, ok := f.records[c.peer]
	if ok && r.address == c.address && (!r.refused || c.sentAt > r.refusedAt) {
		r.refused, r.refusedAt = true, c.sentAt
	}
}

// probeSilentHosts checks whether hosts of the inventory without a recent
// attestation refuse connections. It does so during a store outage, and when freshAt
// is older than probeAfterSilence.
func (f *Fleet) probeSilentHosts(now time.Duration) {
	d := f.config.document
	if d == nil || now-f.config.freshAt < probeAfterSilence && now-f.lastStoreAnswerAt < promiseAfter {
		return
	}
	probes := 0
	for _, c := range f.peerCalls {
		if c.probe {
			probes++
		}
	}
	for _, h := range d.Inventory.Hosts {
		r := f.records[h.Name]
		if probes >= maxProbesInFlight {
			return
		}
		if r == nil || r == f.selfRecord || r.address == "" || r.isLive(now, probeAfterSilence) || now < r.probedAt+probeInterval {
			continue
		}
		r.probedAt = now
		probes++
		f.nextCall++
		f.peerCalls[f.nextCall] = peerCall{peer: r.name, address: r.address, sentAt: now, probe: true}
		f.emit(Probe{f.nextCall, r.name, r.address})
	}
}

func (f *Fleet) handleProbeDone(in ProbeDone) {
	c, ok := f.peerCalls[in.Call]
	delete(f.peerCalls, in.Call)
	if ok && in.Refused {
		f.recordRefusal(c)
	}
}

func (f *Fleet) applyRelayedRole(r *peerpb.RoleRow) {
	f.applyRoleRow(r.GetRole(), store.Revision(r.GetRevision()), roleRow{
		Holder: r.GetHolder(), Incarnation: r.GetIncarnation(), Epoch: r.GetEpoch(),
	}, false)
}
