package server

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// peerAPI implements the peer API by passing each call to the shell that is
// responsible for it.
type peerAPI struct {
	peerpb.UnimplementedPeerServer
	server *Server
}

func (a peerAPI) Run(stream grpc.BidiStreamingServer[peerpb.RunRequest, peerpb.RunResponse]) error {
	return a.server.home.Serve(stream)
}

func (a peerAPI) Position(ctx context.Context, r *peerpb.PositionRequest) (*peerpb.PositionResponse, error) {
	resp, err := a.server.owner.Position(ctx, r.GetGroup(), r.GetCustomer())
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return resp, nil
}

func (a peerAPI) Exchange(ctx context.Context, v *peerpb.Vector) (*peerpb.Vector, error) {
	return a.server.member.Exchange(ctx, v)
}

func (a peerAPI) Grant(ctx context.Context, r *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	return a.server.minters.Grant(ctx, r)
}

func (a peerAPI) Configuration(ctx context.Context, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	return a.server.member.Configuration(ctx, r)
}

func (a peerAPI) Apply(ctx context.Context, r *peerpb.ApplyRequest) (*peerpb.ApplyResponse, error) {
	return a.server.member.Apply(ctx, r)
}

func (a peerAPI) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	return a.server.member.Handover(ctx, r)
}

func (a peerAPI) Cancel(_ context.Context, r *peerpb.CancelRequest) (*peerpb.CancelResponse, error) {
	a.server.entry.Cancel(r.GetProcessId(), r.GetSecret())
	return &peerpb.CancelResponse{}, nil
}

func (a peerAPI) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	st := a.server.Status()
	if doc := a.server.member.Document(); doc != nil {
		encoded, err := config.Encode(doc)
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		st.Configuration = string(encoded)
	}
	data, err := json.Marshal(st)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.StatusResponse{Json: data}, nil
}
