package fleet

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// benchSizes are the fleet sizes of the benchmarks.
var benchSizes = []struct{ hosts, zones, servers int }{{9, 4, 9}, {50, 4, 87}, {150, 5, 260}, {490, 10, 850}}

// newBenchFleet returns a fleet with a published document that has run for 28 s
// of simulated time.
func newBenchFleet(b *testing.B, hosts, zones, servers int) *sim {
	b.Helper()
	s := newSim(1, zones, hosts, disabledGuards{})
	s.skipOracle, s.servers, s.latency = true, servers, 2*time.Millisecond
	s.tickEvery = 100 * time.Millisecond
	s.advance(8 * time.Second)
	s.publish(s.hosts[0], 1, 0, s.document("v1"))
	s.advance(20 * time.Second)
	if s.hosts[hosts-1].f.documentVersion() != 1 {
		b.Fatal("the fleet has no configuration")
	}
	return s
}

// BenchmarkExchange measures one whole exchange: the request, the encoding of
// both messages, the answer and the merge. The full variant sends every
// attestation in full, as an exchange without digests does.
func BenchmarkExchange(b *testing.B) {
	for _, n := range benchSizes {
		s := newBenchFleet(b, n.hosts, n.zones, n.servers)
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/full=%v", n.hosts, full), func(b *testing.B) {
				x, y := s.hosts[0], s.hosts[1]
				size := 0
				for b.Loop() {
					now := x.clock(s.now)
					req := x.f.exchangeRequest(now)
					x.f.nextCall++
					x.f.peerCalls[x.f.nextCall] = peerCall{peer: y.name, sentAt: now, digests: req.GetDigests()}
					if full {
						req.Digests = nil
					}
					got, sent := &peerpb.Vector{}, marshal(b, req)
					must(b, proto.Unmarshal(sent, got))
					res, _ := y.f.HandleExchange(y.clock(s.now), got)
					back := marshal(b, res)
					got = &peerpb.Vector{}
					must(b, proto.Unmarshal(back, got))
					x.f.handleExchangeDone(now, ExchangeDone{Call: x.f.nextCall, Vector: got})
					size = len(sent) + len(back)
				}
				b.ReportMetric(float64(size), "wireB/op")
			})
		}
	}
}

func marshal(b *testing.B, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	must(b, err)
	return data
}

func must(b *testing.B, err error) {
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkMinute runs a simulated minute. It reports the store calls of the
// whole fleet, the heartbeat bytes that one host sends and receives, the CPU
// time of one host's Fleet, and the oldest attestation at any host. The CPU
// time includes that of the simulation and is an upper bound.
func BenchmarkMinute(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n.hosts), func(b *testing.B) {
			for b.Loop() {
				s := newBenchFleet(b, n.hosts, n.zones, n.servers)
				s.reads, s.writes, s.rowsRead, s.exchanges, s.exchangeBytes, s.fullEntries = 0, 0, 0, 0, 0, 0
				var oldest, zoneOldest, confirmed time.Duration
				begin := time.Now()
				for range 60 {
					s.advance(time.Second)
					for _, h := range s.hosts {
						now := h.clock(s.now)
						at, _ := h.f.oldestAttestation(now)
						oldest = max(oldest, now-at)
						for _, r := range h.f.sortedRecords {
							if r.zone == h.zone && r != h.f.selfRecord {
								zoneOldest = max(zoneOldest, now-r.attestedAt)
							}
						}
						confirmed = max(confirmed, now-h.f.config.confirmed.at)
					}
				}
				cpu := time.Since(begin)
				perSecond := func(n int) float64 { return float64(n) / 60 }
				b.ReportMetric(perSecond(s.reads), "reads/s")
				b.ReportMetric(perSecond(s.rowsRead), "rows/s")
				b.ReportMetric(perSecond(s.writes), "writes/s")
				// Each exchange is sent by one host and received by another.
				b.ReportMetric(2*perSecond(s.exchangeBytes)/float64(n.hosts), "wireB/s/host")
				b.ReportMetric(2*perSecond(s.exchanges)/float64(n.hosts), "exchanges/s/host")
				b.ReportMetric(perSecond(s.fullEntries)/float64(n.hosts), "full/s/host")
				b.ReportMetric(cpu.Seconds()/60/float64(n.hosts)*100, "%core/host")
				b.ReportMetric(float64(oldest.Milliseconds()), "oldest-ms")
				b.ReportMetric(float64(zoneOldest.Milliseconds()), "zone-oldest-ms")
				b.ReportMetric(float64(confirmed.Milliseconds()), "confirmed-ms")
			}
		})
	}
}

// BenchmarkMemory reports the heap size of one host's Fleet.
func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n.hosts), func(b *testing.B) {
			for b.Loop() {
				s := newBenchFleet(b, n.hosts, n.zones, n.servers)
				h := s.hosts[0]
				h.f.config.document = nil // shared by all simulated hosts
				before := heapBytes()
				h.f = nil
				b.ReportMetric(float64(before-heapBytes())/1024, "KB")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkOutage runs a simulated minute of store outage. It reports the
// largest number of hosts with stale keys, and of minter roles without a valid
// holder, at the end of any second.
func BenchmarkOutage(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n.hosts), func(b *testing.B) {
			for b.Loop() {
				s := newBenchFleet(b, n.hosts, n.zones, n.servers)
				s.storeDown = true
				stale, idleMinters := 0, 0
				for range 60 {
					s.advance(time.Second)
					staleNow, minting := 0, 0
					for _, h := range s.hosts {
						if !keysFresh(s, h) {
							staleNow++
						}
						for r := range usableRoles(s, h) {
							if s.hosts[0].f.roles.byName[r].minter {
								minting++
							}
						}
					}
					stale, idleMinters = max(stale, staleNow), max(idleMinters, n.zones*MinterShards-minting)
				}
				b.ReportMetric(float64(stale), "stale-hosts")
				b.ReportMetric(float64(idleMinters), "idle-minters")
			}
		})
	}
}

// BenchmarkPublish reports the simulated time until a publication is accepted
// and until the document is in force at every host.
func BenchmarkPublish(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n.hosts), func(b *testing.B) {
			for b.Loop() {
				s := newBenchFleet(b, n.hosts, n.zones, n.servers)
				begin := s.now
				s.publish(s.hosts[1], 2, 1, s.document("v2"))
				everywhere := time.Duration(0)
				for everywhere == 0 || len(s.oracle.accepted) < 2 {
					s.advance(20 * time.Millisecond)
					if everywhere == 0 && !slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.f.documentVersion() < 2 }) {
						everywhere = s.now - begin
					}
					if s.now > begin+time.Minute {
						b.Fatal("not accepted within a minute")
					}
				}
				b.ReportMetric(float64((s.oracle.accepted[1].at - begin).Milliseconds()), "accepted-ms")
				b.ReportMetric(float64(everywhere.Milliseconds()), "everywhere-ms")
			}
		})
	}
}
