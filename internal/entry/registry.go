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
	// A process id consists of a host number of hostNumberBits and a session slot of
	// slotBits. The sum is 31 because some clients treat a process id as a signed
	// 32-bit number.
	slotBits       = 20
	hostNumberBits = 11
	slotMask       = 1<<slotBits - 1
)

// HostNumber returns the number of a host in process ids. It is a hash of the name,
// so the numbers of two hosts may collide; the secret then identifies the session.
func HostNumber(host string) uint32 {
	return uint32(xxhash.Sum64String(host) & (1<<hostNumberBits - 1))
}

func processIDPrefix(host string) uint32 { return HostNumber(host) << slotBits }

// registry holds the open sessions of this host by slot.
type registry struct {
	processIDPrefix uint32
	mu              sync.Mutex
	clients         map[uint32]*client
	lastSlot        uint32
}

func newRegistry(processIDPrefix uint32) *registry {
	return &registry{processIDPrefix: processIDPrefix, clients: make(map[uint32]*client)}
}

// add registers a session and assigns its process id and secret. It returns false if
// limit sessions are already open.
func (r *registry) add(c *client, limit int) bool {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.clients) >= min(limit, slotMask) {
		return false
	}
	for {
		r.lastSlot = (r.lastSlot + 1) & slotMask
		if _, taken := r.clients[r.lastSlot]; !taken && r.lastSlot != 0 {
			break
		}
	}
	c.processID = r.processIDPrefix | r.lastSlot
	r.clients[r.lastSlot] = c
	return true
}

func (r *registry) remove(c *client) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.clients, c.processID&slotMask)
}

func (r *registry) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.clients)
}

// forEach calls f for every open session, without holding the lock.
func (r *registry) forEach(f func(*client)) {
	r.mu.Lock()
	clients := make([]*client, 0, len(r.clients))
	for _, c := range r.clients {
		clients = append(clients, c)
	}
	r.mu.Unlock()
	for _, c := range clients {
		f(c)
	}
}

// find returns the session with the process id and the secret, or nil.
func (r *registry) find(processID, secret uint32) *client {
	if processID&^slotMask != r.processIDPrefix {
		return nil
	}
	r.mu.Lock()
	c := r.clients[processID&slotMask]
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

// Cancel cancels the running statement of the session with the process id and the
// secret. It reports whether this host has such a session. It also serves the Cancel
// call of peers.
func (e *Entry) Cancel(processID, secret uint32) bool {
	c := e.sessions.find(processID, secret)
	if c == nil {
		return false
	}
	e.opts.Counters.Add("cancels", 1)
	c.cancelStatement()
	return true
}

// handleCancelRequest handles a client's cancel request. If the session is not on
// this host, the request is forwarded. The protocol defines no response, so the
// result is not reported to the client.
func (e *Entry) handleCancelRequest(processID, secret uint32) {
	if e.Cancel(processID, secret) || e.opts.CancelForwarder == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.sessionCtx, e.opts.ClientTimeout)
	defer cancel()
	if err := e.opts.CancelForwarder.ForwardCancel(ctx, processID>>slotBits, processID, secret); err != nil {
		e.opts.Counters.Add("cancel_forward_errors", 1)
	}
}
