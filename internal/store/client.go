package store

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/cranberryhinge/cranberryhinge/internal/store/storepb"
)

// defaultTimeout bounds each call of a Client whose options set no timeout.
const defaultTimeout = time.Second

// maxConsecutiveTimeouts is the number of consecutive calls without a response
// after which the connection is replaced. The keep-alive of grpc-go sends a
// ping at most every 10 s, which detects a silent connection too late for a
// lease of 3 s.
const maxConsecutiveTimeouts = 2

// Bounds of the backoff between attempts to connect.
const (
	minReconnectPause = 50 * time.Millisecond
	maxReconnectPause = time.Second
)

// ClientOptions are the options of a Client.
type ClientOptions struct {
	Address string
	// Host is the name of the calling host.
	Host string
	// Timeout bounds each call. Zero stands for one second.
	Timeout time.Duration
}

// Client calls the platform's services over gRPC. Every call has a deadline.
type Client struct {
	options ClientOptions

	mu                  sync.Mutex
	conn                *grpc.ClientConn
	consecutiveTimeouts int
	closed              bool
}

// NewClient returns a client, which connects when it makes its first call.
func NewClient(options ClientOptions) (*Client, error) {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	c := &Client{options: options}
	conn, err := c.dial()
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return c, nil
}

func (c *Client) dial() (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient(
		"passthrough:///"+c.options.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithUserAgent(c.options.Host),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectPause, Multiplier: 2, Jitter: 0.5, MaxDelay: maxReconnectPause},
			MinConnectTimeout: c.options.Timeout,
		}),
	)
	return conn, errors.Wrapf(err, "create client of platform at %s", c.options.Address)
}

// Close closes the connection.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.conn.Close()
}

// Services returns the platform's services, called through the client.
func (c *Client) Services() Services {
	return Services{Tables: clientTables{c}, Objects: clientObjects{c}, Hosts: clientHosts{c}}
}

// invoke makes one call, which ends after the client's timeout at the latest.
func invoke[In, Out any](
	ctx context.Context, c *Client, in In,
	call func(storepb.StoreClient, context.Context, In, ...grpc.CallOption) (Out, error),
) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	out, err := call(storepb.NewStoreClient(conn), ctx, in)
	c.recordResult(conn, err)
	return out, errors.Wrap(err, "platform call")
}

// recordResult replaces a connection on which too many consecutive calls timed
// out.
func (c *Client) recordResult(conn *grpc.ClientConn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn != c.conn || c.closed {
		return
	}
	if status.Code(err) != codes.DeadlineExceeded {
		c.consecutiveTimeouts = 0
		return
	}
	if c.consecutiveTimeouts++; c.consecutiveTimeouts < maxConsecutiveTimeouts {
		return
	}
	newConn, dialErr := c.dial()
	if dialErr != nil {
		return
	}
	c.conn, c.consecutiveTimeouts = newConn, 0
	// The old connection is closed only after the deadlines of its calls.
	time.AfterFunc(c.options.Timeout, func() { conn.Close() })
}

type clientTables struct{ client *Client }

func (t clientTables) Get(ctx context.Context, key string) (Row, error) {
	out, err := invoke(ctx, t.client, &storepb.GetRequest{Key: key}, storepb.StoreClient.Get)
	if err != nil {
		return Row{}, err
	}
	return rowFromProto(out.GetRow()), nil
}

func (t clientTables) Scan(ctx context.Context, prefix string, after Revision) ([]Row, error) {
	in := &storepb.ScanRequest{Prefix: prefix, After: uint64(after)}
	out, err := invoke(ctx, t.client, in, storepb.StoreClient.Scan)
	if err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(out.GetRows()))
	for _, row := range out.GetRows() {
		rows = append(rows, rowFromProto(row))
	}
	return rows, nil
}

func (t clientTables) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error) {
	in := &storepb.CompareAndSwapRequest{Key: key, Expect: uint64(expect), Value: value}
	out, err := invoke(ctx, t.client, in, storepb.StoreClient.CompareAndSwap)
	switch {
	case err != nil:
		return 0, err
	case out.GetConflict():
		return 0, ErrConflict
	}
	return Revision(out.GetRevision()), nil
}

func (t clientTables) Delete(ctx context.Context, key string, expect Revision) error {
	in := &storepb.DeleteRequest{Key: key, Expect: uint64(expect)}
	out, err := invoke(ctx, t.client, in, storepb.StoreClient.Delete)
	if err == nil && out.GetConflict() {
		return ErrConflict
	}
	return err
}

func rowFromProto(r *storepb.Row) Row {
	return Row{Key: r.GetKey(), Value: r.GetValue(), Revision: Revision(r.GetRevision())}
}

type clientObjects struct{ client *Client }

func (o clientObjects) Put(ctx context.Context, key string, data []byte) error {
	_, err := invoke(ctx, o.client, &storepb.PutObjectRequest{Key: key, Data: data}, storepb.StoreClient.PutObject)
	return err
}

func (o clientObjects) Get(ctx context.Context, key string) ([]byte, error) {
	out, err := invoke(ctx, o.client, &storepb.GetObjectRequest{Key: key}, storepb.StoreClient.GetObject)
	if err == nil && !out.GetFound() {
		return nil, ErrNotFound
	}
	return out.GetData(), err
}

type clientHosts struct{ client *Client }

func (h clientHosts) Hosts(ctx context.Context) ([]ListedHost, error) {
	out, err := invoke(ctx, h.client, &storepb.HostsRequest{}, storepb.StoreClient.Hosts)
	if err != nil {
		return nil, err
	}
	hosts := make([]ListedHost, 0, len(out.GetHosts()))
	for _, l := range out.GetHosts() {
		hosts = append(hosts, ListedHost{Name: l.GetName(), Address: l.GetAddress(), Zone: l.GetZone(), Leaving: l.GetLeaving()})
	}
	return hosts, nil
}
