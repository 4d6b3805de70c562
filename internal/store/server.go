package store

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/cranberryhinge/cranberryhinge/internal/store/storepb"
)

// maxMessageBytes bounds a gRPC message in both directions. The largest
// messages are configuration documents.
const maxMessageBytes = 16 << 20

const (
	serverPingInterval = 2 * time.Second
	serverPingTimeout  = 2 * time.Second
)

// Serve serves the fake over gRPC until ctx ends, and closes the listener. The
// first word of a caller's user agent is the name of the calling host.
func Serve(ctx context.Context, listener net.Listener, fake *Fake) error {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingInterval, Timeout: serverPingTimeout}),
	)
	storepb.RegisterStoreServer(server, &platformServer{fake: fake})
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve platform")
	}
	return nil
}

type platformServer struct {
	storepb.UnimplementedStoreServer
	fake *Fake
}

func (s *platformServer) services(ctx context.Context) Services {
	host := ""
	if agents := metadata.ValueFromIncomingContext(ctx, "user-agent"); len(agents) > 0 {
		host, _, _ = strings.Cut(agents[0], " ")
	}
	return s.fake.ServicesFor(host)
}

// statusError converts an error of the fake to a gRPC status.
func statusError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return status.FromContextError(errors.Cause(err)).Err()
	}
	return status.Error(codes.Unavailable, err.Error())
}

func rowToProto(r Row) *storepb.Row {
	return &storepb.Row{Key: r.Key, Value: r.Value, Revision: uint64(r.Revision)}
}

func (s *platformServer) Get(ctx context.Context, in *storepb.GetRequest) (*storepb.GetResponse, error) {
	row, err := s.services(ctx).Tables.Get(ctx, in.GetKey())
	if err != nil {
		return nil, statusError(err)
	}
	return &storepb.GetResponse{Row: rowToProto(row)}, nil
}

func (s *platformServer) Scan(ctx context.Context, in *storepb.ScanRequest) (*storepb.ScanResponse, error) {
	rows, err := s.services(ctx).Tables.Scan(ctx, in.GetPrefix(), Revision(in.GetAfter()))
	if err != nil {
		return nil, statusError(err)
	}
	out := &storepb.ScanResponse{}
	for _, row := range rows {
		out.Rows = append(out.Rows, rowToProto(row))
	}
	return out, nil
}

func (s *platformServer) CompareAndSwap(ctx context.Context, in *storepb.CompareAndSwapRequest) (*storepb.CompareAndSwapResponse, error) {
	revision, err := s.services(ctx).Tables.CompareAndSwap(ctx, in.GetKey(), Revision(in.GetExpect()), in.GetValue())
	if errors.Is(err, ErrConflict) {
		return &storepb.CompareAndSwapResponse{Conflict: true}, nil
	}
	return &storepb.CompareAndSwapResponse{Revision: uint64(revision)}, statusError(err)
}

func (s *platformServer) Delete(ctx context.Context, in *storepb.DeleteRequest) (*storepb.DeleteResponse, error) {
	err := s.services(ctx).Tables.Delete(ctx, in.GetKey(), Revision(in.GetExpect()))
	if errors.Is(err, ErrConflict) {
		return &storepb.DeleteResponse{Conflict: true}, nil
	}
	return &storepb.DeleteResponse{}, statusError(err)
}

func (s *platformServer) PutObject(ctx context.Context, in *storepb.PutObjectRequest) (*storepb.PutObjectResponse, error) {
	err := s.services(ctx).Objects.Put(ctx, in.GetKey(), in.GetData())
	return &storepb.PutObjectResponse{}, statusError(err)
}

func (s *platformServer) GetObject(ctx context.Context, in *storepb.GetObjectRequest) (*storepb.GetObjectResponse, error) {
	data, err := s.services(ctx).Objects.Get(ctx, in.GetKey())
	if errors.Is(err, ErrNotFound) {
		return &storepb.GetObjectResponse{}, nil
	}
	return &storepb.GetObjectResponse{Data: data, Found: err == nil}, statusError(err)
}

func (s *platformServer) Hosts(ctx context.Context, _ *storepb.HostsRequest) (*storepb.HostsResponse, error) {
	hosts, err := s.services(ctx).Hosts.Hosts(ctx)
	if err != nil {
		return nil, statusError(err)
	}
	out := &storepb.HostsResponse{}
	for _, h := range hosts {
		out.Hosts = append(out.Hosts, &storepb.ListedHost{Name: h.Name, Address: h.Address, Zone: h.Zone, Leaving: h.Leaving})
	}
	return out, nil
}
