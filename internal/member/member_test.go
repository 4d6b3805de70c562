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

// world is a table service, an object store, a host list and a network.
type world struct {
	mu      sync.Mutex
	down    atomic.Bool
	rows    map[string]store.Row
	rev     store.Revision
	objects map[string][]byte
	members map[string]*Member
	list    []store.ListedHost
}

var errDown = errors.New("down")

func (w *world) enter() error {
	if w.down.Load() {
		return errDown
	}
	w.mu.Lock()
	return nil
}

func (w *world) Get(_ context.Context, key string) (store.Row, error) {
	if err := w.enter(); err != nil {
		return store.Row{}, err
	}
	defer w.mu.Unlock()
	return w.rows[key], nil
}

func (w *world) Scan(_ context.Context, prefix string, after store.Revision) (out []store.Row, err error) {
	if err := w.enter(); err != nil {
		return nil, err
	}
	defer w.mu.Unlock()
	for k, r := range w.rows {
		if strings.HasPrefix(k, prefix) && r.Revision > after {
			out = append(out, r)
		}
	}
	return out, nil
}

func (w *world) CompareAndSwap(_ context.Context, key string, expect store.Revision, value []byte) (store.Revision, error) {
	if err := w.enter(); err != nil {
		return 0, err
	}
	defer w.mu.Unlock()
	if w.rows[key].Revision != expect {
		return 0, store.ErrConflict
	}
	w.rev++
	w.rows[key] = store.Row{Key: key, Value: value, Revision: w.rev}
	return w.rev, nil
}

func (w *world) Delete(context.Context, string, store.Revision) error { return errDown }

type objects struct{ *world }

func (o objects) Put(_ context.Context, key string, data []byte) error {
	if err := o.enter(); err != nil {
		return err
	}
	defer o.mu.Unlock()
	o.objects[key] = data
	return nil
}

func (o objects) Get(_ context.Context, key string) ([]byte, error) {
	if err := o.enter(); err != nil {
		return nil, err
	}
	defer o.mu.Unlock()
	return o.objects[key], nil
}

func (w *world) Hosts(context.Context) ([]store.ListedHost, error) { return w.list, nil }

func (w *world) member(address string) *Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members[address]
}

func (w *world) Exchange(ctx context.Context, address string, v *peerpb.Vector) (*peerpb.Vector, error) {
	if m := w.member(address); m != nil {
		return m.Exchange(ctx, v)
	}
	return nil, errDown
}

func (w *world) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	if m := w.member(address); m != nil {
		return m.Configuration(ctx, r)
	}
	return nil, errDown
}

func (w *world) Handover(ctx context.Context, address string, r *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	if m := w.member(address); m != nil {
		return m.Handover(ctx, r)
	}
	return nil, errDown
}

func (w *world) Probe(_ context.Context, address string) bool { return w.member(address) == nil }

func decode(data []byte) (*config.Document, error) {
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

func start(t *testing.T, w *world, i int) (*Member, func() error) {
	name := fmt.Sprintf("h%d", i)
	m := New(Options{
		Self:  Identity{Name: name, Zone: fmt.Sprintf("z%d", i%2), Address: name},
		Table: w, Objects: objects{w}, Hosts: w, Peers: w, Decode: decode,
	})
	w.mu.Lock()
	w.members[name] = m
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	stop := sync.OnceValue(func() error { cancel(); return <-done })
	t.Cleanup(func() { _ = stop() })
	return m, stop
}

func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(15*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Members must start while the platform is down, form a fleet when it returns,
// publish, keep their roles in an outage, and hand them over at a planned stop.
func TestMembers(t *testing.T) {
	w := &world{rows: map[string]store.Row{}, objects: map[string][]byte{}, members: map[string]*Member{}}
	w.down.Store(true)
	for i := range 3 {
		h := fmt.Sprintf("h%d", i)
		w.list = append(w.list, store.ListedHost{Name: h, Address: h, Zone: fmt.Sprintf("z%d", i%2)})
	}
	var ms []*Member
	var stops []func() error
	for i := range 3 {
		m, stop := start(t, w, i)
		ms, stops = append(ms, m), append(stops, stop)
	}
	ctx := context.Background()
	r, err := ms[0].Apply(ctx, &peerpb.ApplyRequest{Document: []byte("bad")})
	assert.NilError(t, err)
	assert.Equal(t, r.GetError(), "not valid")
	r, err = ms[0].Apply(ctx, &peerpb.ApplyRequest{Document: []byte("v1")})
	assert.NilError(t, err)
	assert.Assert(t, r.GetError() != "", "published without a lease")

	w.down.Store(false)
	wait(t, "lease", func() bool { return time.Now().Before(ms[0].LeaseUntil()) })
	changed := ms[1].Subscribe()
	r, err = ms[0].Apply(ctx, &peerpb.ApplyRequest{Document: []byte("v1")})
	assert.NilError(t, err)
	assert.Equal(t, r.GetVersion(), uint64(1))
	r, err = ms[1].Apply(ctx, &peerpb.ApplyRequest{Document: []byte("v1b")})
	assert.NilError(t, err)
	assert.Assert(t, r.GetConflict())
	held := func() (n int) {
		for _, m := range ms {
			n += len(m.Held())
		}
		return n
	}
	wait(t, "roles", func() bool { return held() == 10 })
	<-changed
	for _, m := range ms {
		wait(t, "document", func() bool { return m.Document() != nil && m.KeysFresh() })
		wait(t, "holder", func() bool { h, ok := m.Holder("server/db1"); return ok && h.Name == "h1" })
		assert.Equal(t, len(m.Peers()), 2)
	}

	w.down.Store(true)
	time.Sleep(4 * time.Second)
	for _, m := range ms {
		assert.Assert(t, m.KeysFresh())
		for _, r := range m.Held() {
			assert.Assert(t, !r.Live)
			if strings.HasPrefix(r.Name, "rate/") {
				assert.Assert(t, m.MayMint(r.Name), r.Name)
			}
		}
	}
	w.down.Store(false)
	wait(t, "lease", func() bool { return time.Now().Before(ms[1].LeaseUntil()) })

	incarnation := ms[1].Self().Incarnation
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	assert.NilError(t, ms[1].Leave(ctx))
	assert.NilError(t, stops[1]())
	wait(t, "lapsed", func() bool { return ms[0].Lapsed("h1", incarnation) })
	wait(t, "fall-back", func() bool { h, ok := ms[0].Holder("server/db1"); return ok && h.Name != "h1" })
}

// A second process under the same name must replace the first.
func TestReplaced(t *testing.T) {
	w := &world{rows: map[string]store.Row{}, objects: map[string][]byte{}, members: map[string]*Member{}}
	a, _ := start(t, w, 0)
	wait(t, "lease", func() bool { return time.Now().Before(a.LeaseUntil()) })
	time.Sleep(time.Millisecond)
	b, _ := start(t, w, 0)
	wait(t, "lease", func() bool { return time.Now().Before(b.LeaseUntil()) })
	select {
	case <-a.replaced:
	case <-time.After(5 * time.Second):
		t.Fatal("the older process still runs")
	}
	assert.Assert(t, !time.Now().Before(a.LeaseUntil()))
}

func TestProbeTCP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Assert(t, !ProbeTCP(context.Background(), l.Addr().String()))
	assert.NilError(t, l.Close())
	assert.Assert(t, ProbeTCP(context.Background(), l.Addr().String()))
}
