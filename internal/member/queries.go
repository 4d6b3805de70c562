package member

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/fleet"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Self implements Fleet.
func (m *Member) Self() Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Self()
}

// LeaseUntil implements Fleet.
func (m *Member) LeaseUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch.Add(m.fleet.LeaseUntil())
}

// Lapsed implements Fleet.
func (m *Member) Lapsed(host string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Lapsed(m.now(), host, incarnation)
}

// Holder implements Fleet.
func (m *Member) Holder(role string) (Identity, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Holder(m.now(), role)
}

// Held implements Fleet.
func (m *Member) Held() []Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Held(m.now())
}

// MayMint implements Fleet.
func (m *Member) MayMint(role string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.MayMint(m.now(), role)
}

// Peers implements Fleet.
func (m *Member) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Peers(m.now())
}

// Document implements Fleet.
func (m *Member) Document() *config.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, _ := m.fleet.Document()
	return d
}

// KeysFresh implements Fleet.
func (m *Member) KeysFresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.KeysFresh(m.now())
}

// Subscribe implements Fleet.
func (m *Member) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, c)
	return c
}

// Exchange serves a peer's heartbeat.
func (m *Member) Exchange(_ context.Context, v *peerpb.Vector) (*peerpb.Vector, error) {
	m.mu.Lock()
	out, acts := m.fleet.Receive(m.now(), v)
	m.mu.Unlock()
	m.carryOut(acts)
	if out == nil {
		return nil, errStopped
	}
	return out, nil
}

// Configuration serves the document in force.
func (m *Member) Configuration(context.Context, *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	m.mu.Lock()
	d, data := m.fleet.Document()
	m.mu.Unlock()
	if d == nil {
		return &peerpb.ConfigurationResponse{}, nil
	}
	packed, err := m.packed.of(d.Version, data)
	if err != nil {
		return nil, err
	}
	return &peerpb.ConfigurationResponse{Version: uint64(d.Version), Document: packed}, nil
}

// packedDocument keeps the compressed form of the document that was served
// last. Compressing 1.4 MB takes 20 ms, and many peers ask at once.
type packedDocument struct {
	mu      sync.Mutex
	version config.Version
	data    []byte
}

func (p *packedDocument) of(v config.Version, data []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && p.version == v {
		return p.data, nil
	}
	packed, err := config.Compress(data)
	if err != nil {
		return nil, err
	}
	p.version, p.data = v, packed
	return packed, nil
}

// Handover serves a peer's notice that it has written roles to this host.
func (m *Member) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	m.feed(fleet.HandoverReceived{})
	return &peerpb.HandoverResponse{}, nil
}

// Apply publishes a document for an operator. A document that is not valid, a
// conflict and a refusal are reported in the response, and nothing was
// published. An error says that the document may have been published.
func (m *Member) Apply(ctx context.Context, r *peerpb.ApplyRequest) (*peerpb.ApplyResponse, error) {
	d, err := m.opt.Decode(r.GetDocument())
	if err != nil {
		return &peerpb.ApplyResponse{Error: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	done := make(chan fleet.PublishResult, 1)
	m.mu.Lock()
	m.publishID++
	id := m.publishID
	m.published[id] = done
	m.mu.Unlock()
	m.feed(fleet.Publish{ID: id, Base: config.Version(r.GetBaseVersion()), Document: d, Data: r.GetDocument()})
	select {
	case res := <-done:
		return applyResponse(res)
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
	m.feed(fleet.AbandonPublish{ID: id})
	select {
	case res := <-done:
		return applyResponse(res)
	default: // the host was replaced meanwhile
		return nil, verdict.New(verdict.MayHaveRun, verdict.Internal, "the host has stopped")
	}
}

func applyResponse(res fleet.PublishResult) (*peerpb.ApplyResponse, error) {
	out := &peerpb.ApplyResponse{Version: uint64(res.Version)}
	switch res.Status {
	case fleet.PublishAccepted:
	case fleet.PublishConflict:
		out.Conflict = true
	case fleet.PublishRefused:
		out.Error = res.Reason
	default:
		return nil, verdict.New(verdict.MayHaveRun, verdict.Internal, "version %d may have been published: %s", res.Version, res.Reason)
	}
	return out, nil
}

func (m *Member) finishPublish(p fleet.Published) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.published[p.ID]; ok {
		delete(m.published, p.ID)
		c <- p.Result
	}
}

// Leave announces the planned stop and returns once no role is held here. The
// host lease stays live until Run's context ends, because a group's owner needs
// it while transactions drain.
func (m *Member) Leave(ctx context.Context) error {
	m.feed(fleet.Leave{})
	for len(m.Held()) > 0 {
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "member: roles are still held")
		}
	}
	return nil
}
