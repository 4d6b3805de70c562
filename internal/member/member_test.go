package member

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// fakePlatform implements the table service, the host list and the network between
// members, and holds the data of fakeObjectStore. Its store calls fail while it is
// unavailable.
type fakePlatform struct {
	mu          sync.Mutex
	unavailable atomic.Bool
	rows        map[string]store.Row
	revision    store.Revision
	objects     map[string][]byte
	members     map[string]*Member
	hostList    []store.ListedHost
}

var errUnavailable = errors.New("platform is unavailable")

// lockIfAvailable locks the platform, or returns an error while it is unavailable.
func (p *fakePlatform) lockIfAvailable() error {
	if p.unavailable.Load() {
		return errUnavailable
	}
	p.mu.Lock()
	return nil
}

func (p *fakePlatform) Get(_ context.Context, key string) (store.Row, error) {
	if err := p.lockIfAvailable(); err != nil {
		return store.Row{}, err
	}
	defer p.mu.Unlock()
	return p.rows[key], nil
}

func (p *fakePlatform) Scan(_ context.Context, prefix string, after store.Revision) (out []store.Row, err error) {
	if err := p.lockIfAvailable(); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	for k, r := range p.rows {
		if strings.HasPrefix(k, prefix) && r.Revision > after {
			out = append(out, r)
		}
	}
	return out, nil
}

func (p *fakePlatform) CompareAndSwap(_ context.Context, key string, expect store.Revision, value []byte) (store.Revision, error) {
	if err := p.lockIfAvailable(); err != nil {
		return 0, err
	}
	defer p.mu.Unlock()
	if p.rows[key].Revision != expect {
		return 0, store.ErrConflict
	}
	p.revision++
	p.rows[key] = store.Row{Key: key, Value: value, Revision: p.revision}
	return p.revision, nil
}

func (p *fakePlatform) Delete(context.Context, string, store.Revision) error { return errUnavailable }

type fakeObjectStore struct{ *fakePlatform }

func (o fakeObjectStore) Put(_ context.Context, key string, data []byte) error {
	if err := o.lockIfAvailable(); err != nil {
		return err
	}
	defer o.mu.Unlock()
	o.objects[key] = data
	return nil
}

func (o fakeObjectStore) Get(_ context.Context, key string) ([]byte, error) {
	if err := o.lockIfAvailable(); err != nil {
		return nil, err
	}
	defer o.mu.Unlock()
	return o.objects[key], nil
}

func (p *fakePlatform) Hosts(context.Context) ([]store.ListedHost, error) { return p.hostList, nil }

func (p *fakePlatform) member(address string) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members[address]
}

func (p *fakePlatform) Exchange(ctx context.Context, address string, v *peerpb.Vector) (*peerpb.Vector, error) {
	if m := p.member(address); m != nil {
		return m.Exchange(ctx, v)
	}
	return nil, errUnavailable
}

func (p *fakePlatform) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	if m := p.member(address); m != nil {
		return m.Configuration(ctx, r)
	}
	return nil, errUnavailable
}

func (p *fakePlatform) Handover(ctx context.Context, address string, r *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	if m := p.member(address); m != nil {
		return m.Handover(ctx, r)
	}
	return nil, errUnavailable
}

func (p *fakePlatform) Probe(_ context.Context, address string) bool { return p.member(address) == nil }

func decodeTestDocument(data []byte) (*config.Document, error) {
	if string(data) == "bad" {
		return nil, errors.New("not valid")
	}
	d := &config.Document{}
	for i := range 3 {
		h, z := fmt.Sprintf("h%d", i), fmt.Sprintf("z%d", i%2)
		d.Inventory.Hosts = append(d.Inventory.Hosts, config.Host{Name: h, Zone: z})
	}
	d.Inventory.Zones = []config.Zone{{Name: "z0"}, {Name: "z1"}}
	d.Inventory.Groups = []config.Group{{Name: "g", Servers: []config.Server{{Name: "db0", Zone: "z0"}, {Name: "db1", Zone: "z1"}}}}
	return d, nil
}

func startMember(t *testing.T, platform *fakePlatform, i int) (*Member, func() error) {
	name := fmt.Sprintf("h%d", i)
	m := New(Options{
		Self:  Identity{Name: name, Zone: fmt.Sprintf("z%d", i%2), Address: name},
		Table: platform, Objects: fakeObjectStore{platform}, Hosts: platform, Peers: platform, Decode: decodeTestDocument,
	})
	platform.mu.Lock()
	platform.members[name] = m
	platform.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	stop := sync.OnceValue(func() error { cancel(); return <-done })
	t.Cleanup(func() { _ = stop() })
	return m, stop
}

func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against members that cannot start while the platform is down, that lose
// their roles in an outage, or that do not hand them over at a planned stop. Members
// start during an outage, form a fleet afterwards, publish a configuration, go
// through a second outage of 4 s, and one of them leaves.
func TestMembersThroughOutagesAndStop(t *testing.T) {
	platform := &fakePlatform{rows: map[string]store.Row{}, objects: map[string][]byte{}, members: map[string]*Member{}}
	platform.unavailable.Store(true)
	for i := range 3 {
		h := fmt.Sprintf("h%d", i)
		platform.hostList = append(platform.hostList, store.ListedHost{Name: h, Address: h, Zone: fmt.Sprintf("z%d", i%2)})
	}
	var members []*Member
	var stops []func() error
	for i := range 3 {
		m, stop := startMember(t, platform, i)
		members, stops = append(members, m), append(stops, stop)
	}
	ctx := context.Background()
	r, err := members[0].Apply(ctx, &peerpb.ApplyRequest{Document: []byte("bad")})
	assert.NilError(t, err)
	assert.Equal(t, r.GetError(), "not valid")
	r, err = members[0].Apply(ctx, &peerpb.ApplyRequest{Document: []byte("v1")})
	assert.NilError(t, err)
	assert.Assert(t, r.GetError() != "", "published without a lease")

	platform.unavailable.Store(false)
	waitFor(t, "h0 has no lease", func() bool { return time.Now().Before(members[0].LeaseUntil()) })
	changed := members[1].Subscribe()
	r, err = members[0].Apply(ctx, &peerpb.ApplyRequest{Document: []byte("v1")})
	assert.NilError(t, err)
	assert.Equal(t, r.GetVersion(), uint64(1))
	r, err = members[1].Apply(ctx, &peerpb.ApplyRequest{Document: []byte("v1b")})
	assert.NilError(t, err)
	assert.Assert(t, r.GetConflict())
	heldRoles := func() (n int) {
		for _, m := range members {
			n += len(m.HeldRoles())
		}
		return n
	}
	waitFor(t, "not all 10 roles are held", func() bool { return heldRoles() == 10 })
	<-changed
	for _, m := range members {
		waitFor(t, "a member has no document or no fresh keys", func() bool { return m.Document() != nil && m.KeysFresh() })
		waitFor(t, "h1 does not hold server/db1", func() bool { h, ok := m.Holder("server/db1"); return ok && h.Name == "h1" })
		assert.Equal(t, len(m.Peers()), 2)
	}

	platform.unavailable.Store(true)
	time.Sleep(4 * time.Second)
	for _, m := range members {
		assert.Assert(t, m.KeysFresh())
		for _, r := range m.HeldRoles() {
			assert.Assert(t, !r.LeaseLive)
			if strings.HasPrefix(r.Name, "rate/") {
				assert.Assert(t, m.MayMint(r.Name), r.Name)
			}
		}
	}
	platform.unavailable.Store(false)
	waitFor(t, "h1 has no lease", func() bool { return time.Now().Before(members[1].LeaseUntil()) })

	incarnation := members[1].Self().Incarnation
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	assert.NilError(t, members[1].Leave(ctx))
	assert.NilError(t, stops[1]())
	waitFor(t, "the lease of h1 has not lapsed", func() bool { return members[0].LeaseLapsed("h1", incarnation) })
	waitFor(t, "no other host has taken over server/db1", func() bool { h, ok := members[0].Holder("server/db1"); return ok && h.Name != "h1" })
}

// Guards against two processes that run under one host name: the older one must stop
// when a newer one starts.
func TestNewerProcessReplacesOlder(t *testing.T) {
	platform := &fakePlatform{rows: map[string]store.Row{}, objects: map[string][]byte{}, members: map[string]*Member{}}
	older, _ := startMember(t, platform, 0)
	waitFor(t, "the older process has no lease", func() bool { return time.Now().Before(older.LeaseUntil()) })
	time.Sleep(time.Millisecond)
	newer, _ := startMember(t, platform, 0)
	waitFor(t, "the newer process has no lease", func() bool { return time.Now().Before(newer.LeaseUntil()) })
	select {
	case <-older.replaced:
	case <-time.After(5 * time.Second):
		t.Fatal("the older process still runs")
	}
	assert.Assert(t, !time.Now().Before(older.LeaseUntil()))
}

func TestProbeTCPReportsRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Assert(t, !ProbeTCP(context.Background(), l.Addr().String()))
	assert.NilError(t, l.Close())
	assert.Assert(t, ProbeTCP(context.Background(), l.Addr().String()))
}
