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
// attestation and one digest per bucket of its roster, which is the set of
// hosts with their incarnations and addresses. The answer carries, for buckets
// with equal digests, only an age per host, and full attestations otherwise.
// Ages are taken from answers alone: the requester knows when it asked, so that
// it can count the time in transit; the receiver of a request cannot.

const (
	// hostsPerBucket balances the size of the digests against the cost of one
	// differing bucket.
	hostsPerBucket = 32
	maxBuckets     = 256
	// noAge stands for a host of which no statement is known, in ageUnit.
	noAge = 1 << 17
	// ageUnit lets an age of up to 4 s and its flags fit into two bytes.
	ageUnit = 8 * time.Millisecond

	// zoneTries bounds the draws for a peer of the own zone.
	zoneTries = 30

	promiseFlag  = 1
	leasedFlag   = 2
	currentFlag  = 4
	informedFlag = 8
	longFlag     = 16
	flagBits     = 5
)

// record is what this host knows of one host by heartbeat.
type record struct {
	name        string
	hash        uint64
	zone        string
	address     string
	incarnation uint64
	leaving     bool
	// known is set once an attestation has been received. Only known hosts are
	// part of the roster.
	known  bool
	digest uint64 // of the fields above

	// stated is set once statedAt holds. statedAt is no later than the moment
	// of the newest known statement.
	stated   bool
	statedAt time.Duration
	leased   bool
	// informed is set once informedAt holds, which is the statedAt of the newest
	// statement that the host made while it was informed.
	informed   bool
	informedAt time.Duration
	// version is the highest version that the host has stated to know.
	version config.Version
	// promised is set once promisedAt holds, which is the statedAt of the
	// newest statement with a promise.
	promised    bool
	promisedAt  time.Duration
	promisedFor time.Duration
	// refused is set once refusedAt holds: the host's address refused a
	// connection that was opened at that time.
	refused   bool
	refusedAt time.Duration
	probedAt  time.Duration
	// liveSince is the start of the time in which the host has been live.
	liveSince time.Duration
}

// statement is what one host says about itself at one moment.
type statement struct {
	at       time.Duration
	leased   bool
	promise  time.Duration // 0 for none
	informed bool
	version  config.Version
}

// identify takes a new incarnation over. What was stated before stays true for
// its time: a new process observes a quiet period before it takes roles over. The
// version does not, because a new process has forgotten it.
func (r *record) identify(id Identity) {
	r.zone, r.address, r.incarnation = id.Zone, id.Address, id.Incarnation
	r.leaving, r.leased, r.known, r.version = false, false, true, 0
	r.restate()
}

// restate renews the digest after a change.
func (r *record) restate() {
	h := r.hash ^ bits.RotateLeft64(r.incarnation, 17) ^ xxhash.Sum64String(r.address)*3 ^ xxhash.Sum64String(r.zone)*5
	if r.leaving {
		h++
	}
	r.digest = h * 0x9e3779b97f4a7c15
}

func (r *record) live(now, age time.Duration) bool { return r.stated && now-r.statedAt < age }

func bucketsFor(hosts int) int {
	return min(max(1, hosts/hostsPerBucket), maxBuckets)
}

// digests folds the digests of the known hosts into n buckets.
func (f *Fleet) digests(n int) []uint64 {
	out := make([]uint64, n)
	for _, r := range f.order {
		if r.known {
			b := r.hash % uint64(n)
			out[b] = bits.RotateLeft64(out[b], 5)*0x9e3779b97f4a7c15 ^ r.digest
		}
	}
	return out
}

// startExchanges starts the exchanges that are due. Peers are chosen at random;
// the first is of the own zone if there is one, because minters need recent
// promises of their zone mates.
func (f *Fleet) startExchanges(now time.Duration) {
	interval, fanout := beat(f.hosts())
	if now < f.beatAt {
		return
	}
	f.beatAt = now + interval - time.Duration(f.rng.Int64N(int64(interval)/10))
	var candidates []*record
	for _, r := range f.order {
		if r != f.me && r.address != "" && !f.exchanging(r.name) {
			candidates = append(candidates, r)
		}
	}
	for n := range min(fanout, len(candidates)) {
		i := f.rng.IntN(len(candidates))
		for tries := 0; n == 0 && tries < zoneTries && candidates[i].zone != f.self.Zone; tries++ {
			i = f.rng.IntN(len(candidates))
		}
		r := candidates[i]
		candidates[i] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
		f.nextCall++
		v := f.request(now)
		f.pendingCalls[f.nextCall] = peerCall{peer: r.name, address: r.address, sent: now, digests: v.GetDigests()}
		f.emit(Exchange{f.nextCall, r.name, r.address, v})
	}
}

func (f *Fleet) exchanging(peer string) bool {
	for _, c := range f.pendingCalls {
		if c.peer == peer && !c.probe {
			return true
		}
	}
	return false
}

func (f *Fleet) request(now time.Duration) *peerpb.Vector {
	v := f.vector(now)
	v.Digests = f.digests(bucketsFor(len(f.order)))
	v.WantRoles = !f.roleScan.done
	v.Hosts = []*peerpb.Attestation{f.attestation(now, f.me)}
	return v
}

func (f *Fleet) vector(now time.Duration) *peerpb.Vector {
	v := &peerpb.Vector{From: f.self.Name, Incarnation: f.self.Incarnation, ConfigVersion: uint64(f.conf.known)}
	if f.conf.confirmed.version > 0 {
		v.ConfirmedVersion = uint64(f.conf.confirmed.version)
		v.ConfirmedAgeMs = ageMillis(now - f.conf.confirmed.at)
	}
	return v
}

const noAgeMillis = noAge * uint32(ageUnit/time.Millisecond)

// ageMillis rounds up, because an age may only be overstated.
func ageMillis(d time.Duration) uint32 {
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, time.Duration(noAgeMillis)))
}

func (f *Fleet) attestation(now time.Duration, r *record) *peerpb.Attestation {
	a := &peerpb.Attestation{
		Host: r.name, Incarnation: r.incarnation, Leaving: r.leaving, Address: r.address, Zone: r.zone,
		AgeMs: noAgeMillis, Leased: r.leased, ConfigVersion: uint64(r.version),
		Informed: r.informed && r.informedAt == r.statedAt,
	}
	if r.stated {
		a.AgeMs = ageMillis(now - r.statedAt)
	}
	if r.promised && r.promisedAt == r.statedAt {
		a.PromiseMs = uint32(r.promisedFor / time.Millisecond)
	}
	return a
}

// state makes a statement of this host: it has accepted nothing newer than the
// known version, and it promises if the store does not answer.
func (f *Fleet) state(now time.Duration) {
	s := statement{now, f.leaseLive(now), f.promises(now), f.conf.informed, f.conf.known}
	if s.promise > 0 {
		f.promisedUntil = max(f.promisedUntil, now+s.promise)
	}
	f.hear(now, f.me, s)
}

// Receive answers a peer's request. It takes from the request only what does
// not depend on the time in transit.
func (f *Fleet) Receive(now time.Duration, req *peerpb.Vector) (*peerpb.Vector, []Action) {
	f.begin(now)
	if f.stopped {
		return nil, nil
	}
	for _, a := range req.GetHosts() {
		if a.GetHost() == req.GetFrom() {
			f.meet(a)
		}
	}
	f.learnVersion(req)
	f.state(now)
	out := f.vector(now)
	n := len(req.GetDigests())
	if n == 0 || n > maxBuckets {
		n = 1
	}
	equal := f.compare(req.GetDigests(), n, out)
	out.Ages = make([]uint32, 0, len(f.order))
	for _, r := range f.order {
		switch {
		case !r.known:
		case !equal[r.hash%uint64(n)]:
			out.Hosts = append(out.Hosts, f.attestation(now, r))
		default:
			out.Ages = append(out.Ages, f.packAge(now, r))
		}
	}
	if req.GetWantRoles() {
		out.Roles = f.roles.export()
	}
	f.startDue(now)
	acts := f.actions
	f.actions = nil
	return out, acts
}

func (f *Fleet) compare(digests []uint64, n int, out *peerpb.Vector) []bool {
	equal := make([]bool, n)
	for b, d := range f.digests(n) {
		equal[b] = b < len(digests) && digests[b] == d
		if !equal[b] {
			out.Differing = append(out.Differing, uint32(b))
		}
	}
	return equal
}

func (f *Fleet) packAge(now time.Duration, r *record) uint32 {
	if !r.stated {
		return noAge << flagBits
	}
	v := uint32(min((now-r.statedAt+ageUnit-1)/ageUnit, noAge)) << flagBits
	if r.promised && r.promisedAt == r.statedAt {
		v |= promiseFlag
		if r.promisedFor == longPromise {
			v ^= promiseFlag | longFlag
		}
	}
	if r.leased {
		v |= leasedFlag
	}
	if r.version >= f.conf.known {
		v |= currentFlag
	}
	if r.informed && r.informedAt == r.statedAt {
		v |= informedFlag
	}
	return v
}

// meet takes a host's identity over if it is newer than the known one.
func (f *Fleet) meet(a *peerpb.Attestation) *record {
	if a.GetHost() == f.self.Name || a.GetHost() == "" {
		return nil
	}
	r := f.record(a.GetHost())
	switch {
	case !r.known || a.GetIncarnation() > r.incarnation:
		r.identify(Identity{a.GetHost(), a.GetZone(), a.GetAddress(), a.GetIncarnation()})
		r.leaving = a.GetLeaving()
		r.restate()
	case a.GetIncarnation() < r.incarnation:
		return nil
	case a.GetLeaving() && !r.leaving:
		r.leaving = true
		r.restate()
	}
	return r
}

func (f *Fleet) learnVersion(v *peerpb.Vector) {
	ver := config.Version(v.GetConfigVersion())
	f.known(ver)
	if r, ok := f.records[v.GetFrom()]; ok {
		r.version = max(r.version, ver)
	}
}

// hear takes a statement over if it is newer than the newest known one.
func (f *Fleet) hear(now time.Duration, r *record, s statement) {
	r.version = max(r.version, s.version)
	if r.stated && s.at <= r.statedAt {
		return
	}
	if !r.live(now, liveAge(f.hosts())) {
		r.liveSince = now
	}
	r.stated, r.statedAt, r.leased = true, s.at, s.leased
	if s.promise > 0 {
		r.promised, r.promisedAt, r.promisedFor = true, s.at, s.promise
	}
	if s.informed {
		r.informed, r.informedAt = true, s.at
	}
}

func (f *Fleet) exchangeDone(now time.Duration, in ExchangeDone) {
	c, ok := f.pendingCalls[in.Call]
	if !ok {
		return
	}
	delete(f.pendingCalls, in.Call)
	if in.Refused {
		f.refusedBy(c)
	}
	v := in.Vector
	if v == nil {
		return
	}
	at := c.sent // the answer's content is no older than the request
	if f.guards.noTransit {
		at = now
	}
	f.learnVersion(v)
	if v.GetConfirmedVersion() > 0 {
		f.confirm(now, config.Version(v.GetConfirmedVersion()), at-millis(v.GetConfirmedAgeMs()))
	}
	f.mergeAges(now, at, c.digests, v)
	for _, a := range v.GetHosts() {
		if r := f.meet(a); r != nil && a.GetAgeMs() < noAgeMillis {
			f.hear(now, r, statement{
				at - millis(a.GetAgeMs()), a.GetLeased(), millis(a.GetPromiseMs()), a.GetInformed(),
				config.Version(a.GetConfigVersion()),
			})
		}
	}
	if !f.roleScan.done {
		for _, row := range v.GetRoles() {
			f.roleHeard(row)
		}
	}
	f.refreshKeys(now)
}

// mergeAges reads the ages of the equal buckets. They are dropped when the own
// roster has changed since the request, because they could no longer be assigned
// to hosts.
func (f *Fleet) mergeAges(now, at time.Duration, c []uint64, v *peerpb.Vector) {
	if len(v.GetAges()) == 0 || len(c) == 0 {
		return
	}
	differing := make([]bool, len(c))
	for _, b := range v.GetDiffering() {
		if int(b) < len(differing) {
			differing[b] = true
		}
	}
	own := f.digests(len(c))
	for b, d := range c {
		if !differing[b] && own[b] != d {
			return
		}
	}
	i, ages := 0, v.GetAges()
	for _, r := range f.order {
		if !r.known || differing[r.hash%uint64(len(c))] {
			continue
		}
		if i == len(ages) {
			return
		}
		if age, flags := ages[i]>>flagBits, ages[i]; age < noAge && r != f.me {
			s := statement{
				at - time.Duration(age)*ageUnit, flags&leasedFlag != 0, 0, flags&informedFlag != 0, 0,
			}
			switch {
			case flags&longFlag != 0:
				s.promise = longPromise
			case flags&promiseFlag != 0:
				s.promise = shortPromise
			}
			if flags&currentFlag != 0 {
				s.version = config.Version(v.GetConfigVersion())
			}
			f.hear(now, r, s)
		}
		i++
	}
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func (f *Fleet) refusedBy(c peerCall) {
	r, ok := f.records[c.peer]
	if ok && r.address == c.address && (!r.refused || c.sent > r.refusedAt) {
		r.refused, r.refusedAt = true, c.sent
	}
}

// probe asks whether silent hosts of the inventory are gone, when that
// matters: in a store outage.
func (f *Fleet) probe(now time.Duration) {
	d := f.conf.document
	if d == nil || now-f.conf.freshAt < probeAfter && now-f.lastStoreOK < promiseAfter {
		return
	}
	probes := 0
	for _, c := range f.pendingCalls {
		if c.probe {
			probes++
		}
	}
	for _, h := range d.Inventory.Hosts {
		r := f.records[h.Name]
		if probes >= probesInFlight {
			return
		}
		if r == nil || r == f.me || r.address == "" || r.live(now, probeAfter) || now < r.probedAt+probeInterval {
			continue
		}
		r.probedAt = now
		probes++
		f.nextCall++
		f.pendingCalls[f.nextCall] = peerCall{peer: r.name, address: r.address, sent: now, probe: true}
		f.emit(Probe{f.nextCall, r.name, r.address})
	}
}

func (f *Fleet) probeDone(in ProbeDone) {
	c, ok := f.pendingCalls[in.Call]
	delete(f.pendingCalls, in.Call)
	if ok && in.Refused {
		f.refusedBy(c)
	}
}

func (f *Fleet) roleHeard(r *peerpb.RoleRow) {
	f.roleSeen(r.GetRole(), store.Revision(r.GetRevision()), roleRow{
		Holder: r.GetHolder(), Incarnation: r.GetIncarnation(), Epoch: r.GetEpoch(),
	}, false)
}
