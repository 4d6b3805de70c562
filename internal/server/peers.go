package server

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cranberryhinge/cranberryhinge/internal/entry"
	"github.com/cranberryhinge/cranberryhinge/internal/member"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
)

// peers makes calls to other hosts on behalf of the shells.
type peers struct {
	pool       *peer.Pool
	fleet      member.Fleet
	suspect    func(group string)
	streams    streams
	serveLocal func(peer.RunServerStream) error
}

// client returns a client of the peer API of the host at the address.
func (p *peers) client(address string) (peerpb.PeerClient, error) { return p.pool.Client(address) }

// resetOnTimeout closes the connection to the address if a call timed out, so
// that the next call opens a new one: an open connection can stop carrying
// traffic while new connections still work.
func (p *peers) resetOnTimeout(address string, err error) {
	if status.Code(err) == codes.DeadlineExceeded {
		p.pool.Reset(address)
	}
}

// Exchange implements member.PeerCalls.
func (p *peers) Exchange(ctx context.Context, address string, v *peerpb.Vector) (*peerpb.Vector, error) {
	c, err := p.client(address)
	if err != nil {
		return nil, err
	}
	resp, err := c.Exchange(ctx, v)
	p.resetOnTimeout(address, err)
	return resp, err
}

// Configuration implements member.PeerCalls.
func (p *peers) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	c, err := p.client(address)
	if err != nil {
		return nil, err
	}
	return c.Configuration(ctx, r)
}

// Handover implements member.PeerCalls.
func (p *peers) Handover(ctx context.Context, address string, r *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	c, err := p.client(address)
	if err != nil {
		return nil, err
	}
	return c.Handover(ctx, r)
}

// Probe implements member.PeerCalls.
func (p *peers) Probe(ctx context.Context, address string) bool { return member.ProbeTCP(ctx, address) }

// Grant implements limit.Granter.
func (p *peers) Grant(ctx context.Context, address string, r *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	c, err := p.client(address)
	if err != nil {
		return nil, err
	}
	return c.Grant(ctx, r)
}

// Position implements owner.Peers.
func (p *peers) Position(ctx context.Context, host, group string) (*peerpb.PositionResponse, error) {
	for _, x := range p.fleet.Peers() {
		if x.Name == host {
			return p.PositionAt(ctx, x.Address, group, "")
		}
	}
	return nil, errors.Errorf("unknown host %q", host)
}

// PositionAt implements positionClient.
func (p *peers) PositionAt(ctx context.Context, address, group, customer string) (*peerpb.PositionResponse, error) {
	c, err := p.client(address)
	if err != nil {
		return nil, err
	}
	resp, err := c.Position(ctx, &peerpb.PositionRequest{Group: group, Customer: customer})
	p.resetOnTimeout(address, err)
	return resp, err
}

// ForwardCancel implements entry.CancelForwarder. Host numbers may collide, so it
// sends the request to every host with the number; a host ignores a request
// whose secret does not match.
func (p *peers) ForwardCancel(ctx context.Context, host, processID, secret uint32) error {
	for _, x := range p.fleet.Peers() {
		if entry.HostNumber(x.Name) != host {
			continue
		}
		c, err := p.client(x.Address)
		if err != nil {
			return err
		}
		if _, err := c.Cancel(ctx, &peerpb.CancelRequest{ProcessId: processID, Secret: secret}); err != nil {
			return errors.Wrapf(err, "cancel at %s", x.Name)
		}
	}
	return nil
}

// Dial implements routing.Dialer: it opens a Run stream to a home host, through
// an in-process pipe if that is this host.
func (p *peers) Dial(ctx context.Context, host routing.Host) (peer.RunStream, error) {
	if host.Name == p.fleet.Self().Name {
		client, server := peer.Pipe(ctx)
		go func() {
			defer server.Finish()
			_ = p.serveLocal(server)
		}()
		return &watchedStream{RunStream: client, suspect: p.suspect}, nil
	}
	c, err := p.client(host.Address)
	if err != nil {
		return nil, err
	}
	ctx = p.streams.add(ctx, host.Name)
	stream, err := c.Run(ctx)
	if err != nil {
		p.resetOnTimeout(host.Address, err)
		return nil, err
	}
	return &watchedStream{RunStream: stream, suspect: p.suspect}, nil
}

// watchedStream calls suspect when a write on the stream fails, so that the
// directory queries for the group's current primary.
type watchedStream struct {
	peer.RunStream
	suspect func(group string)
	group   string
}

// Send implements peer.RunStream.
func (w *watchedStream) Send(m *peerpb.RunRequest) error {
	if s := m.GetStart(); s != nil && s.GetIntent() == peerpb.Intent_INTENT_WRITE {
		w.group = s.GetGroup()
	}
	return w.RunStream.Send(m)
}

// Recv implements peer.RunStream.
func (w *watchedStream) Recv() (*peerpb.RunResponse, error) {
	m, err := w.RunStream.Recv()
	failed := m.GetFailure() != nil || (err != nil && m == nil && status.Code(err) != codes.OK)
	if failed && w.group != "" {
		w.suspect(w.group)
	}
	return m, err
}
