package member

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math/big"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/fleet"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// newWriter returns an id that is unique to this process.
func newWriter(id Identity) string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return id.Name + "/" + hex.EncodeToString(b[:])
}

// storeLoop carries out the store calls of one duty.
func (m *Member) storeLoop(calls <-chan fleet.StoreCall) {
	for {
		select {
		case c := <-calls:
			in := m.store(c)
			in.Call = c.Call
			m.feed(in)
		case <-m.ctx.Done():
			return
		}
	}
}

// releaseTimeout bounds the wait for open work on a role that is handed over.
const releaseTimeout = 5 * time.Second

// release waits until no work is open under a role that is handed over.
func (m *Member) release(role string) {
	if m.opt.Release == nil {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, releaseTimeout)
	defer cancel()
	if err := m.opt.Release(ctx, role); err != nil {
		m.opt.Counters.Add("fleet_release_overdue", 1)
		m.opt.Logger.Warn().Str("role", role).Err(err).Msg("role is handed over with open work")
	}
}

func (m *Member) store(c fleet.StoreCall) (out fleet.StoreDone) {
	if c.Releases != "" {
		m.release(c.Releases)
	}
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	var err error
	counter := "fleet_store_reads"
	switch c.Op {
	case fleet.OpGet:
		var row store.Row
		row, err = m.opt.Table.Get(ctx, c.Key)
		out.Rows = []store.Row{row}
	case fleet.OpScan:
		out.Rows, err = m.opt.Table.Scan(ctx, c.Key, c.After)
	case fleet.OpCompareAndSwap:
		counter = "fleet_store_writes"
		out.Revision, err = m.opt.Table.CompareAndSwap(ctx, c.Key, c.Expect, c.Value)
	case fleet.OpPutObject:
		counter = "fleet_store_writes"
		var packed []byte
		if packed, err = config.Compress(c.Value); err == nil {
			err = m.opt.Objects.Put(ctx, c.Key, packed)
		}
	case fleet.OpGetObject:
		var packed []byte
		if packed, err = m.opt.Objects.Get(ctx, c.Key); err == nil {
			out.Data, out.Document, err = m.expand(packed)
		}
	}
	m.opt.Counters.Add(counter, 1)
	out.Outcome = outcome(err)
	if out.Outcome == fleet.Unknown {
		m.opt.Counters.Add("fleet_store_errors", 1)
		m.opt.Logger.Debug().Str("key", c.Key).Err(err).Msg("store call failed")
	}
	return out
}

func outcome(err error) fleet.Outcome {
	switch {
	case err == nil:
		return fleet.OK
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return fleet.Conflict
	default:
		return fleet.Unknown
	}
}

// expand returns the document in a compressed one. The document is nil when its
// content is not valid.
func (m *Member) expand(packed []byte) ([]byte, *config.Document, error) {
	data, err := config.Decompress(packed)
	if err != nil {
		return nil, nil, err
	}
	return data, m.decode(data), nil
}

func (m *Member) decode(data []byte) *config.Document {
	d, err := m.opt.Decode(data)
	if err != nil {
		m.opt.Logger.Error().Err(err).Msg("configuration is not valid")
		return nil
	}
	return d
}

func (m *Member) exchange(a fleet.Exchange) {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	m.opt.Counters.Add("fleet_exchanges", 1)
	v, err := m.opt.Peers.Exchange(ctx, a.Address, a.Vector)
	if err != nil {
		m.opt.Counters.Add("fleet_exchange_errors", 1)
		m.feed(fleet.ExchangeDone{Call: a.Call, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	m.feed(fleet.ExchangeDone{Call: a.Call, Vector: v})
}

func (m *Member) probe(a fleet.Probe) {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	m.feed(fleet.ProbeDone{Call: a.Call, Refused: m.opt.Peers.Probe(ctx, a.Address)})
}

// ProbeTCP reports whether the address refuses TCP connections. A time-out and
// any other error report false, because the host may be running.
func ProbeTCP(ctx context.Context, address string) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (m *Member) fetch(a fleet.FetchFromPeer) {
	ctx, cancel := context.WithTimeout(m.ctx, fetchTimeout)
	defer cancel()
	done := fleet.DocumentDone{Call: a.Call}
	r, err := m.opt.Peers.Configuration(ctx, a.Address, &peerpb.ConfigurationRequest{})
	if err == nil && r.GetVersion() > 0 {
		done.Version = config.Version(r.GetVersion())
		done.Data, done.Document, err = m.expand(r.GetDocument())
	}
	if err != nil {
		m.opt.Logger.Debug().Str("address", a.Address).Err(err).Msg("configuration fetch failed")
	}
	m.feed(done)
}

func (m *Member) handover(a fleet.Handover) {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	// A lost message costs one interval of the role scan.
	_, _ = m.opt.Peers.Handover(ctx, a.Address, &peerpb.HandoverRequest{From: m.opt.Self.Name, Roles: a.Roles})
}

const (
	listRetry    = time.Second
	listInterval = 10 * time.Second
)

// listLoop reads the host list, with jitter so that hosts do not synchronise.
func (m *Member) listLoop() {
	for {
		ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
		hosts, err := m.opt.Hosts.Hosts(ctx)
		cancel()
		wait := listRetry
		if err == nil {
			m.feed(fleet.HostsListed{Hosts: hosts})
			if len(hosts) > 1 {
				wait = listInterval
			}
		}
		select {
		case <-time.After(wait/2 + jitter(wait)):
		case <-m.ctx.Done():
			return
		}
	}
}

func jitter(d time.Duration) time.Duration {
	n, err := rand.Int(rand.Reader, big.NewInt(int64(d)))
	if err != nil {
		return d / 2
	}
	return time.Duration(n.Int64())
}
