package peer

import (
	"context"
	"io"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// RunStream is the entry host's end of a Run stream.
type RunStream interface {
	Send(*peerpb.RunRequest) error
	// Recv returns io.EOF after the home host ended the stream.
	Recv() (*peerpb.RunResponse, error)
	CloseSend() error
}

// RunServerStream is the home host's end of a Run stream. Its context ends when the
// stream is cancelled or the connection to the entry host is lost.
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

// PipeClient is the entry host's end of an in-process Run stream.
type PipeClient struct {
	pipe   *pipe
	closed bool
}

// PipeServer is the home host's end of an in-process Run stream.
type PipeServer struct{ pipe *pipe }

// Pipe returns the two ends of an in-process Run stream. Cancelling ctx breaks the
// stream at both ends. The home host must call Finish when it is done.
func Pipe(ctx context.Context) (*PipeClient, *PipeServer) {
	ctx, cancel := context.WithCancel(ctx)
	p := &pipe{
		ctx:       ctx,
		cancel:    cancel,
		requests:  make(chan *peerpb.RunRequest, pipeDepth),
		responses: make(chan *peerpb.RunResponse, pipeDepth),
	}
	return &PipeClient{pipe: p}, &PipeServer{pipe: p}
}

// Send implements RunStream.
func (c *PipeClient) Send(m *peerpb.RunRequest) error {
	select {
	case c.pipe.requests <- m:
		return nil
	case <-c.pipe.ctx.Done():
		return io.EOF
	}
}

// Recv implements RunStream.
func (c *PipeClient) Recv() (*peerpb.RunResponse, error) {
	select {
	case m, ok := <-c.pipe.responses:
		if !ok {
			return nil, io.EOF
		}
		return m, nil
	case <-c.pipe.ctx.Done():
		return nil, c.pipe.ctx.Err()
	}
}

// CloseSend implements RunStream.
func (c *PipeClient) CloseSend() error {
	if !c.closed {
		c.closed = true
		close(c.pipe.requests)
	}
	return nil
}

// Context implements RunServerStream.
func (s *PipeServer) Context() context.Context { return s.pipe.ctx }

// Send implements RunServerStream.
func (s *PipeServer) Send(m *peerpb.RunResponse) error {
	select {
	case s.pipe.responses <- m:
		return nil
	case <-s.pipe.ctx.Done():
		return s.pipe.ctx.Err()
	}
}

// Recv implements RunServerStream.
func (s *PipeServer) Recv() (*peerpb.RunRequest, error) {
	select {
	case m, ok := <-s.pipe.requests:
		if !ok {
			return nil, io.EOF
		}
		return m, nil
	case <-s.pipe.ctx.Done():
		return nil, s.pipe.ctx.Err()
	}
}

// Finish ends the stream: Recv of the PipeClient returns io.EOF after the last
// response. It must be called only once.
func (s *PipeServer) Finish() { close(s.pipe.responses) }
