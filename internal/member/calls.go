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

// newWriterID returns an ID that is unique to this process, by which it recognises
// its own writes.
func newWriterID(id Identity) string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return id.Name + "/" + hex.EncodeToString(b[:])
}

// storeLoop makes the store calls of one duty, one after the other.
func (m *Member) storeLoop(calls <-chan fleet.StoreCall) {
	for {
		select {
		case c := <-calls:
			in := m.callStore(c)
			in.Call = c.Call
			m.step(in)
		case <-m.ctx.Done():
			return
		}
	}
}

// openWorkTimeout limits the wait for the open work of a role before the role is
// handed over.
const openWorkTimeout = 5 * time.Second

// awaitOpenWork waits until a role that is about to be handed over has no open work.
// After openWorkTimeout the role is handed over with its open work.
func (m *Member) awaitOpenWork(role string) {
	if m.opt.AwaitOpenWork == nil {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, openWorkTimeout)
	defer cancel()
	if err := m.opt.AwaitOpenWork(ctx, role); err != nil {
		m.opt.Counters.Add("fleet_release_overdue", 1)
		m.opt.Logger.Warn().Str("role", role).Err(err).Msg("handing over role with open work")
	}
}

// callStore makes one store call. Releasing a role waits for its open work first.
func (m *Member) callStore(c fleet.StoreCall) (out fleet.StoreDone) {
	if c.ReleasedRole != "" {
		m.awaitOpenWork(c.ReleasedRole)
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
		var compressed []byte
		if compressed, err = config.Compress(c.Value); err == nil {
			err = m.opt.Objects.Put(ctx, c.Key, compressed)
		}
	case fleet.OpGetObject:
		var compressed []byte
		if compressed, err = m.opt.Objects.Get(ctx, c.Key); err == nil {
			out.Data, out.Document, err = m.decompress(compressed)
		}
	}
	m.opt.Counters.Add(counter, 1)
	out.Outcome = storeOutcome(err)
	if out.Outcome == fleet.OutcomeUnknown {
		m.opt.Counters.Add("fleet_store_errors", 1)
		m.opt.Logger.Debug().Str("key", c.Key).Err(err).Msg("store call failed")
	}
	return out
}

func storeOutcome(err error) fleet.Outcome {
	switch {
	case err == nil:
		return fleet.OutcomeOK
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return fleet.OutcomeConflict
	default:
		return fleet.OutcomeUnknown
	}
}

// decompress returns the content of a compressed document and the decoded
// document, which is nil when the content is not valid.
func (m *Member) decompress(compressed []byte) ([]byte, *config.Document, error) {
	data, err := config.Decompress(compressed)
	if err != nil {
		return nil, nil, err
	}
	return data, m.decode(data), nil
}

func (m *Member) decode(data []byte) *config.Document {
	d, err := m.opt.Decode(data)
	if err != nil {
		m.opt.Logger.Error().Err(err).Msg("invalid configuration document")
		return nil
	}
	return d
}

func (m *Member) sendExchange(a fleet.Exchange) {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	m.opt.Counters.Add("fleet_exchanges", 1)
	v, err := m.opt.Peers.Exchange(ctx, a.Address, a.Vector)
	if err != nil {
		m.opt.Counters.Add("fleet_exchange_errors", 1)
		m.step(fleet.ExchangeDone{Call: a.Call, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	m.step(fleet.ExchangeDone{Call: a.Call, Vector: v})
}

func (m *Member) probePeer(a fleet.Probe) {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	m.step(fleet.ProbeDone{Call: a.Call, Refused: m.opt.Peers.Probe(ctx, a.Address)})
}

// ProbeTCP reports whether the address refuses TCP connections. It returns false
// after a time-out or any other error, because the host may still be running.
func ProbeTCP(ctx context.Context, address string) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (m *Member) fetchDocument(a fleet.FetchFromPeer) {
	ctx, cancel := context.WithTimeout(m.ctx, fetchTimeout)
	defer cancel()
	done := fleet.DocumentDone{Call: a.Call}
	r, err := m.opt.Peers.Configuration(ctx, a.Address, &peerpb.ConfigurationRequest{})
	if err == nil && r.GetVersion() > 0 {
		done.Version = config.Version(r.GetVersion())
		done.Data, done.Document, err = m.decompress(r.GetDocument())
	}
	if err != nil {
		m.opt.Logger.Debug().Str("address", a.Address).Err(err).Msg("configuration fetch failed")
	}
	m.step(done)
}

func (m *Member) sendHandover(a fleet.Handover) {
	ctx, cancel := context.WithTimeout(m.ctx, peerTimeout)
	defer cancel()
	// A lost notice delays the handover by one interval of the peer's role scan.
	_, _ = m.opt.Peers.Handover(ctx, a.Address, &peerpb.HandoverRequest{From: m.opt.Self.Name, Roles: a.Roles})
}

const (
	// hostListRetryInterval applies after an error and while the list names at most
	// one host.
	hostListRetryInterval = time.Second
	hostListInterval      = 10 * time.Second
)

// hostListLoop reads the host list periodically, with jitter so that the hosts do
// not read it in step.
func (m *Member) hostListLoop() {
	for {
		ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
		hosts, err := m.opt.Hosts.Hosts(ctx)
		cancel()
		wait := hostListRetryInterval
		if err == nil {
			m.step(fleet.HostsListed{Hosts: hosts})
			if len(hosts) > 1 {
				wait = hostListInterval
			}
		}
		select {
		case <-time.After(wait/2 + jitter(wait)):
		case <-m.ctx.Done():
			return
		}
	}
}

// jitter returns a random duration below d.
func jitter(d time.Duration) time.Duration {
	n, err := rand.Int(rand.Reader, big.NewInt(int64(d)))
	if err != nil {
		return d / 2
	}
	return time.Duration(n.Int64())
}
