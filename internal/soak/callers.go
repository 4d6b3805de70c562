package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/platform/standin"
)

const (
	// reconnectDelay is the pause after a failed connection attempt.
	reconnectDelay = 60 * time.Millisecond
	// meanSessionOperations is the mean number of operations of a session.
	meanSessionOperations = 30
	// One in oldKeyOneIn sessions uses a key that may have been withdrawn.
	oldKeyOneIn = 4
	// One in idleOneIn transactions stays idle for longer than standin.IdleLimit.
	idleOneIn = 60
)

// runCaller simulates one caller until ctx ends. It opens one session after another,
// each on a randomly drawn host and route and for a randomly drawn customer.
func (r *run) runCaller(ctx context.Context, i int) {
	rnd, text := rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)+1)), newTexts(r.Plan.Seed, i)
	for ctx.Err() == nil {
		p := r.processes[rnd.IntN(len(r.processes))]
		routes, customers := r.env.Routes(), r.env.Customers()
		maybeWithdrawn := rnd.IntN(oldKeyOneIn) == 0
		if maybeWithdrawn {
			customers = r.env.CustomersWithWithdrawnKeys()
		}
		name := fmt.Sprintf("s%d-%d", i, r.sessions.Add(1))
		c, err := standin.Connect(r.env, p.settings.Listen.Client, name, routes[rnd.IntN(len(routes))], customers[rnd.IntN(len(customers))])
		if err != nil && maybeWithdrawn {
			clock.Sleep(ctx, reconnectDelay)
			continue
		}
		if err != nil {
			r.countOperation(false)
			clock.Sleep(ctx, reconnectDelay)
			continue
		}
		r.runSession(ctx, rnd, text, p, c, name)
		c.Close()
	}
}

// runSession runs a random number of operations on an open session. It returns when
// they are done, the session is no longer usable or ctx ends.
func (r *run) runSession(ctx context.Context, rnd *rand.Rand, text texts, p *process, c *standin.Caller, name string) {
	if rnd.IntN(2) == 0 && !r.checkOutcome(p, time.Now(), c.Set(text.extend(name))) {
		return
	}
	if rnd.IntN(2) == 0 {
		// Sessions use the same statement names for different statements.
		if !r.checkOutcome(p, time.Now(), c.Prepare("s1", text.shape("READ", text.extend(fmt.Sprintf("q%d", rnd.IntN(3)))))) ||
			!r.checkOutcome(p, time.Now(), c.Prepare("s2", text.shape("WRITE", text.extend("w")))) {
			return
		}
	}
	for range 1 + rnd.IntN(2*meanSessionOperations) {
		clock.Sleep(ctx, time.Duration(rnd.Int64N(int64(2*cmp.Or(r.Plan.ThinkTime, thinkTime)))))
		if ctx.Err() != nil || c.Closed() {
			return
		}
		ok, sessionUsable := r.runOperation(rnd, text, p, c)
		r.countOperation(ok)
		if !sessionUsable || !r.prepareAgain(text, p, c) {
			return
		}
	}
}

// prepareAgain prepares the session's names again from time to time, with other shapes and
// partly after a DEALLOC. It reports whether the session is still usable.
func (r *run) prepareAgain(text texts, p *process, c *standin.Caller) bool {
	if !c.Prepared("s1") || !c.Prepared("s2") || !text.preparesAgain() {
		return true
	}
	usable := func(o standin.Outcome) bool { return r.checkOutcome(p, time.Now(), o) && o.OK }
	if text.deallocates() && !usable(c.Deallocate("s1")) {
		return false
	}
	return usable(c.Prepare("s1", text.shape("READ", "q"))) && usable(c.Prepare("s2", text.shape("WRITE", "w")))
}

func (r *run) countOperation(ok bool) {
	r.attempted.Add(1)
	inFinalWindow := time.Since(r.startTime) > r.Plan.Duration-finalWindow
	if inFinalWindow {
		r.finalAttempted.Add(1)
	}
	if ok {
		r.served.Add(1)
		if inFinalWindow {
			r.finalServed.Add(1)
		}
	}
}

// runOperation runs a single statement or a transaction. ok reports whether it
// succeeded, sessionUsable whether the session can run further operations.
func (r *run) runOperation(rnd *rand.Rand, text texts, p *process, c *standin.Caller) (ok, sessionUsable bool) {
	item := fmt.Sprintf("i%d", rnd.IntN(50))
	sent := time.Now()
	if rnd.IntN(4) > 0 {
		o := r.runStatement(rnd, text, c, item)
		return o.OK, r.checkOutcome(p, sent, o)
	}
	read := rnd.IntN(3) == 0
	if o := c.Begin(read); !o.OK {
		return false, r.checkOutcome(p, sent, o)
	}
	for range 1 + rnd.IntN(4) {
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
		if !r.prepareAgain(text, p, c) {
			return false, false
		}
		sent = time.Now()
		var o standin.Outcome
		if read || rnd.IntN(2) == 0 {
			if c.Prepared("s1") && text.executesInTransaction() {
				o = c.Execute("s1", item)
			} else {
				o = c.Read(item)
			}
		} else {
			o = c.Write(item, text.extend("data"))
		}
		if !o.OK {
			return false, r.checkOutcome(p, sent, o) && r.checkOutcome(p, time.Now(), c.Rollback())
		}
	}
	if rnd.IntN(idleOneIn) == 0 {
		time.Sleep(standin.IdleLimit + time.Second)
		return true, r.checkOutcome(p, time.Now(), c.Rollback())
	}
	sent = time.Now()
	if rnd.IntN(8) == 0 {
		return true, r.checkOutcome(p, sent, c.Rollback())
	}
	o := c.Commit()
	return o.OK, r.checkOutcome(p, sent, o)
}

func (r *run) runStatement(rnd *rand.Rand, text texts, c *standin.Caller, item string) standin.Outcome {
	switch rnd.IntN(6) {
	case 0:
		return c.Write(item, text.extend("data"))
	case 1:
		if c.Prepared("s2") {
			return c.Execute("s2", item+" "+text.extend("data"))
		}
	case 2:
		if c.Prepared("s1") {
			return c.Execute("s1", text.extend(item))
		}
	}
	return c.Read(item)
}

// cutTolerance is the time after sending within which a request that no database ran
// may be cut during a planned stop: it can cross the close of its idle session. With
// seed 204, such requests are cut 15 to 63 µs after they are sent.
const cutTolerance = 200 * time.Millisecond

// checkOutcome reports whether the session is still usable after an outcome that the caller
// has just received. It records a breach if a planned stop cut the request, except near an
// unplanned fault or when the stop ended long before.
func (r *run) checkOutcome(p *process, sent time.Time, o standin.Outcome) bool {
	received := time.Now() // before any lock is taken
	if !o.Cut {
		return o.State != "" && o.Code != "DENIED"
	}
	stopTime := p.lastStopTime()
	inStopPeriod := sent.After(stopTime) && received.Sub(stopTime) < stopGrace+time.Second
	ran, elapsed := r.env.Oracle.HasRun(o.ID), received.Sub(sent)
	if inStopPeriod && r.noRecentFault(sent) && (ran || elapsed > cutTolerance) {
		r.env.Oracle.RecordBreach("LOST: %s, sent %v after the stop of %s, was cut %v later, ran %t",
			o.ID, sent.Sub(stopTime), p.settings.Name, elapsed, ran)
	}
	return false
}
