package entry

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotBits number the sessions of a host, numberBits the hosts. The sum is
	// 31 because some clients take a process id for a signed number.
	slotBits   = 20
	numberBits = 11
	slotMask   = 1<<slotBits - 1
)

// HostNumber returns the number of a host in process ids. Numbers of two hosts
// may collide; the secret then decides.
func HostNumber(host string) uint32 {
	return uint32(xxhash.Sum64String(host) & (1<<numberBits - 1))
}

func hostBits(host string) uint32 { return HostNumber(host) << slotBits }

// registry holds the open sessions by slot.
type registry struct {
	host uint32
	mu   sync.Mutex
	open map[uint32]*client
	next uint32
}

func newRegistry(host uint32) *registry {
	return &registry{host: host, open: make(map[uint32]*client)}
}

// add registers a session and assigns its process id and secret. It reports
// false when limit sessions are open.
func (r *registry) add(c *client, limit int) bool {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) >= min(limit, slotMask) {
		return false
	}
	for {
		r.next = (r.next + 1) & slotMask
		if _, taken := r.open[r.next]; !taken && r.next != 0 {
			break
		}
	}
	c.processID = r.host | r.next
	r.open[r.next] = c
	return true
}

func (r *registry) remove(c *client) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c.processID&slotMask)
}

func (r *registry) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// each calls f for every session, without holding the lock.
func (r *registry) each(f func(*client)) {
	r.mu.Lock()
	all := make([]*client, 0, len(r.open))
	for _, c := range r.open {
		all = append(all, c)
	}
	r.mu.Unlock()
	for _, c := range all {
		f(c)
	}
}

// find returns the session that the process id and the secret name.
func (r *registry) find(processID, secret uint32) *client {
	if processID&^slotMask != r.host {
		return nil
	}
	r.mu.Lock()
	c := r.open[processID&slotMask]
	r.mu.Unlock()
	if c == nil {
		return nil
	}
	var a, b [4]byte
	binary.BigEndian.PutUint32(a[:], secret)
	binary.BigEndian.PutUint32(b[:], c.secret)
	if subtle.ConstantTimeCompare(a[:], b[:]) != 1 {
		return nil
	}
	return c
}

// Cancel asks to cancel the running statement of the session that the process id
// and the secret name. It reports whether this host has such a session. The peer
// call Cancel ends here.
func (e *Entry) Cancel(processID, secret uint32) bool {
	c := e.sessions.find(processID, secret)
	if c == nil {
		return false
	}
	e.opts.Counters.Add("cancels", 1)
	c.cancelStatement()
	return true
}

// cancelFrom handles a client's cancel request. The client gets no answer in
// either case, as the protocol demands.
func (e *Entry) cancelFrom(processID, secret uint32) {
	if e.Cancel(processID, secret) || e.opts.Cancels == nil {
		return
	}
	ctx, done := context.WithTimeout(e.base, e.opts.ClientPatience)
	defer done()
	if err := e.opts.Cancels.ForwardCancel(ctx, processID>>slotBits, processID, secret); err != nil {
		e.opts.Counters.Add("cancel_forward_errors", 1)
	}
}
