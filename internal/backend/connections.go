package backend

import (
	"slices"
	"time"
)

const (
	// connUseWindow is the time constant over which the uses of a connection are counted.
	connUseWindow = 10 * time.Second
	// transactionShare is the share of the connection budget that open transactions may
	// hold, so that clients that rest inside transactions leave connections for single
	// statements.
	transactionShare = 0.75
	// overdueOpening is the time from which on a connection that is being opened is not
	// expected to open.
	overdueOpening = 100 * time.Millisecond
)

// leastValuable reports whether the idle connection a is closed rather than b. With
// EarliestTarget that is the one used least often: a connection that was opened for one
// request then makes room before those in regular use, so that customers with equal use
// do not displace each other in turn. Otherwise it is the least recently used one.
func (d *Dispatcher) leastValuable(now time.Duration, a, b *dispatchConn) bool {
	if d.settings.Scheduling == EarliestTarget {
		if ua, ub := a.use.value(now, connUseWindow), b.use.value(now, connUseWindow); ua != ub {
			return ua < ub
		}
	}
	return a.lastUsed < b.lastUsed || a.lastUsed == b.lastUsed && a.id < b.id
}

// connsFreeSoon returns, by customer, the number of connections whose single statement is
// expected to end before a new connection could be open. A statement that is overdue by
// more than that time does not count.
func (d *Dispatcher) connsFreeSoon(now time.Duration) map[string]int {
	soon := map[string]int{}
	if d.settings.Scheduling != EarliestTarget || len(d.queue) == 0 {
		return soon
	}
	for _, r := range d.requests {
		if r.state != stateRunning || r.Transaction {
			continue
		}
		if left := r.since + d.expectedService(r) - now; left <= d.contention.openTime && left >= -d.contention.openTime {
			soon[r.Customer]++
		}
	}
	return soon
}

// avoidOpening leaves a request waiting for a connection of its customer, until the
// statement on it is overdue at the latest.
func (d *Dispatcher) avoidOpening(now time.Duration) {
	c := &d.contention
	c.counts.OpeningsAvoided++
	if now >= c.recheckAt {
		delay := 2*c.openTime + time.Millisecond
		c.recheckAt = now + delay
		d.actions = append(d.actions, Action{Kind: ActionRecheck, Delay: delay})
	}
}

// connsForWaiters returns, by customer, the number of connections that are being opened or
// unused and that waiting requests can expect to get, which takes free slots.
func (d *Dispatcher) connsForWaiters(now time.Duration) map[string]int {
	conns, opening := map[string]int{}, 0
	for _, c := range d.conns {
		if c.opening {
			opening++
		}
		if c.opening && now-c.lastUsed < overdueOpening || !c.opening && !c.busy && c.use.sum == 0 {
			conns[c.customer]++
		}
	}
	// The slot of an opening is free for the request that it is for, unless others wait.
	if d.slotsInUse >= d.slots() && d.slotsInUse-opening+len(d.queue) > d.slots() {
		clear(conns)
	}
	return conns
}

// awaitsUse reports whether a connection was opened for a customer whose request still
// waits for a slot.
func (d *Dispatcher) awaitsUse(c *dispatchConn) bool {
	return d.settings.Scheduling == EarliestTarget && c.use.sum == 0 && slices.ContainsFunc(d.queue, func(r *dispatchRequest) bool {
		return r.state == stateWaitingForConn && r.Customer == c.customer
	})
}

// roomExpected returns the number of connections that may be opened once those being
// closed have been closed.
func (d *Dispatcher) roomExpected(now time.Duration) int {
	if d.settings.Scheduling != EarliestTarget || d.closing == 0 {
		return 0
	}
	return max(d.budget(now)-len(d.conns), 0)
}

// heldBack reports whether a request waits until open transactions hold fewer connections.
func (d *Dispatcher) heldBack(now time.Duration, r *dispatchRequest) bool {
	return r.state == stateWaitingForConn && r.Transaction && !d.mayOpenTransaction(now)
}

// mayOpenTransaction reports whether another transaction may take a connection.
func (d *Dispatcher) mayOpenTransaction(now time.Duration) bool {
	return d.settings.Scheduling != EarliestTarget || d.contention.transactionConns < max(int(transactionShare*float64(d.budget(now))), 1)
}
