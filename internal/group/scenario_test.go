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

// seeds are the fixed seeds of the scenario tests. Each seed gives other delays and
// other client requests.
var seeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// runEachSeed runs a scenario with each seed and checks every run.
func runEachSeed(t *testing.T, d config.Durability, prepare func(s *sim), verify func(t *testing.T, s *sim)) {
	t.Helper()
	for _, seed := range seeds {
		s := newSim(seed, 3, d, disabledGuards{})
		s.startClients(6, endAt)
		prepare(s)
		s.runUntil(endAt)
		checkRun(t, s)
		if verify != nil {
			verify(t, s)
		}
	}
}

// acksBetween returns the number of writes acknowledged between the times, and the
// time of the last one.
func (s *sim) acksBetween(from, to time.Duration) (n int, last time.Duration) {
	for _, a := range s.oracle.ackedWrites {
		if a.at >= from && a.at < to {
			n, last = n+1, a.at
		}
	}
	return n, last
}

// ackGapAfter returns the time from t to the next acknowledged write.
func (s *sim) ackGapAfter(t time.Duration) time.Duration {
	for _, a := range s.oracle.ackedWrites {
		if a.at >= t {
			return a.at - t
		}
	}
	return endAt
}

// maxGap is the objective for a failover gap in docs/design.md, section 1.2.
const maxGap = 5 * time.Second

// Guards against a failover gap above the objective when the primary and the owner
// crash at the same time.
func TestPrimaryZoneCrashes(t *testing.T) {
	t.Parallel()
	runEachSeed(t, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "crash zone", at: 5 * time.Second, duration: 20 * time.Second})
	}, func(t *testing.T, s *sim) {
		assert.Assert(t, s.ackGapAfter(5*time.Second+10*time.Millisecond) < maxGap, "gap %v", s.ackGapAfter(5*time.Second+10*time.Millisecond))
		assert.Equal(t, s.dbs[0].role, dbconn.Replica, "the restarted database must be a replica of the new primary")
		assert.Equal(t, s.dbs[0].term, s.dbs[1].term)
	})
}

// Guards against a promotion that waits until a lease has lapsed although the owner
// is still running. Only the primary's database crashes.
func TestPrimaryDatabaseCrashes(t *testing.T) {
	t.Parallel()
	runEachSeed(t, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "crash database", at: 5 * time.Second, duration: 20 * time.Second})
	}, func(t *testing.T, s *sim) {
		gap := s.ackGapAfter(5*time.Second + 10*time.Millisecond)
		assert.Assert(t, gap < 3*time.Second, "gap %v", gap)
	})
}

// Guards against an unneeded promotion when only the owner crashes. Another host must
// take over the group with the same primary.
func TestOwnerHostCrashes(t *testing.T) {
	t.Parallel()
	runEachSeed(t, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "crash host", at: 5 * time.Second, duration: 20 * time.Second})
	}, func(t *testing.T, s *sim) {
		gap := s.ackGapAfter(5*time.Second + 10*time.Millisecond)
		assert.Assert(t, gap < maxGap, "gap %v", gap)
		assert.Equal(t, s.steps[CountClaimed], 0)
	})
}

// Guards against answers of an old primary in an isolated zone, where the row that
// the old owner last read still names it as the primary.
func TestPrimaryInIsolatedZone(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{replicated, onPrimary} {
		runEachSeed(t, d, func(s *sim) {
			s.scheduleFault(fault{kind: "isolate from zones and store", at: 5 * time.Second, duration: 12 * time.Second})
		}, func(t *testing.T, s *sim) {
			gap := s.ackGapAfter(9 * time.Second)
			assert.Assert(t, gap < 2*time.Second, "the other zones must have a primary; gap %v", gap)
		})
	}
}

// Guards against an unavailable group when the zone of the primary is partitioned
// from the other zones but still reaches the store, so that the owner's lease never
// lapses.
func TestIsolatedZoneReachesStore(t *testing.T) {
	t.Parallel()
	runEachSeed(t, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "isolate", at: 5 * time.Second, duration: 15 * time.Second})
	}, func(t *testing.T, s *sim) {
		assert.Assert(t, s.steps[CountResigned] > 0)
		n, _ := s.acksBetween(12*time.Second, 20*time.Second)
		assert.Assert(t, n > 50, "writes acknowledged during the partition: %d", n)
	})
}

// Guards against an owner that repeatedly hands its group over when only the
// replicas are down.
func TestBothReplicasDown(t *testing.T) {
	t.Parallel()
	runEachSeed(t, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "crash database", a: 1, at: 5 * time.Second, duration: 15 * time.Second})
		s.scheduleFault(fault{kind: "crash database", a: 2, at: 5 * time.Second, duration: 15 * time.Second})
	}, func(t *testing.T, s *sim) {
		assert.Equal(t, s.steps[CountResigned]+s.steps[CountHandedOver]+s.steps[CountClaimed], 0)
	})
}

// Guards against an owner that was paused until its lease had lapsed and acts on
// outdated state when it resumes.
func TestPausedOwnerResumes(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{replicated, onPrimary} {
		runEachSeed(t, d, func(s *sim) {
			s.scheduleFault(fault{kind: "crash database", at: 5 * time.Second, duration: 5 * time.Second})
			s.scheduleFault(fault{kind: "pause", at: 5 * time.Second, duration: 6 * time.Second})
		}, nil)
	}
}

// Guards against a store outage that stops writes on a healthy primary, even long
// after the owner's lease has lapsed.
func TestLongStoreOutage(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{replicated, onPrimary} {
		runEachSeed(t, d, func(s *sim) {
			s.scheduleFault(fault{kind: "store down", at: 5 * time.Second, duration: 15 * time.Second})
		}, func(t *testing.T, s *sim) {
			assert.Equal(t, s.steps[CountClaimed], 0, "a store outage must not change the primary")
			for at := 5 * time.Second; at < 28*time.Second; at += time.Second {
				n, _ := s.acksBetween(at, at+time.Second)
				assert.Assert(t, n > 10, "%d writes acknowledged in the second after %v", n, at)
			}
		})
	}
}

// Guards against a primary that restarts during a store outage and is not used until
// the store is available again, because its owner waits for the outcome of a
// promotion.
func TestPrimaryRestartsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{replicated, onPrimary} {
		runEachSeed(t, d, func(s *sim) {
			s.scheduleFault(fault{kind: "store down", at: 5 * time.Second, duration: 15 * time.Second})
			s.scheduleFault(fault{kind: "crash database", at: 8 * time.Second, duration: 3 * time.Second})
		}, func(t *testing.T, s *sim) {
			n, _ := s.acksBetween(12*time.Second, 20*time.Second)
			assert.Assert(t, n > 100, "writes acknowledged after the restart: %d", n)
		})
	}
}

// Guards against a promotion that is not started again when the promoting host
// crashes after one of the steps, alone or together with the chosen database.
func TestCrashAfterEachPromotionStep(t *testing.T) {
	t.Parallel()
	for _, step := range []string{CountClaimed, CountFenced, CountAssigned, CountHandedOn, CountPromoted, CountOpened} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			for _, crashDatabase := range []bool{false, true} {
				runEachSeed(t, replicated, func(s *sim) {
					s.scheduleFault(fault{kind: "crash zone", at: 5 * time.Second, duration: 12 * time.Second})
					done := false
					s.onCount = func(h *simHost, name string) {
						if name != step || done || s.now < 5*time.Second {
							return
						}
						done = true
						s.crash(h, 8*time.Second)
						if crashDatabase {
							s.startFault(fault{kind: "crash database", a: h.zone, duration: 4 * time.Second})
						}
					}
				}, nil)
			}
		})
	}
}

// Guards against two primaries when the home hosts of both replicas promote at the
// same time and answers of the store are lost.
func TestConcurrentPromotions(t *testing.T) {
	t.Parallel()
	contested := 0
	runEachSeed(t, replicated, func(s *sim) {
		for _, h := range s.hosts {
			h.m.opt.Timing.RankStep = 0
		}
		s.scheduleFault(fault{kind: "crash zone", at: 5 * time.Second, duration: 20 * time.Second})
		s.scheduleFault(fault{kind: "lost store answers", at: 8 * time.Second, duration: 6 * time.Second})
	}, func(_ *testing.T, s *sim) {
		if s.steps[CountFailed] > 0 {
			contested++
		}
	})
	assert.Assert(t, contested > 0, "no run had a contested promotion")
}

// Guards against a long pause in writes when the home role of the primary moves to
// another host in a planned stop and the new host is late to read that it owns the
// group.
func TestHomeRoleMoves(t *testing.T) {
	t.Parallel()
	longestPause := time.Duration(0)
	runEachSeed(t, replicated, func(s *sim) {
		s.schedule(5*time.Second, func() { s.homes[0] = 3 })
	}, func(t *testing.T, s *sim) {
		last := 4 * time.Second
		for _, a := range s.oracle.ackedWrites {
			if a.at > last {
				longestPause, last = max(longestPause, a.at-last), a.at
			}
		}
		assert.Equal(t, s.steps[CountClaimed], 0)
		assert.Assert(t, s.steps[CountHandedOver] > 0)
	})
	// Two hosts can read the role change up to 300 ms apart.
	assert.Assert(t, longestPause < 450*time.Millisecond, "longest pause %v", longestPause)
	t.Logf("longest pause %v", longestPause)
}

// Guards against a planned promotion that fails writes, stops them for too long, or
// leaves the primary in a zone that is out of service.
func TestZoneTakenOutOfService(t *testing.T) {
	t.Parallel()
	runEachSeed(t, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "zone out of service", at: 5 * time.Second, duration: 20 * time.Second})
		s.schedule(8*time.Second, func() { // requirement I8 allows 3 s after the change
			row, err := DecodeRow(s.groupRow.Value)
			assert.NilError(t, err)
			assert.Assert(t, row.Primary != dbName(0), "the primary is still in the zone that is out of service")
		})
	}, func(t *testing.T, s *sim) {
		assert.Equal(t, s.steps[CountPlanned], 1)
		gap := s.ackGapAfter(5500 * time.Millisecond)
		assert.Assert(t, gap < 2*time.Second, "gap %v", gap)
	})
}

// guardScenario is a run in which a guard is needed to prevent a violation.
type guardScenario struct {
	databases  int
	durability config.Durability
	prepare    func(s *sim)
}

// expectViolation runs the scenario with the guard enabled, where the oracle must
// not find a violation, and with the guard disabled, where it must find one in at
// least one seed.
func expectViolation(t *testing.T, without disabledGuards, omitTermInPositions bool, scenario guardScenario) {
	t.Helper()
	found := 0
	for _, seed := range seeds {
		for _, disable := range []bool{false, true} {
			guards := disabledGuards{}
			if disable {
				guards = without
			}
			s := newSim(seed, scenario.databases, scenario.durability, guards)
			s.omitTermInPositions = disable && omitTermInPositions
			s.startClients(6, endAt)
			scenario.prepare(s)
			s.runUntil(endAt)
			if !disable {
				assert.Assert(t, s.oracle.violation == "", "violation with the guard enabled: %s", s.oracle.violation)
			} else if s.oracle.violation != "" {
				found++
				t.Logf("violation in seed %d with the guard disabled: %s", seed, s.oracle.violation)
			}
		}
	}
	assert.Assert(t, found > 0, "the oracle found no violation with the guard disabled")
}

func isolateZone(s *sim) {
	s.scheduleFault(fault{kind: "isolate from zones and store", at: 5 * time.Second, duration: 15 * time.Second})
}

// Shows that the lease check prevents acknowledgements by an old primary.
func TestWithoutLeaseCheck(t *testing.T) {
	t.Parallel()
	expectViolation(t, disabledGuards{skipLease: true}, false, guardScenario{3, onPrimary, isolateZone})
}

// Shows that acknowledged writes are lost without confirmation by a majority.
func TestWithoutConfirmation(t *testing.T) {
	t.Parallel()
	expectViolation(t, disabledGuards{skipConfirmation: true}, false, guardScenario{3, replicated, isolateZone})
}

// Shows that a promotion must wait until the owner's lease has lapsed.
func TestWithoutWaitForLeaseExpiry(t *testing.T) {
	t.Parallel()
	expectViolation(t, disabledGuards{skipLapse: true}, false, guardScenario{3, onPrimary, isolateZone})
}

// Shows that an owner whose lease was renewed after it had lapsed must write the row
// before the lease gives write authority again, because another host may have
// promoted another database.
func TestWithoutLeaseReclaim(t *testing.T) {
	t.Parallel()
	expectViolation(t, disabledGuards{skipReclaim: true}, false, guardScenario{3, onPrimary, func(s *sim) {
		s.scheduleFault(fault{kind: "isolate", at: 5 * time.Second, duration: 20 * time.Second})
		s.scheduleFault(fault{kind: "crash host", a: 3, at: 5 * time.Second, duration: 20 * time.Second})
		s.scheduleFault(fault{kind: "pause", at: 5 * time.Second, duration: 7 * time.Second})
	}})
}

// Shows that acknowledged writes are lost if fewer than a majority are fenced.
func TestWithoutFencedMajority(t *testing.T) {
	t.Parallel()
	expectViolation(t, disabledGuards{skipFence: true}, false, guardScenario{3, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "isolate", a: 2, at: 3 * time.Second, duration: 20 * time.Second})
		s.scheduleFault(fault{kind: "crash zone", a: 0, at: 5 * time.Second, duration: 20 * time.Second})
		s.scheduleFault(fault{kind: "crash zone", a: 1, at: 5 * time.Second, duration: 20 * time.Second})
	}})
}

// Shows that write authority must end when a write that transfers ownership is sent,
// and not when its answer arrives.
func TestWithoutClaimEndOnHandover(t *testing.T) {
	t.Parallel()
	expectViolation(t, disabledGuards{keepClaim: true}, false, guardScenario{3, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "isolate", at: 5 * time.Second, duration: 20 * time.Second})
		s.onCount = func(h *simHost, name string) {
			if name == CountResigned {
				s.loseNextAnswerOf = h
				s.schedule(8*time.Millisecond, func() { s.storeCuts[h.zone]++ })
				s.schedule(15*time.Second, func() { s.storeCuts[h.zone]-- })
			}
		}
	}})
}

// Shows that samples of a primary without write authority make the data of a
// replica on the same side of a partition look fresher than it is.
func TestWithoutSampleCheck(t *testing.T) {
	t.Parallel()
	expectViolation(t, disabledGuards{skipSampleCheck: true}, false, guardScenario{5, replicated, func(s *sim) {
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3, 4} {
				s.scheduleFault(fault{kind: "cut link", a: a, b: b, at: 5 * time.Second, duration: 15 * time.Second})
			}
			s.schedule(5*time.Second, func() { s.storeCuts[a]++ })
			s.schedule(20*time.Second, func() { s.storeCuts[a]-- })
		}
	}})
}

// Shows why the database contract must make positions grow with the term: the
// discarded tail of an old primary can be longer than the successor's log.
func TestWithoutTermInPositions(t *testing.T) {
	t.Parallel()
	expectViolation(t, disabledGuards{}, true, guardScenario{3, replicated, func(s *sim) {
		s.scheduleFault(fault{kind: "isolate from zones and store", a: 0, at: 5 * time.Second, duration: 6 * time.Second})
		s.schedule(9*time.Second, func() { // log entries that only the old primary holds
			for i := range 400 {
				if db := s.dbs[0]; db.term == 1 {
					db.log = append(db.log, simEntry{term: 1, write: 0, key: i})
				}
			}
		})
		s.scheduleFault(fault{kind: "crash zone", a: 1, at: 11*time.Second - 20*time.Millisecond, duration: 10 * time.Second})
	}})
}
