package store

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// ErrUnavailable reports an outage of the fake, or an answer that it lost.
var ErrUnavailable = errors.New("store: unavailable")

// FakeSettings describe a fake platform.
type FakeSettings struct {
	// DelayMin and DelayMax bound the time of each call; half of it passes
	// before the effect.
	DelayMin time.Duration `yaml:"delay_min"`
	DelayMax time.Duration `yaml:"delay_max"`
	// HostLag is the age of the host list that callers see.
	HostLag time.Duration `yaml:"host_lag"`
	Hosts   []ListedHost  `yaml:"hosts"`
	Seed    uint64        `yaml:"seed"`
}

// ParseFakeSettings decodes settings from YAML.
func ParseFakeSettings(data []byte) (FakeSettings, error) {
	var s FakeSettings
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil {
		return s, errors.Wrap(err, "platform settings")
	}
	return s, nil
}

// Counts are numbers of calls that reached the fake. Calls that fail in an
// outage count, calls of a host that is cut off do not.
type Counts struct {
	Reads  int64
	Writes int64
}

// Fake is an in-memory platform with fault injection.
type Fake struct {
	mu       sync.Mutex
	settings FakeSettings
	rng      *rand.Rand
	rows     map[string]Row
	objects  map[string][]byte
	revision Revision
	lists    []hostSnapshot
	counts   map[string]Counts

	outage bool
	cut    map[string]bool
	// lost and late are numbers of coming writes whose answer gets lost: the
	// effect of a lost write is immediate, that of a late one comes lateBy after
	// the caller has its error.
	lost   int
	late   int
	lateBy time.Duration
}

type hostSnapshot struct {
	since time.Time
	hosts []ListedHost
}

// NewFake returns a fake without rows and objects.
func NewFake(settings FakeSettings) *Fake {
	return &Fake{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Seed, 1)),
		rows:     make(map[string]Row),
		objects:  make(map[string][]byte),
		lists:    []hostSnapshot{{hosts: slices.Clone(settings.Hosts)}},
		counts:   make(map[string]Counts),
		cut:      make(map[string]bool),
	}
}

// SetOutage makes every call fail at once, without effect.
func (f *Fake) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// SetDelay sets the range of the time that each call takes.
func (f *Fake) SetDelay(shortest, longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.DelayMin, f.settings.DelayMax = shortest, longest
}

// LoseAnswers makes the next n writes take effect and then fail.
func (f *Fake) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = n
}

// DelayEffects makes the next n writes fail at once and take effect later, if
// their expected revision is still met then.
func (f *Fake) DelayEffects(n int, by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late, f.lateBy = n, by
}

// Cut makes calls of the hosts hang until their deadline, without effect.
func (f *Fake) Cut(hosts ...string) { f.setCut(true, hosts) }

// Restore ends Cut for the hosts.
func (f *Fake) Restore(hosts ...string) { f.setCut(false, hosts) }

func (f *Fake) setCut(on bool, hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range hosts {
		f.cut[host] = on
	}
}

// Counts returns the calls of all hosts.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum Counts
	for _, c := range f.counts {
		sum.Reads += c.Reads
		sum.Writes += c.Writes
	}
	return sum
}

// CountsOf returns the calls of one host.
func (f *Fake) CountsOf(host string) Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[host]
}

// SetHosts replaces the host list. Callers see it after the lag.
func (f *Fake) SetHosts(hosts ...ListedHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists = append(f.lists, hostSnapshot{since: time.Now(), hosts: slices.Clone(hosts)})
}

// Access is the platform as one host reaches it.
type Access struct {
	Tables  TableService
	Objects ObjectStore
	Hosts   HostList
}

// For returns the access of the named host.
func (f *Fake) For(host string) Access {
	return Access{Tables: fakeTables{f, host}, Objects: fakeObjects{f, host}, Hosts: fakeHosts{f, host}}
}

// enter counts a call and runs its first half. The returned function runs the
// second half.
func (f *Fake) enter(ctx context.Context, host string, write bool) (func() error, error) {
	f.mu.Lock()
	if f.cut[host] {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "store: host is cut off")
	}
	c := f.counts[host]
	if write {
		c.Writes++
	} else {
		c.Reads++
	}
	f.counts[host] = c
	half := f.drawDelay() / 2
	f.mu.Unlock()
	if err := wait(ctx, half); err != nil {
		return nil, err
	}
	f.mu.Lock()
	outage := f.outage
	f.mu.Unlock()
	if outage {
		return nil, ErrUnavailable
	}
	return func() error { return wait(ctx, half) }, nil
}

func (f *Fake) drawDelay() time.Duration {
	d := f.settings.DelayMin
	if spread := f.settings.DelayMax - d; spread > 0 {
		d += time.Duration(f.rng.Int64N(int64(spread) + 1))
	}
	return d
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return errors.WithStack(ctx.Err())
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// write runs a change under the lock with the injected faults.
func (f *Fake) write(ctx context.Context, host string, change func() error) error {
	leave, err := f.enter(ctx, host, true)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if f.late > 0 {
		f.late--
		time.AfterFunc(f.lateBy, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_ = change()
		})
		f.mu.Unlock()
		return ErrUnavailable
	}
	err = change()
	lose := f.lost > 0
	if lose {
		f.lost--
	}
	f.mu.Unlock()
	if lose {
		return ErrUnavailable
	}
	if leaveErr := leave(); leaveErr != nil {
		return leaveErr
	}
	return err
}

// read runs a lookup under the lock.
func (f *Fake) read(ctx context.Context, host string, lookup func() error) error {
	leave, err := f.enter(ctx, host, false)
	if err != nil {
		return err
	}
	f.mu.Lock()
	err = lookup()
	f.mu.Unlock()
	if leaveErr := leave(); leaveErr != nil {
		return leaveErr
	}
	return err
}

func (r Row) clone() Row {
	r.Value = bytes.Clone(r.Value)
	return r
}

type fakeTables struct {
	fake *Fake
	host string
}

func (t fakeTables) Get(ctx context.Context, key string) (Row, error) {
	row := Row{Key: key}
	err := t.fake.read(ctx, t.host, func() error {
		if found, ok := t.fake.rows[key]; ok {
			row = found.clone()
		}
		return nil
	})
	return row, err
}

func (t fakeTables) Scan(ctx context.Context, prefix string, after Revision) ([]Row, error) {
	var rows []Row
	err := t.fake.read(ctx, t.host, func() error {
		for key, row := range t.fake.rows {
			if strings.HasPrefix(key, prefix) && row.Revision > after {
				rows = append(rows, row.clone())
			}
		}
		return nil
	})
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, err
}

func (t fakeTables) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte) (Revision, error) {
	var revision Revision
	stored := bytes.Clone(value)
	err := t.fake.write(ctx, t.host, func() error {
		if t.fake.rows[key].Revision != expect {
			return ErrConflict
		}
		t.fake.revision++
		revision = t.fake.revision
		t.fake.rows[key] = Row{Key: key, Value: stored, Revision: revision}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

func (t fakeTables) Delete(ctx context.Context, key string, expect Revision) error {
	return t.fake.write(ctx, t.host, func() error {
		if t.fake.rows[key].Revision != expect {
			return ErrConflict
		}
		t.fake.revision++
		delete(t.fake.rows, key)
		return nil
	})
}

type fakeObjects struct {
	fake *Fake
	host string
}

func (o fakeObjects) Put(ctx context.Context, key string, data []byte) error {
	stored := bytes.Clone(data)
	return o.fake.write(ctx, o.host, func() error {
		o.fake.objects[key] = stored
		return nil
	})
}

func (o fakeObjects) Get(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	err := o.fake.read(ctx, o.host, func() error {
		stored, ok := o.fake.objects[key]
		if !ok {
			return ErrNotFound
		}
		data = bytes.Clone(stored)
		return nil
	})
	return data, err
}

type fakeHosts struct {
	fake *Fake
	host string
}

func (h fakeHosts) Hosts(ctx context.Context) ([]ListedHost, error) {
	var hosts []ListedHost
	err := h.fake.read(ctx, h.host, func() error {
		seen := time.Now().Add(-h.fake.settings.HostLag)
		for _, snapshot := range h.fake.lists {
			if !snapshot.since.After(seen) {
				hosts = slices.Clone(snapshot.hosts)
			}
		}
		return nil
	})
	return hosts, err
}
