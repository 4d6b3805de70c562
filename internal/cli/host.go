package cli

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v4"
	"google.golang.org/grpc/credentials"

	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// callTimeout bounds one call of a subcommand to a host.
const callTimeout = 10 * time.Second

// hostFlags hold a host's peer address and the PEM files for mutual TLS with it.
type hostFlags struct {
	address, certificate, key, ca string
}

func newHostFlags(flags *ff.FlagSet) *hostFlags {
	h := &hostFlags{}
	flags.StringVar(&h.address, 0, "host", "", "peer address of the host, IP:port")
	flags.StringVar(&h.certificate, 0, "cert", "", "PEM certificate for mutual TLS with the host; empty for plaintext")
	flags.StringVar(&h.key, 0, "key", "", "PEM key of the certificate")
	flags.StringVar(&h.ca, 0, "ca", "", "PEM certificate of the authority that signed the host's")
	return h
}

func (h *hostFlags) require() error {
	if h.address == "" {
		return usagef("--host is missing")
	}
	return nil
}

// call connects to the host's peer API and calls f with a client. The context that f
// receives ends after callTimeout.
func (h *hostFlags) call(ctx context.Context, f func(context.Context, peerpb.PeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cfg, err := peer.LoadTLS(h.certificate, h.key, h.ca)
	if err != nil {
		return err
	}
	var creds credentials.TransportCredentials
	if cfg != nil {
		creds = credentials.NewTLS(cfg)
	}
	pool := peer.NewPool(creds, nil)
	defer pool.Close()
	client, err := pool.Client(h.address)
	if err != nil {
		return err
	}
	return f(ctx, client)
}
