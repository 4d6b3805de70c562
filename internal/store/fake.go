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

// ErrUnavailable reports an outage of the fake, or a write whose response was lost
// or whose effect was delayed by fault injection.
var ErrUnavailable = errors.New("store: unavailable")

// FakeSettings are the settings of a Fake.
type FakeSettings struct {
	// DelayMin and DelayMax bound the duration of each call. Half of the
	// duration passes before the call takes effect.
	DelayMin time.Duration `yaml:"delay_min"`
	DelayMax time.Duration `yaml:"delay_max"`
	// HostLag is the age of the host list that callers receive.
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
		return s, errors.Wrap(err, "decode platform settings")
	}
	return s, nil
}

// Counts are the numbers of calls that reached the fake. Calls that fail in an
// outage count; calls of a disconnected host do not.
type Counts struct {
	Reads  int64
	Writes int64
}

// Fake is an in-memory platform with fault injection.
type Fake struct {
	mu            sync.Mutex
	settings      FakeSettings
	rng           *rand.Rand
	rows          map[string]Row
	objects       map[string][]byte
	revision      Revision
	hostSnapshots []hostSnapshot
	counts        map[string]Counts

	outage       bool
	disconnected map[string]bool
	// answersToLose is the number of next writes that take effect at once but
	// return an error. effectsToDelay is the number of next writes that return
	// an error and take effect effectDelay later.
	answersToLose  int
	effectsToDelay int
	effectDelay    time.Duration
}

type hostSnapshot struct {
	setAt time.Time
	hosts []ListedHost
}

// NewFake returns a Fake without rows and objects.
func NewFake(settings FakeSettings) *Fake {
	return &Fake{
		settings:      settings,
		rng:           rand.New(rand.NewPCG(settings.Seed, 1)),
		rows:          make(map[string]Row),
		objects:       make(map[string][]byte),
		hostSnapshots: []hostSnapshot{{hosts: slices.Clone(settings.Hosts)}},
		counts:        make(map[string]Counts),
		disconnected:  make(map[string]bool),
	}
}

// SetOutage makes every call fail without effect, after half of its duration,
// while on is set.
func (f *Fake) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = on
}

// SetDelay sets the range of the duration of each call.
func (f *Fake) SetDelay(shortest, longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.DelayMin, f.settings.DelayMax = shortest, longest
}

// LoseAnswers makes the next n writes take effect and then return an error.
func (f *Fake) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answersToLose = n
}

// DelayEffects makes the next n writes return an error and take effect later,
// if the row is still at the expected revision by then.
func (f *Fake) DelayEffects(n int, by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.effectsToDelay, f.effectDelay = n, by
}

// DisconnectHosts disconnects the hosts: their calls block until their deadline and
// have no effect.
func (f *Fake) DisconnectHosts(hosts ...string) { f.setDisconnected(true, hosts) }

// ReconnectHosts reconnects the hosts.
func (f *Fake) ReconnectHosts(hosts ...string) { f.setDisconnected(false, hosts) }

func (f *Fake) setDisconnected(on bool, hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range hosts {
		f.disconnected[host] = on
	}
}

// Counts returns the numbers of calls of all hosts.
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

// CountsOf returns the numbers of calls of one host.
func (f *Fake) CountsOf(host string) Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[host]
}

// SetHosts replaces the host list. Callers receive the new list after HostLag.
func (f *Fake) SetHosts(hosts ...ListedHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostSnapshots = append(f.hostSnapshots, hostSnapshot{setAt: time.Now(), hosts: slices.Clone(hosts)})
}

// Services holds the platform's services as one host reaches them.
type Services struct {
	Tables  TableService
	Objects ObjectStore
	Hosts   HostList
}

// ServicesFor returns the services as the named host reaches them.
func (f *Fake) ServicesFor(host string) Services {
	return Services{Tables: fakeTables{f, host}, Objects: fakeObjects{f, host}, Hosts: fakeHosts{f, host}}
}

// beginCall counts a call and waits for the first half of its duration. The
// function that it returns waits for the second half.
func (f *Fake) beginCall(ctx context.Context, host string, write bool) (func() error, error) {
	f.mu.Lock()
	if f.disconnected[host] {
		f.mu.Unlock()
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "store: calling host is disconnected")
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
	if err := sleep(ctx, half); err != nil {
		return nil, err
	}
	f.mu.Lock()
	outage := f.outage
	f.mu.Unlock()
	if outage {
		return nil, ErrUnavailable
	}
	return func() error { return sleep(ctx, half) }, nil
}

func (f *Fake) drawDelay() time.Duration {
	d := f.settings.DelayMin
	if spread := f.settings.DelayMax - d; spread > 0 {
		d += time.Duration(f.rng.Int64N(int64(spread) + 1))
	}
	return d
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
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

// write executes a change under the lock, with the injected faults.
func (f *Fake) write(ctx context.Context, host string, change func() error) error {
	endCall, err := f.beginCall(ctx, host, true)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if f.effectsToDelay > 0 {
		f.effectsToDelay--
		time.AfterFunc(f.effectDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_ = change()
		})
		f.mu.Unlock()
		return ErrUnavailable
	}
	err = change()
	loseAnswer := f.answersToLose > 0
	if loseAnswer {
		f.answersToLose--
	}
	f.mu.Unlock()
	if loseAnswer {
		return ErrUnavailable
	}
	if endErr := endCall(); endErr != nil {
		return endErr
	}
	return err
}

// read executes a lookup under the lock.
func (f *Fake) read(ctx context.Context, host string, lookup func() error) error {
	endCall, err := f.beginCall(ctx, host, false)
	if err != nil {
		return err
	}
	f.mu.Lock()
	err = lookup()
	f.mu.Unlock()
	if endErr := endCall(); endErr != nil {
		return endErr
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
		cutoff := time.Now().Add(-h.fake.settings.HostLag)
		for _, snapshot := range h.fake.hostSnapshots {
			if !snapshot.setAt.After(cutoff) {
				hosts = slices.Clone(snapshot.hosts)
			}
		}
		return nil
	})
	return hosts, err
}
