package backend

import "time"

const (
	// connUseWindow is the time constant over which the uses of a connection are counted.
	connUseWindow = 10 * time.Second
	// transactionShare is the share of the connection budget that open transactions may
	// hold, so that clients that rest inside transactions leave connections for single
	// statements.
	transactionShare = 0.75
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
// expected to end before a new connection could be open.
func (d *Dispatcher) connsFreeSoon(now time.Duration) map[string]int {
	soon := map[string]int{}
	if d.settings.Scheduling != EarliestTarget || len(d.queue) == 0 {
		return soon
	}
	for _, r := range d.requests {
		if r.state == stateRunning && !r.Transaction && r.since+d.expectedService(r)-now <= d.contention.openTime {
			soon[r.Customer]++
		}
	}
	return soon
}

// mayOpenTransaction reports whether another transaction may take a connection.
func (d *Dispatcher) mayOpenTransaction(now time.Duration) bool {
	return d.settings.Scheduling != EarliestTarget || d.contention.transactionConns < max(int(transactionShare*float64(d.budget(now))), 1)
}
