package home

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// injectFault injects one random fault into the backend server, its connections
// or the authority.
func injectFault(f *fixture, rng *rand.Rand, epoch *uint64, server config.Server) {
	withSession := func(do func(*session)) {
		f.srv.withLock(func() {
			for s := range f.srv.sessions { // an arbitrary session, in map order
				do(s)
				return
			}
		})
	}
	temporarily := func(on, off func()) {
		f.srv.withLock(on)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		f.srv.withLock(off)
	}
	switch rng.IntN(7) {
	case 0, 1:
		withSession(func(s *session) { _ = s.nc.Close() })
	case 2:
		withSession(func(s *session) { f.srv.silentSessions[s] = true })
	case 3:
		temporarily(func() { f.srv.role = dbconn.Replica }, func() { f.srv.role = dbconn.Primary })
	case 4:
		temporarily(func() { f.srv.refuseConnections = true }, func() { f.srv.refuseConnections = false })
	case 5:
		*epoch++
		f.srv.evictOlder(*epoch)
		f.home.ServeBackend("g", server, *epoch)
	default:
		f.auth.mu.Lock()
		f.auth.writeErr = fmt.Errorf("fault")
		f.auth.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		f.auth.mu.Lock()
		f.auth.writeErr = nil
		f.auth.mu.Unlock()
	}
}

// runWrite sends one write, alone or in a transaction, and returns its outcome.
func runWrite(f *fixture, rng *rand.Rand, customer, sql string) (r result) {
	c := f.start(&peerpb.Start{Customer: customer, Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 300_000})
	defer c.cancel()
	steps := []string{sql}
	if rng.IntN(2) == 0 {
		steps = []string{"BEGIN", sql, "COMMIT"}
	}
	for _, q := range steps {
		c.query(q)
		if rng.IntN(30) == 0 {
			c.cancel()
		}
		if r = c.result(); r.ready == nil {
			return r
		}
	}
	return r
}

// Guards against wrong verdicts under faults. A write with the verdict NotRun
// must not be applied, an acknowledged write must be applied exactly once, and
// no write may be applied twice. The connection limit must hold, and writes must
// succeed again after the faults.
func TestVerdictsUnderFaults(t *testing.T) {
	f := newFixture(t, nil)
	server := testServer
	server.Address = f.srv.ln.Addr().String()
	stop := make(chan struct{})
	var faults, workers sync.WaitGroup
	faults.Go(func() {
		rng, epoch := rand.New(rand.NewPCG(1, 0)), uint64(1)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(15)) * time.Millisecond):
				injectFault(f, rng, &epoch, server)
			}
		}
	})
	var mu sync.Mutex
	counts := map[string]int{}
	end := time.Now().Add(2 * time.Second)
	for w := range 8 {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(2, uint64(w)))
			for i := 0; time.Now().Before(end); i++ {
				sql := fmt.Sprintf("INSERT %d-%d", w, i)
				r := runWrite(f, rng, fmt.Sprint("c", w%3), sql)
				applied := 0
				f.srv.withLock(func() { applied = f.srv.applied[sql] })
				outcome := "may have run"
				switch {
				case r.ready != nil && r.ready.Token != nil:
					outcome = "acknowledged"
					assert.Check(t, applied == 1, "%s applied %d times", sql, applied)
				case r.failure != nil && r.failure.Verdict == failureNotRun:
					outcome = "not run"
					assert.Check(t, applied == 0, "%s: %+v", sql, r.failure)
				}
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	close(stop)
	faults.Wait()
	t.Logf("%v", counts)
	f.srv.withLock(func() {
		for sql, n := range f.srv.applied {
			assert.Check(t, n == 1, "%s applied %d times", sql, n)
		}
		assert.Check(t, f.srv.maxSessions <= testServer.Connections, "%d connections were open", f.srv.maxSessions)
	})
	assert.Assert(t, counts["acknowledged"] > 0 && counts["not run"] > 0 && counts["may have run"] > 0)
	assert.Assert(t, eventually(func() bool { return f.writer().query("INSERT last").result().ready != nil }))
}
