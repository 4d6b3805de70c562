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
	// retryTime is the pause before a new session after a failure.
	retryTime = 60 * time.Millisecond
	// sessionLength is the mean number of operations of a session.
	sessionLength = 30
	// oldKeyShare is one in how many sessions come with a key that may have been
	// withdrawn.
	oldKeyShare = 4
	// restShare is one in how many transactions rest beyond the idle limit.
	restShare = 60
)

// call plays one caller until ctx ends: one session after the other, each at some
// host, on some route, for some customer.
func (r *run) call(ctx context.Context, i int) {
	rnd := rand.New(rand.NewPCG(r.Plan.Seed, uint64(i)+1))
	for ctx.Err() == nil {
		p := r.processes[rnd.IntN(len(r.processes))]
		routes, customers := r.world.Routes(), r.world.Customers()
		old := rnd.IntN(oldKeyShare) == 0
		if old {
			customers = r.world.FormerCustomers()
		}
		name := fmt.Sprintf("s%d-%d", i, r.sessions.Add(1))
		c, err := standin.Connect(r.world, p.settings.Listen.Client, name, routes[rnd.IntN(len(routes))], customers[rnd.IntN(len(customers))])
		if err != nil && old {
			clock.Sleep(ctx, retryTime)
			continue
		}
		if err != nil {
			r.count(false)
			clock.Sleep(ctx, retryTime)
			continue
		}
		r.session(ctx, rnd, p, c, name)
		c.Close()
	}
}

// session plays one session to its end.
func (r *run) session(ctx context.Context, rnd *rand.Rand, p *process, c *standin.Caller, name string) {
	if rnd.IntN(2) == 0 && !r.judge(p, time.Now(), c.Set(name)) {
		return
	}
	if rnd.IntN(2) == 0 {
		// Names collide between sessions; shapes differ.
		if !r.judge(p, time.Now(), c.Prepare("s1", fmt.Sprintf("READ q%d", rnd.IntN(3)))) || !r.judge(p, time.Now(), c.Prepare("s2", "WRITE w")) {
			return
		}
	}
	for range 1 + rnd.IntN(2*sessionLength) {
		clock.Sleep(ctx, time.Duration(rnd.Int64N(int64(2*cmp.Or(r.Plan.Think, thinkTime)))))
		if ctx.Err() != nil || c.Closed() {
			return
		}
		ok, goesOn := r.operation(rnd, p, c)
		r.count(ok)
		if !goesOn {
			return
		}
	}
}

func (r *run) count(ok bool) {
	r.asked.Add(1)
	last := time.Since(r.started) > r.Plan.Duration-judged
	if last {
		r.lastAsked.Add(1)
	}
	if ok {
		r.served.Add(1)
		if last {
			r.lastServed.Add(1)
		}
	}
}

// operation plays a statement or a transaction. goesOn says whether the session
// can be used further.
func (r *run) operation(rnd *rand.Rand, p *process, c *standin.Caller) (ok, goesOn bool) {
	item := fmt.Sprintf("i%d", rnd.IntN(50))
	sent := time.Now()
	if rnd.IntN(4) > 0 {
		o := r.single(rnd, c, item)
		return o.OK, r.judge(p, sent, o)
	}
	read := rnd.IntN(3) == 0
	if o := c.Begin(read); !o.OK {
		return false, r.judge(p, sent, o)
	}
	for range 1 + rnd.IntN(4) {
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
		sent = time.Now()
		var o standin.Outcome
		if read || rnd.IntN(2) == 0 {
			o = c.Read(item)
		} else {
			o = c.Write(item, "data")
		}
		if !o.OK {
			return false, r.judge(p, sent, o) && r.judge(p, time.Now(), c.Rollback())
		}
	}
	if rnd.IntN(restShare) == 0 {
		time.Sleep(standin.IdleLimit + time.Second)
		return true, r.judge(p, time.Now(), c.Rollback())
	}
	sent = time.Now()
	if rnd.IntN(8) == 0 {
		return true, r.judge(p, sent, c.Rollback())
	}
	o := c.Commit()
	return o.OK, r.judge(p, sent, o)
}

func (r *run) single(rnd *rand.Rand, c *standin.Caller, item string) standin.Outcome {
	switch rnd.IntN(6) {
	case 0:
		return c.Write(item, "data")
	case 1:
		if c.Prepared("s2") {
			return c.Execute("s2", item+" data")
		}
	case 2:
		if c.Prepared("s1") {
			return c.Execute("s1", item)
		}
	}
	return c.Read(item)
}

// lossSlack is the time within which a request may be cut that was sent while its
// idle session was being closed, and that nobody ran. Seed 204 shows such
// requests, cut 15 to 63 µs after they were sent.
const lossSlack = 200 * time.Millisecond

// judge checks an outcome against planned work, and reports whether the session
// goes on. A request that a planned stop cuts is a breach, unless a fault was
// there or the stop is long over.
func (r *run) judge(p *process, sent time.Time, o standin.Outcome) bool {
	if !o.Cut {
		return o.State != "" && o.Code != "DENIED"
	}
	stopped := p.stoppedAt()
	within := sent.After(stopped) && time.Since(stopped) < stopGrace+time.Second
	ran, took := r.world.Oracle.Ran(o.ID), time.Since(sent)
	if within && r.soundSince(sent) && (ran || took > lossSlack) {
		r.world.Oracle.Breach("LOST: %s, sent %v after the stop of %s, was cut %v later, ran %t",
			o.ID, sent.Sub(stopped), p.settings.Name, took, ran)
	}
	return false
}
