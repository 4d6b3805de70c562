package peer

import (
	"context"
	"io"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// RunStream is the entry host's end of a Run stream.
type RunStream interface {
	Send(*peerpb.RunRequest) error
	// Recv returns io.EOF after the home host has ended the stream.
	Recv() (*peerpb.RunResponse, error)
	CloseSend() error
}

// RunServerStream is the home host's end of a Run stream. Its context ends
// when the entry host is gone.
type RunServerStream interface {
	Context() context.Context
	Send(*peerpb.RunResponse) error
	Recv() (*peerpb.RunRequest, error)
}

// pipeDepth is the number of messages buffered in each direction of a Pipe.
const pipeDepth = 16

type pipe struct {
	ctx       context.Context
	cancel    context.CancelFunc
	requests  chan *peerpb.RunRequest
	responses chan *peerpb.RunResponse
}

// PipeClient is the entry end of an in-process Run stream.
type PipeClient struct {
	p      *pipe
	closed bool
}

// PipeServer is the home end of an in-process Run stream.
type PipeServer struct{ p *pipe }

// Pipe returns the two ends of an in-process Run stream. Cancelling ctx breaks
// both ends. The home end must call Finish when it is done.
func Pipe(ctx context.Context) (*PipeClient, *PipeServer) {
	ctx, cancel := context.WithCancel(ctx)
	p := &pipe{
		ctx:       ctx,
		cancel:    cancel,
		requests:  make(chan *peerpb.RunRequest, pipeDepth),
		responses: make(chan *peerpb.RunResponse, pipeDepth),
	}
	return &PipeClient{p: p}, &PipeServer{p: p}
}

// Send implements RunStream.
func (c *PipeClient) Send(m *peerpb.RunRequest) error {
	select {
	case c.p.requests <- m:
		return nil
	case <-c.p.ctx.Done():
		return io.EOF
	}
}

// Recv implements RunStream.
func (c *PipeClient) Recv() (*peerpb.RunResponse, error) {
	select {
	case m, ok := <-c.p.responses:
		if !ok {
			return nil, io.EOF
		}
		return m, nil
	case <-c.p.ctx.Done():
		return nil, c.p.ctx.Err()
	}
}

// CloseSend implements RunStream.
func (c *PipeClient) CloseSend() error {
	if !c.closed {
		c.closed = true
		close(c.p.requests)
	}
	return nil
}

// Context implements RunServerStream.
func (s *PipeServer) Context() context.Context { return s.p.ctx }

// Send implements RunServerStream.
func (s *PipeServer) Send(m *peerpb.RunResponse) error {
	select {
	case s.p.responses <- m:
		return nil
	case <-s.p.ctx.Done():
		return s.p.ctx.Err()
	}
}

// Recv implements RunServerStream.
func (s *PipeServer) Recv() (*peerpb.RunRequest, error) {
	select {
	case m, ok := <-s.p.requests:
		if !ok {
			return nil, io.EOF
		}
		return m, nil
	case <-s.p.ctx.Done():
		return nil, s.p.ctx.Err()
	}
}

// Finish ends the stream towards the entry host.
func (s *PipeServer) Finish() { close(s.p.responses) }
