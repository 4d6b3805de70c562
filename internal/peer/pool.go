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
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/protobuf/proto"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// Timing and message size of connections between hosts.
const (
	// keepAliveInterval is the interval between keep-alive probes on an idle
	// transport. grpc-go raises the interval of a client to 10 s, so the heartbeat
	// deadline detects a silent connection first; see Pool.Reset.
	keepAliveInterval = 2 * time.Second
	keepAliveTimeout  = 2 * time.Second
	// dialTimeout bounds one connection attempt, except that gRPC always allows it
	// the current reconnect delay.
	dialTimeout = time.Second
	// maxReconnectDelay limits the reconnect backoff, so that a restarted host does
	// not wait long for its peers.
	maxReconnectDelay = time.Second
	// idleTimeout is the time without a call after which a connection is closed. In a
	// fleet of hundreds of hosts each host uses few of the others at any time.
	idleTimeout = 20 * time.Second
	// bufferBytes is the size of the read buffer of a connection, and of the write
	// buffer while it is in use. Most messages have a few hundred bytes.
	bufferBytes = 8 << 10
	// streamWindowBytes and connWindowBytes are the flow control windows. With fixed
	// windows gRPC does not measure the bandwidth, for which it would send a ping with
	// every message.
	streamWindowBytes = 256 << 10
	connWindowBytes   = 1 << 20
	// MaxMessageBytes is larger than the largest accepted frontend message of a
	// client.
	MaxMessageBytes = 20 << 20
)

// Pool keeps one gRPC connection to each peer. It opens a connection on first use;
// Retain closes those to addresses that are no longer listed.
type Pool struct {
	creds credentials.TransportCredentials
	dial  DialFunc

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool. If creds is nil, the transport is plaintext. If dial
// is nil, the pool connects over TCP.
func NewPool(creds credentials.TransportCredentials, dial DialFunc) *Pool {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return &Pool{creds: creds, dial: dial, conns: map[string]*grpc.ClientConn{}}
}

// Client returns a client for the peer API of the host at the address.
func (p *Pool) Client(address string) (peerpb.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return peerpb.NewPeerClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.dialOptions()...)
	if err != nil {
		return nil, errors.Wrapf(err, "create client for peer %s", address)
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithInitialConnWindowSize(connWindowBytes),
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

// Reset closes the connection to the address, so that the next call opens a new one.
// It is used after a call timed out: the old connection may be broken although a new
// one works.
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

// Limits of what other hosts, or anyone who reaches the peer port, may begin.
const (
	// MaxTypedMessageBytes is larger than the largest message between hosts that serve
	// typed statements: the rows of the store that a heartbeat carries, or a statement with
	// the values of its session.
	MaxTypedMessageBytes = 8 << 20
	// handshakeTimeout bounds the set-up of a connection from another host.
	handshakeTimeout = 3 * time.Second
	// maxStreams limits the calls under way on one connection from another host.
	maxStreams = 4096
	// maxHeaderListBytes limits the headers of one call.
	maxHeaderListBytes = 16 << 10
)

// ServerOptions returns the options for a gRPC server that peers connect to, for messages
// of up to maxMessage bytes.
func ServerOptions(creds credentials.TransportCredentials, maxMessage int) []grpc.ServerOption {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveInterval, Timeout: keepAliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepAliveInterval / 2, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			recordDelivered(ctx, req)
			return handler(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, s grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
			return handler(srv, deliveredStream{s})
		}),
		grpc.InitialWindowSize(streamWindowBytes),
		grpc.InitialConnWindowSize(connWindowBytes),
	}
}

// recordDelivered records at the connection of a call that a message was received whole.
func recordDelivered(ctx context.Context, message any) {
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return
	}
	if a, ok := p.Addr.(budget.ConnAddr); ok {
		if m, ok := message.(proto.Message); ok {
			a.Conn.Delivered(proto.Size(m))
		}
	}
}

// deliveredStream records the messages that a stream has received.
type deliveredStream struct{ grpc.ServerStream }

// RecvMsg implements grpc.ServerStream.
func (s deliveredStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if err == nil {
		recordDelivered(s.Context(), m)
	}
	return err
}
