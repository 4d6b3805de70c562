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
	return m.clockStart.Add(m.fleet.LeaseUntil())
}

// LeaseLapsed implements Fleet.
func (m *Member) LeaseLapsed(host string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.LeaseLapsed(m.now(), host, incarnation)
}

// Holder implements Fleet.
func (m *Member) Holder(role string) (Identity, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Holder(m.now(), role)
}

// HeldRoles implements Fleet.
func (m *Member) HeldRoles() []Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.HeldRoles(m.now())
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

// Exchange serves a heartbeat exchange that a peer starts.
func (m *Member) Exchange(_ context.Context, v *peerpb.Vector) (*peerpb.Vector, error) {
	m.mu.Lock()
	out, actions := m.fleet.HandleExchange(m.now(), v)
	m.mu.Unlock()
	m.performActions(actions)
	if out == nil {
		return nil, errStopped
	}
	return out, nil
}

// Configuration serves the document in force, or an empty response if there is none.
func (m *Member) Configuration(context.Context, *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	m.mu.Lock()
	d, data := m.fleet.Document()
	m.mu.Unlock()
	if d == nil {
		return &peerpb.ConfigurationResponse{}, nil
	}
	compressed, err := m.compressed.forVersion(d.Version, data)
	if err != nil {
		return nil, err
	}
	return &peerpb.ConfigurationResponse{Version: uint64(d.Version), Document: compressed}, nil
}

// compressedDocument caches the compressed form of the document that was served
// last. Compressing 1.4 MB takes 20 ms, and many peers fetch the document at once.
type compressedDocument struct {
	mu      sync.Mutex
	version config.Version
	data    []byte
}

// forVersion returns the compressed form of data, the document of version v.
func (p *compressedDocument) forVersion(v config.Version, data []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && p.version == v {
		return p.data, nil
	}
	compressed, err := config.Compress(data)
	if err != nil {
		return nil, err
	}
	p.version, p.data = v, compressed
	return compressed, nil
}

// Handover serves the notice of a peer that it has handed roles over to this host by
// writing their rows.
func (m *Member) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	m.step(fleet.HandoverReceived{})
	return &peerpb.HandoverResponse{}, nil
}

// Apply publishes a configuration document for an operator. The response reports an
// invalid document, a version conflict or a refusal; nothing was published then.
// After an error the document may have been published.
func (m *Member) Apply(ctx context.Context, r *peerpb.ApplyRequest) (*peerpb.ApplyResponse, error) {
	d, err := m.opt.Decode(r.GetDocument())
	if err != nil {
		return &peerpb.ApplyResponse{Error: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	done := make(chan fleet.PublishResult, 1)
	m.mu.Lock()
	m.lastPublishID++
	id := m.lastPublishID
	m.pendingPublishes[id] = done
	m.mu.Unlock()
	m.step(fleet.Publish{ID: id, Base: config.Version(r.GetBaseVersion()), Document: d, Data: r.GetDocument()})
	select {
	case res := <-done:
		return applyResponse(res)
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
	m.step(fleet.AbandonPublish{ID: id})
	select {
	case res := <-done:
		return applyResponse(res)
	default: // the host was replaced in the meantime
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

func (m *Member) finishPublish(p fleet.PublishEnded) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if result, ok := m.pendingPublishes[p.ID]; ok {
		delete(m.pendingPublishes, p.ID)
		result <- p.Result
	}
}

// Leave announces the planned stop and waits until this host holds no role, or
// until ctx ends, which is an error. The host lease stays live until Run's context
// ends, because the owner of a group needs it while transactions drain.
func (m *Member) Leave(ctx context.Context) error {
	m.step(fleet.Leave{})
	for len(m.HeldRoles()) > 0 {
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "member: wait for the handover of all roles")
		}
	}
	return nil
}
