package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// Timing of connections between hosts.
const (
	// keepAliveInterval is how often an idle transport is probed. grpc-go
	// raises a client's interval to 10 s, so a silent link is found by the
	// heartbeat's deadline first; see Pool.Reset.
	keepAliveInterval = 2 * time.Second
	keepAliveTimeout  = 2 * time.Second
	// dialTimeout bounds one connection attempt.
	dialTimeout = time.Second
	// maxReconnectDelay keeps a returning host from waiting long for its peers.
	maxReconnectDelay = time.Second
	// maxMessageBytes is above the largest frontend message of a client.
	maxMessageBytes = 20 << 20
)

// Pool keeps one gRPC connection to each peer. It opens a connection on first
// use and closes those to addresses that are no longer listed.
type Pool struct {
	creds credentials.TransportCredentials
	dial  Dial

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool. With nil credentials the transport is
// plaintext. A nil dial means TCP.
func NewPool(creds credentials.TransportCredentials, dial Dial) *Pool {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Pool{creds: creds, dial: dial, conns: map[string]*grpc.ClientConn{}}
}

// Client returns the API of the host at the address.
func (p *Pool) Client(address string) (peerpb.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return peerpb.NewPeerClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.dialOptions()...)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	p.conns[address] = conn
	return peerpb.NewPeerClient(conn), nil
}

func (p *Pool) dialOptions() []grpc.DialOption {
	delay := backoff.DefaultConfig
	delay.BaseDelay = 50 * time.Millisecond
	delay.MaxDelay = maxReconnectDelay
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                keepAliveInterval,
			Timeout:             keepAliveTimeout,
			PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: delay, MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
	}
	if p.dial != nil {
		options = append(options, grpc.WithContextDialer(p.dial))
	}
	return options
}

// Retain closes the connections to every address that is not in the list.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if !addresses[address] {
			_ = conn.Close()
			delete(p.conns, address)
		}
	}
}

// Reset closes the connection to the address, so that the next call opens a new
// one. It serves after a call on the old connection timed out while a new
// connection works.
func (p *Pool) Reset(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// Close closes every connection.
func (p *Pool) Close() { p.Retain(nil) }

// ServerOptions returns the options for a gRPC server that peers connect to.
func ServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveInterval, Timeout: keepAliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepAliveInterval / 2, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
	}
}
