package budget

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener limits the open connections of a listener. When there are too many, it closes
// the one from which nothing has been read for the longest time, so that connections that
// stop half-way don't keep others out. With a Budget it also counts what was received and
// does not yet belong to a complete request, see Conn.Delivered.
type Listener struct {
	net.Listener
	max     int
	metered bool
	budget  *Budget
	counter string
	started time.Time

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewListener wraps a listener. name is the prefix of its counter.
func NewListener(l net.Listener, name string, maxConns int, metered bool, b *Budget) *Listener {
	return &Listener{
		Listener: l, max: maxConns, metered: metered, budget: b, counter: name + "_connections_closed",
		started: time.Now(), conns: map[*Conn]struct{}{},
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, l: l}
	c.lastRead.Store(int64(time.Since(l.started)))
	if l.metered {
		c.lease = l.budget.Open(AddressOwner(nc.RemoteAddr()), func() { _ = nc.Close() })
	}
	l.mu.Lock()
	var stalest *Conn
	if len(l.conns) >= l.max {
		for o := range l.conns {
			if stalest == nil || o.lastRead.Load() < stalest.lastRead.Load() {
				stalest = o
			}
		}
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if stalest != nil {
		l.budget.RecordClosed(l.counter, AddressOwner(stalest.Conn.RemoteAddr()))
		_ = stalest.Close()
	}
	return c, nil
}

// AddressOwner returns the owner of a connection whose customer is not known.
func AddressOwner(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	l        *Listener
	lease    *Lease
	lastRead atomic.Int64
	// pending is the number of bytes read that no complete request is known to account
	// for. reservedSteps, which changes under mu only, is how many times pendingStep of
	// them is reserved.
	pending       atomic.Int64
	reservedSteps atomic.Int64
	mu            sync.Mutex
	once          sync.Once
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.l.started)))
		if c.lease == nil {
			return n, err
		}
		c.pending.Add(int64(n))
		if !c.reserve() {
			_ = c.Close()
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// pendingStep is the step in which pending bytes are reserved.
const pendingStep = 32 << 10

// reserve adjusts the reservation to the pending bytes. It reports whether there was
// memory for them.
func (c *Conn) reserve() bool {
	step := max(0, c.pending.Load()-pendingStep) / pendingStep
	if step == c.reservedSteps.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	step = max(0, c.pending.Load()-pendingStep) / pendingStep
	change := int(step-c.reservedSteps.Load()) * pendingStep
	if !c.lease.Reserve(Peers, change) {
		return false
	}
	c.lease.Release(Peers, -change)
	c.reservedSteps.Store(step)
	return true
}

const (
	// requestOverheadBytes is the size of the headers of a request that are not part of its
	// message.
	requestOverheadBytes = 512
	// framingRatio is the size of a message relative to that of its HTTP/2 frames and TLS
	// records. Without them, a connection that carries large messages would seem to hold more
	// with each of them.
	framingRatio = 128
)

// Delivered records that a request of n bytes was received whole.
func (c *Conn) Delivered(n int) {
	if c.lease == nil {
		return
	}
	size := int64(n + n/framingRatio + requestOverheadBytes)
	for {
		pending := c.pending.Load()
		if c.pending.CompareAndSwap(pending, max(0, pending-size)) {
			break
		}
	}
	c.reserve() // gives back, which never fails
}

// RemoteAddr implements net.Conn. The address leads back to the connection.
func (c *Conn) RemoteAddr() net.Addr { return ConnAddr{c.Conn.RemoteAddr(), c} }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
		c.lease.Close()
	})
	return c.Conn.Close()
}

// ConnAddr is the remote address of a Conn.
type ConnAddr struct {
	net.Addr
	Conn *Conn
}
