package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

const (
	replicated = config.DurabilityReplicated
	onPrimary  = config.DurabilityPrimary
)

// seeds are the fixed seeds of the named tests. Each changes every delay and
// the clients' behaviour.
var seeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

func eachSeed(t *testing.T, d config.Durability, prepare func(s *sim), verify func(t *testing.T, s *sim)) {
	t.Helper()
	for _, seed := range seeds {
		s := newSim(seed, 3, d, unsafe{})
		s.startClients(6, endAt)
		prepare(s)
		s.runUntil(endAt)
		check(t, s)
		if verify != nil {
			verify(t, s)
		}
	}
}

func (s *sim) lastAck(from, to time.Duration) (n int, last time.Duration) {
	for _, a := range s.oracle.acked {
		if a.at >= from && a.at < to {
			n, last = n+1, a.at
		}
	}
	return n, last
}

// gapAfter is the time from t to the next acknowledged write.
func (s *sim) gapAfter(t time.Duration) time.Duration {
	for _, a := range s.oracle.acked {
		if a.at >= t {
			return a.at - t
		}
	}
	return endAt
}

// maxGap is the objective of docs/design.md, section 1.2.
const maxGap = 5 * time.Second

// Guards against a failover gap above the objective when the primary and its
// owner die together.
func TestZoneOfPrimaryDies(t *testing.T) {
	t.Parallel()
	eachSeed(t, replicated, func(s *sim) {
		s.inject(fault{kind: "crash zone", at: 5 * time.Second, last: 20 * time.Second})
	}, func(t *testing.T, s *sim) {
		assert.Assert(t, s.gapAfter(5*time.Second+10*time.Millisecond) < maxGap, "gap %v", s.gapAfter(5*time.Second+10*time.Millisecond))
		assert.Equal(t, s.dbs[0].role, dbconn.Replica, "the returned database must follow again")
		assert.Equal(t, s.dbs[0].term, s.dbs[1].term)
	})
}

// Guards against waiting for a lease when the owner itself is alive.
func TestDatabaseOfPrimaryDies(t *testing.T) {
	t.Parallel()
	eachSeed(t, replicated, func(s *sim) {
		s.inject(fault{kind: "crash database", at: 5 * time.Second, last: 20 * time.Second})
	}, func(t *testing.T, s *sim) {
		gap := s.gapAfter(5*time.Second + 10*time.Millisecond)
		assert.Assert(t, gap < 3*time.Second, "gap %v", gap)
	})
}

// Guards against a promotion of another database when only the owner dies: the
// next home host takes the group over with the same primary.
func TestOwnerDies(t *testing.T) {
	t.Parallel()
	eachSeed(t, replicated, func(s *sim) {
		s.inject(fault{kind: "crash host", at: 5 * time.Second, last: 20 * time.Second})
	}, func(t *testing.T, s *sim) {
		gap := s.gapAfter(5*time.Second + 10*time.Millisecond)
		assert.Assert(t, gap < maxGap, "gap %v", gap)
		assert.Equal(t, s.steps[CountClaimed], 0)
	})
}

// Guards against answers of an old primary on the far side of a partition, in
// which its owner still believes that it leads.
func TestPrimaryOnTheFarSideOfAPartition(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{replicated, onPrimary} {
		eachSeed(t, d, func(s *sim) {
			s.inject(fault{kind: "isolate from all", at: 5 * time.Second, last: 12 * time.Second})
		}, func(t *testing.T, s *sim) {
			gap := s.gapAfter(9 * time.Second)
			assert.Assert(t, gap < 2*time.Second, "the near side must have a primary; gap %v", gap)
		})
	}
}

// Guards against a group without service when the zone of the primary is cut
// off from the other zones but not from the store: its lease never lapses.
func TestCutOffZoneThatReachesTheStore(t *testing.T) {
	t.Parallel()
	eachSeed(t, replicated, func(s *sim) {
		s.inject(fault{kind: "isolate", at: 5 * time.Second, last: 15 * time.Second})
	}, func(t *testing.T, s *sim) {
		assert.Assert(t, s.steps[CountResigned] > 0)
		n, _ := s.lastAck(12*time.Second, 20*time.Second)
		assert.Assert(t, n > 50, "writes acknowledged during the partition: %d", n)
	})
}

// Guards against an owner that gives its group away, again and again, when only
// the databases of the replicas are down.
func TestBothReplicasDown(t *testing.T) {
	t.Parallel()
	eachSeed(t, replicated, func(s *sim) {
		s.inject(fault{kind: "crash database", a: 1, at: 5 * time.Second, last: 15 * time.Second})
		s.inject(fault{kind: "crash database", a: 2, at: 5 * time.Second, last: 15 * time.Second})
	}, func(t *testing.T, s *sim) {
		assert.Equal(t, s.steps[CountResigned]+s.steps[CountHandedOver]+s.steps[CountClaimed], 0)
	})
}

// Guards against a holder that was paused past its lease and acts on stale
// belief when it wakes up.
func TestPausedOwnerWakesUp(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{replicated, onPrimary} {
		eachSeed(t, d, func(s *sim) {
			s.inject(fault{kind: "crash database", at: 5 * time.Second, last: 5 * time.Second})
			s.inject(fault{kind: "pause", at: 5 * time.Second, last: 6 * time.Second})
		}, nil)
	}
}

// Guards against a store outage that stops the writes of a healthy primary,
// also long after its lease has lapsed.
func TestLongStoreOutage(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{replicated, onPrimary} {
		eachSeed(t, d, func(s *sim) {
			s.inject(fault{kind: "store down", at: 5 * time.Second, last: 15 * time.Second})
		}, func(t *testing.T, s *sim) {
			assert.Equal(t, s.steps[CountClaimed], 0, "a store outage must not change the primary")
			for at := 5 * time.Second; at < 28*time.Second; at += time.Second {
				n, _ := s.lastAck(at, at+time.Second)
				assert.Assert(t, n > 10, "%d writes acknowledged in the second after %v", n, at)
			}
		})
	}
}

// Guards against a primary that returns during a store outage and stays closed
// until the store is back, because its owner waits for the outcome of a promotion.
func TestPrimaryRestartsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{replicated, onPrimary} {
		eachSeed(t, d, func(s *sim) {
			s.inject(fault{kind: "store down", at: 5 * time.Second, last: 15 * time.Second})
			s.inject(fault{kind: "crash database", at: 8 * time.Second, last: 3 * time.Second})
		}, func(t *testing.T, s *sim) {
			n, _ := s.lastAck(12*time.Second, 20*time.Second)
			assert.Assert(t, n > 100, "writes acknowledged after the restart: %d", n)
		})
	}
}

// Guards against a promotion that does not start over when the promoting host
// crashes after a step, and when the chosen database dies as well.
func TestCrashAfterEachStep(t *testing.T) {
	t.Parallel()
	for _, step := range []string{CountClaimed, CountFenced, CountAssigned, CountHandedOn, CountPromoted, CountOpened} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			for _, second := range []bool{false, true} {
				eachSeed(t, replicated, func(s *sim) {
					s.inject(fault{kind: "crash zone", at: 5 * time.Second, last: 12 * time.Second})
					done := false
					s.onCount = func(h *simHost, name string) {
						if name != step || done || s.now < 5*time.Second {
							return
						}
						done = true
						s.crash(h, 8*time.Second)
						if second {
							s.begin(fault{kind: "crash database", a: h.zone, last: 4 * time.Second})
						}
					}
				}, nil)
			}
		})
	}
}

// Guards against two primaries when the hosts of both replicas promote at once
// and answers of the store are lost.
func TestTwoHostsPromoteAtOnce(t *testing.T) {
	t.Parallel()
	contested := 0
	eachSeed(t, replicated, func(s *sim) {
		for _, h := range s.hosts {
			h.m.opt.Timing.RankStep = 0
		}
		s.inject(fault{kind: "crash zone", at: 5 * time.Second, last: 20 * time.Second})
		s.inject(fault{kind: "lost answers", at: 8 * time.Second, last: 6 * time.Second})
	}, func(_ *testing.T, s *sim) {
		if s.steps[CountFailed] > 0 {
			contested++
		}
	})
	assert.Assert(t, contested > 0, "no run had a contested promotion")
}

// Guards against a planned stop after which the new home of the primary learns
// late that it owns the group.
func TestHomeRoleHandedOver(t *testing.T) {
	t.Parallel()
	worst := time.Duration(0)
	eachSeed(t, replicated, func(s *sim) {
		s.after(5*time.Second, func() { s.homes[0] = 3 })
	}, func(t *testing.T, s *sim) {
		last := 4 * time.Second
		for _, a := range s.oracle.acked {
			if a.at > last {
				worst, last = max(worst, a.at-last), a.at
			}
		}
		assert.Equal(t, s.steps[CountClaimed], 0)
		assert.Assert(t, s.steps[CountHandedOver] > 0)
	})
	// Hosts learn of the role up to 300 ms apart.
	assert.Assert(t, worst < 450*time.Millisecond, "longest pause %v", worst)
	t.Logf("longest pause %v", worst)
}

// Guards against a planned promotion that fails a write or leaves the primary
// in a zone that is taken out.
func TestZoneTakenOut(t *testing.T) {
	t.Parallel()
	eachSeed(t, replicated, func(s *sim) {
		s.inject(fault{kind: "out", at: 5 * time.Second, last: 20 * time.Second})
		s.after(8*time.Second, func() { // 3 s after the change, as I8 demands
			row, err := DecodeRow(s.groupRow.Value)
			assert.NilError(t, err)
			assert.Assert(t, row.Primary != dbName(0), "the primary is still in the zone that was taken out")
		})
	}, func(t *testing.T, s *sim) {
		assert.Equal(t, s.steps[CountPlanned], 1)
		gap := s.gapAfter(5500 * time.Millisecond)
		assert.Assert(t, gap < 2*time.Second, "gap %v", gap)
	})
}

// guardRun is a run in which a guard is needed.
type guardRun struct {
	n       int
	d       config.Durability
	prepare func(s *sim)
}

// expectViolation runs with the guard on, where no violation may be found, and
// with the guard off, where the oracle must find one.
func expectViolation(t *testing.T, u unsafe, plainPositions bool, r guardRun) {
	t.Helper()
	found := 0
	for _, seed := range seeds {
		for _, off := range []bool{false, true} {
			v := unsafe{}
			if off {
				v = u
			}
			s := newSim(seed, r.n, r.d, v)
			s.plainPositions = off && plainPositions
			s.startClients(6, endAt)
			r.prepare(s)
			s.runUntil(endAt)
			if !off {
				assert.Assert(t, s.oracle.violation == "", "with the guard: %s", s.oracle.violation)
			} else if s.oracle.violation != "" {
				found++
				t.Logf("seed %d without the guard: %s", seed, s.oracle.violation)
			}
		}
	}
	assert.Assert(t, found > 0, "the oracle found no violation without the guard")
}

func zoneCutOff(s *sim) {
	s.inject(fault{kind: "isolate from all", at: 5 * time.Second, last: 15 * time.Second})
}

// Shows that the lease check keeps an old primary from acknowledging.
func TestWithoutLeaseCheck(t *testing.T) {
	t.Parallel()
	expectViolation(t, unsafe{skipLease: true}, false, guardRun{3, onPrimary, zoneCutOff})
}

// Shows that confirmation by a majority keeps acknowledged writes.
func TestWithoutConfirmation(t *testing.T) {
	t.Parallel()
	expectViolation(t, unsafe{skipConfirmation: true}, false, guardRun{3, replicated, zoneCutOff})
}

// Shows that a promotion must wait until the owner's lease has lapsed.
func TestWithoutWaitForLease(t *testing.T) {
	t.Parallel()
	expectViolation(t, unsafe{skipLapse: true}, false, guardRun{3, onPrimary, zoneCutOff})
}

// Shows that an owner whose lease was renewed after it had lapsed must write
// the row before the lease counts again: another host may have promoted.
func TestWithoutNewClaim(t *testing.T) {
	t.Parallel()
	expectViolation(t, unsafe{skipReclaim: true}, false, guardRun{3, onPrimary, func(s *sim) {
		s.inject(fault{kind: "isolate", at: 5 * time.Second, last: 20 * time.Second})
		s.inject(fault{kind: "crash host", a: 3, at: 5 * time.Second, last: 20 * time.Second})
		s.inject(fault{kind: "pause", at: 5 * time.Second, last: 7 * time.Second})
	}})
}

// Shows that fencing fewer than a majority loses acknowledged writes.
func TestWithoutMajority(t *testing.T) {
	t.Parallel()
	expectViolation(t, unsafe{skipFence: true}, false, guardRun{3, replicated, func(s *sim) {
		s.inject(fault{kind: "isolate", a: 2, at: 3 * time.Second, last: 20 * time.Second})
		s.inject(fault{kind: "crash zone", a: 0, at: 5 * time.Second, last: 20 * time.Second})
		s.inject(fault{kind: "crash zone", a: 1, at: 5 * time.Second, last: 20 * time.Second})
	}})
}

// Shows that write authority must end when a write that gives the group away is
// sent, and not when its answer arrives.
func TestWithoutEndOfClaim(t *testing.T) {
	t.Parallel()
	expectViolation(t, unsafe{keepClaim: true}, false, guardRun{3, replicated, func(s *sim) {
		s.inject(fault{kind: "isolate", at: 5 * time.Second, last: 20 * time.Second})
		s.onCount = func(h *simHost, name string) {
			if name == CountResigned {
				s.loseNext = h
				s.after(8*time.Millisecond, func() { s.storeCut[h.zone]++ })
				s.after(15*time.Second, func() { s.storeCut[h.zone]-- })
			}
		}
	}})
}

// Shows that samples of a primary without write authority make the data of a
// replica on its side of a partition look fresher than it is.
func TestWithoutSampleCheck(t *testing.T) {
	t.Parallel()
	expectViolation(t, unsafe{skipSampleCheck: true}, false, guardRun{5, replicated, func(s *sim) {
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3, 4} {
				s.inject(fault{kind: "cut", a: a, b: b, at: 5 * time.Second, last: 15 * time.Second})
			}
			s.after(5*time.Second, func() { s.storeCut[a]++ })
			s.after(20*time.Second, func() { s.storeCut[a]-- })
		}
	}})
}

// Shows why the database contract must make positions grow with the term: the
// discarded tail of an old primary can be longer than the successor's log.
func TestWithoutTermInPositions(t *testing.T) {
	t.Parallel()
	expectViolation(t, unsafe{}, true, guardRun{3, replicated, func(s *sim) {
		s.inject(fault{kind: "isolate from all", a: 0, at: 5 * time.Second, last: 6 * time.Second})
		s.after(9*time.Second, func() { // a tail that only the old primary holds
			for i := range 400 {
				if db := s.dbs[0]; db.term == 1 {
					db.log = append(db.log, simEntry{term: 1, write: 0, key: i})
				}
			}
		})
		s.inject(fault{kind: "crash zone", a: 1, at: 11*time.Second - 20*time.Millisecond, last: 10 * time.Second})
	}})
}
