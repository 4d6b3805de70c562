package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
	"github.com/cranberryhinge/cranberryhinge/internal/report"
)

// Bounds that follow from the targets of the product.
const (
	failoverTarget   = 5 * time.Second
	withdrawalTarget = 3 * time.Second
	minServedShare   = 0.99
	// keyGraceLimit is the default of key_grace in rules.yaml, 5 s, plus 1 s for the
	// check itself.
	keyGraceLimit = 6 * time.Second
)

// status returns the status that a host reports.
func (d *deployment) status(t *testing.T, host int) report.Status {
	t.Helper()
	out, code := runProgram(t, "status", "--json", "--host", d.peers[host])
	assert.Equal(t, code, 0, out)
	var s report.Status
	assert.NilError(t, json.Unmarshal([]byte(out), &s))
	return s
}

// ownerIndex returns the index of the host that is home of the primary, and so
// owner of the group.
func (d *deployment) ownerIndex(t *testing.T) int {
	t.Helper()
	for range 50 {
		s := d.status(t, 0)
		if len(s.Groups) == 1 && s.Groups[0].Primary != "" {
			for _, server := range s.Groups[0].Servers {
				var n int
				if _, err := fmt.Sscanf(server.Home, "host-%d", &n); err == nil && server.Name == s.Groups[0].Primary {
					return n
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("host 0 reported no home host of the primary in 50 polls")
	return 0
}

// requestCounts counts the pairs of a write and a read of a load.
type requestCounts struct{ ok, failed atomic.Int64 }

// servedShare returns the fraction of pairs that succeeded.
func (c *requestCounts) servedShare() float64 {
	return float64(c.ok.Load()) / float64(max(1, c.ok.Load()+c.failed.Load()))
}

// generateLoad writes and reads through a host until ctx ends, and counts the
// results.
func (d *deployment) generateLoad(ctx context.Context, t *testing.T, host int, c *requestCounts) {
	t.Helper()
	// Requests do not use ctx: a dial that runs into the deadline of ctx can fail
	// just before ctx.Err reports it, and would count as a failed request.
	requestCtx := context.WithoutCancel(ctx)
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("load-%d", host)
		err := d.putOnce(requestCtx, t, host, key, fmt.Sprint(i))
		if err == nil {
			_, err = d.getOnce(requestCtx, t, host, key)
		}
		if err == nil {
			c.ok.Add(1)
		} else {
			c.failed.Add(1)
			t.Logf("host %d: %v", host, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against an outage of the platform's store that interrupts writes, reads
// or key checks while all hosts still exchange heartbeats, and against a burst of
// errors when the store returns.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctx := testContext(t, 60*time.Second)
	assert.NilError(t, d.put(ctx, t, 0, "warm", "1"))
	d.platform.signal(t, syscall.SIGSTOP)
	defer d.platform.signal(t, syscall.SIGCONT)
	var c requestCounts
	loadCtx, stop := context.WithTimeout(ctx, 12*time.Second)
	defer stop()
	done := make(chan struct{})
	for host := range 3 {
		go func() {
			d.generateLoad(loadCtx, t, host, &c)
			done <- struct{}{}
		}()
	}
	time.Sleep(10 * time.Second)
	d.platform.signal(t, syscall.SIGCONT)
	for range 3 {
		<-done
	}
	t.Logf("%d served, %d failed", c.ok.Load(), c.failed.Load())
	assert.Assert(t, c.ok.Load() > 100)
	assert.Assert(t, c.servedShare() >= minServedShare, "share %f", c.servedShare())
}

// Guards against an owner that acknowledges writes in an old term when its
// process resumes after a freeze, and against the loss of writes that another
// host acknowledged meanwhile.
func TestFrozenOwner(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctx := testContext(t, 60*time.Second)
	assert.NilError(t, d.put(ctx, t, 0, "lot", "1"))
	owner := d.ownerIndex(t)
	other := (owner + 1) % 3
	session, err := d.connect(ctx, t, owner, "main")
	assert.NilError(t, err)
	defer session.Close(ctx)

	d.hosts[owner].signal(t, syscall.SIGSTOP)
	lateResult := make(chan error, 1)
	go func() {
		_, err := session.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('late', 'x')")
		lateResult <- err
	}()
	begin := time.Now()
	assert.NilError(t, d.put(ctx, t, other, "lot", "2"))
	gap := time.Since(begin)
	t.Logf("first write %.2f s after the owner froze", gap.Seconds())
	assert.Assert(t, gap <= failoverTarget+withdrawalTarget, "gap %s", gap)

	d.hosts[owner].signal(t, syscall.SIGCONT)
	err = <-lateResult
	value, getErr := d.get(ctx, t, other, "lot")
	assert.NilError(t, getErr)
	assert.Equal(t, value, "2")
	lateValue, getErr := d.getOnce(ctx, t, other, "late")
	switch {
	case err == nil:
		assert.NilError(t, getErr, "an acknowledged write is missing")
	case sqlState(err) != "08007" && sqlState(err) != "":
		assert.Assert(t, lateValue == "", "a write that was refused as not run is there: %v", err)
	}
}

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// Guards against a lasting outage when open connections to the databases stop
// carrying traffic while new connections work. Service must return without a
// change of primary.
func TestSilentBackendConnections(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctx := testContext(t, 60*time.Second)
	assert.NilError(t, d.put(ctx, t, 0, "lot", "1"))
	for _, r := range d.relays {
		r.SilenceOpenConnections()
	}
	begin := time.Now()
	assert.NilError(t, d.put(ctx, t, 1, "lot", "2"))
	t.Logf("first write %.2f s after the connections went silent", time.Since(begin).Seconds())
	assert.Assert(t, time.Since(begin) <= 10*time.Second)
	value, err := d.get(ctx, t, 2, "lot")
	assert.NilError(t, err)
	assert.Equal(t, value, "2")
}

// Guards against an unreachable database that remains primary because its process
// still runs, and against the loss of writes that it acknowledged.
func TestUnreachablePrimary(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctx := testContext(t, 60*time.Second)
	assert.NilError(t, d.put(ctx, t, 0, "lot", "1"))
	d.relays[0].SetMode(faultnet.Cut)
	begin := time.Now()
	assert.NilError(t, d.put(ctx, t, 1, "lot", "2"))
	t.Logf("first write %.2f s after the primary was cut off", time.Since(begin).Seconds())
	assert.Assert(t, time.Since(begin) <= failoverTarget, "gap %s", time.Since(begin))
	d.relays[0].SetMode(faultnet.Pass)
	assert.NilError(t, d.put(ctx, t, 2, "lot", "3"))
	value, err := d.get(ctx, t, 0, "lot")
	assert.NilError(t, err)
	assert.Equal(t, value, "3")
}

// Guards against a withdrawn key that still works: on an open connection, on a
// new one, and at a host that reaches neither the other hosts nor the platform
// and may have missed the withdrawal.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctx := testContext(t, 60*time.Second)
	assert.NilError(t, d.put(ctx, t, 0, "lot", "1"))
	isolated, err := d.connect(ctx, t, 0, "main-read")
	assert.NilError(t, err)
	defer isolated.Close(ctx)
	for _, p := range append(d.hosts[1:], d.platform) {
		p.signal(t, syscall.SIGSTOP)
	}
	begin := time.Now()
	for !isolated.IsClosed() && time.Since(begin) < 2*keyGraceLimit {
		_, err = isolated.Exec(ctx, "SELECT 1")
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("the isolated host closed the session after %.2f s: %v", time.Since(begin).Seconds(), err)
	assert.Assert(t, time.Since(begin) <= keyGraceLimit)
	for _, p := range append(d.hosts[1:], d.platform) {
		p.signal(t, syscall.SIGCONT)
	}

	_, err = d.get(ctx, t, 2, "lot")
	assert.NilError(t, err)
	open, err := d.connect(ctx, t, 1, "main")
	assert.NilError(t, err)
	defer open.Close(ctx)
	out, code := runProgram(t, "key", "withdraw", "--customer", "acme", "--id", "k1", d.dir)
	assert.Equal(t, code, 0, out)
	d.apply(t)
	begin = time.Now()
	for err == nil && ctx.Err() == nil {
		_, err = open.Exec(ctx, "SELECT 1")
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("the open session ended %.2f s after the withdrawal: %v", time.Since(begin).Seconds(), err)
	assert.Assert(t, time.Since(begin) <= withdrawalTarget)
	for host := range d.hosts {
		for {
			_, err = d.connect(ctx, t, host, "main")
			if err != nil {
				break
			}
			assert.Assert(t, time.Since(begin) <= withdrawalTarget, "host %d accepts the key", host)
		}
	}
}

// Guards against a planned stop of the owner that makes requests through other
// hosts fail.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctx := testContext(t, 60*time.Second)
	assert.NilError(t, d.put(ctx, t, 0, "lot", "1"))
	owner := d.ownerIndex(t)
	var c requestCounts
	loadCtx, stop := context.WithTimeout(ctx, 6*time.Second)
	defer stop()
	done := make(chan struct{})
	others := []int{(owner + 1) % 4, (owner + 2) % 4}
	for _, host := range others {
		go func() {
			d.generateLoad(loadCtx, t, host, &c)
			done <- struct{}{}
		}()
	}
	time.Sleep(time.Second)
	d.hosts[owner].signal(t, syscall.SIGTERM)
	assert.NilError(t, d.hosts[owner].cmd.Wait())
	for range others {
		<-done
	}
	t.Logf("%d served, %d failed", c.ok.Load(), c.failed.Load())
	assert.Assert(t, c.ok.Load() > 50)
	assert.Equal(t, c.failed.Load(), int64(0))
}
