package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
	"github.com/cranberryhinge/cranberryhinge/internal/host"
	"github.com/cranberryhinge/cranberryhinge/platform/standin"
)

// Options configure a run.
type Options struct {
	Plan Plan
	// Binary is the program to run, Dir where settings, logs and the report go.
	Binary, Dir string
	Out         io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Plan     Plan     `json:"plan"`
	Breaches []string `json:"breaches"`
	Asked    int64    `json:"asked"`
	Served   int64    `json:"served"`
	// LastShare is the share served in the last part of the run.
	LastShare float64 `json:"last_share"`
}

// zones of a run.
var zones = []string{"z1", "z2", "z3"}

// Sizes of the databases and of a run.
const (
	slots       = 3
	connections = 24
	lag         = 10 * time.Millisecond
	work        = 2 * time.Millisecond
	promotion   = 300 * time.Millisecond
	burst       = 20
	customers   = 4
	memoryMB    = 128
	descriptors = 4000
	keyGrace    = 5 * time.Second
	// sound is how long after a fault planned work is judged again.
	sound = 4 * time.Second
	// lastShareLeast is the share that has to be served once all faults are over.
	lastShareLeast = 0.75
)

// run is a run in progress.
type run struct {
	Options
	world     *standin.World
	processes []*process
	started   time.Time

	asked, served         atomic.Int64
	lastAsked, lastServed atomic.Int64
	sessions              atomic.Int64

	mu sync.Mutex
	// unsound is the end of the last unplanned fault so far.
	unsound time.Time
}

// Run carries the plan out.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{Options: o, started: time.Now()}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, errors.Wrap(err, "create directory")
	}
	if err := r.prepare(); err != nil {
		return Result{}, err
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(ctx, o.Plan.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { r.inject(ctx) })
	wg.Go(func() { r.watchProcessors(ctx) })
	for i := range o.Plan.Callers {
		wg.Go(func() { r.call(ctx, i) })
	}
	wg.Wait()
	return r.result(), r.save()
}

func (r *run) prepare() error {
	var groups []standin.GroupSettings
	for i := range r.Plan.Groups {
		groups = append(groups, standin.GroupSettings{
			Name: fmt.Sprintf("g%d", i), Zones: zones, Slots: slots, Connections: connections, Lag: lag, Work: work, Promotion: promotion,
		})
	}
	var who []standin.Customer
	for i := range customers {
		name := fmt.Sprintf("c%d", i)
		who = append(who, standin.Customer{Name: name, Keys: []string{"key-" + name}, Limit: standin.Limit{Rate: r.Plan.Rate, Burst: burst}})
	}
	var err error
	if r.world, err = standin.NewWorld(groups, who); err != nil {
		return errors.Wrap(err, "start stand-ins")
	}
	for i := range r.Plan.Hosts {
		p, err := r.process(i)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// process prepares a host with a relay before its peer listener and one before
// the store.
func (r *run) process(i int) (*process, error) {
	addresses := make([]string, 4)
	for j := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a port")
		}
		addresses[j] = l.Addr().String()
		_ = l.Close()
	}
	peers, err := faultnet.Listen("", addresses[1])
	if err != nil {
		return nil, err
	}
	store, err := faultnet.Listen("", r.world.Store.Address())
	if err != nil {
		return nil, err
	}
	return &process{
		dir: r.Dir, binary: r.Binary, peers: peers, store: store,
		settings: host.Settings{
			Name: fmt.Sprintf("h%d", i), Zone: zones[i%len(zones)], Zones: zones,
			Listen: host.ListenSettings{
				Client: addresses[0], Peer: addresses[1], Advertise: peers.Address(), Ready: addresses[2], Metrics: addresses[3],
			},
			Store: store.Address(), Promotion: r.world.PromotionAddress(), KeyGrace: config.Duration(keyGrace),
			RateWindow: config.Duration(5 * time.Second), RateOverage: 0.1, RateSlack: 20,
			StopGrace: config.Duration(stopGrace), MemoryMB: memoryMB, Descriptors: descriptors, Cores: 1, ProcessorShare: 1, LinkMbps: 1000, LogLevel: "info",
		},
	}, nil
}

func (r *run) close() {
	for _, p := range r.processes {
		p.end()
	}
	r.world.Close()
}

// inject carries the events out.
func (r *run) inject(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait() // an event that ends later would start its process again
	for _, e := range r.Plan.Events {
		select {
		case <-time.After(time.Until(r.started.Add(e.At))):
		case <-ctx.Done():
			return
		}
		fmt.Fprintf(r.Out, "%v %s\n", time.Since(r.started).Round(time.Millisecond), e)
		wg.Go(func() {
			if !planned[e.Kind] {
				r.fault(e.For)
			}
			r.event(e)
			if !planned[e.Kind] {
				r.fault(0)
			}
		})
	}
}

// fault notes that an unplanned fault lasts for the time.
func (r *run) fault(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end := time.Now().Add(d); end.After(r.unsound) {
		r.unsound = end
	}
}

// soundSince reports whether no unplanned fault was there from sound before the
// time.
func (r *run) soundSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.Sub(r.unsound) > sound
}

func (r *run) event(e Event) {
	p := r.processes[e.Target%len(r.processes)]
	g := r.world.Groups[e.Target%len(r.world.Groups)]
	d := g.Databases()[e.Target/7%len(g.Databases())]
	switch e.Kind {
	case KillHost:
		p.kill(e.For)
	case KillAll:
		var wg sync.WaitGroup
		for _, p := range r.processes {
			wg.Go(func() { p.kill(e.For) })
		}
		wg.Wait()
	case StopHost:
		if !p.stop() && r.soundSince(time.Now().Add(-stopGrace)) {
			r.world.Oracle.Breach("LOST: %s did not end within its grace", p.settings.Name)
		}
	case PauseHost:
		p.pause(e.For)
	case CutPeers, SilencePeers, OneWayPeers:
		mode := map[Kind]faultnet.Mode{CutPeers: faultnet.Cut, SilencePeers: faultnet.Silent, OneWayPeers: faultnet.SilentToTarget}[e.Kind]
		during(p.peers, mode, e.For)
	case DelayPeers:
		p.peers.SetDelay(80 * time.Millisecond)
		time.Sleep(e.For)
		p.peers.SetDelay(0)
	case CutStore:
		during(p.store, faultnet.Cut, e.For)
	case SilenceStore:
		during(p.store, faultnet.Silent, e.For)
	case StoreDown, StoreSilent, StoreSlow, StoreLosing:
		mode := map[Kind]standin.Mode{StoreDown: standin.Unavailable, StoreSilent: standin.Silent, StoreSlow: standin.Slow, StoreLosing: standin.Losing}[e.Kind]
		r.world.Store.SetMode(mode)
		time.Sleep(e.For)
		r.world.Store.SetMode(standin.Up)
	case StoreForgets:
		r.world.Store.Forget()
	case OvertakePaused, OvertakeIsolated, WithdrawUnseen:
		r.compoundEvent(e)
	default:
		r.databaseEvent(e, g, d)
	}
}

func during(relay *faultnet.Relay, mode faultnet.Mode, d time.Duration) {
	relay.Set(mode)
	time.Sleep(d)
	relay.Set(faultnet.Pass)
}

func (r *run) databaseEvent(e Event, g *standin.Group, d *standin.Database) {
	switch e.Kind {
	case CrashPrimary, CrashReplica:
		if e.Kind == CrashPrimary {
			d = g.Primary()
		}
		d.SetDown(true)
		time.Sleep(e.For)
		d.SetDown(false)
	case StuckReplica:
		d.SetStuck(true)
		time.Sleep(e.For)
		d.SetStuck(false)
	case LoseAnswers:
		// The primary loses answers, because only its writes can be in doubt.
		d = g.Primary()
		d.SetLoss(0.2)
		time.Sleep(e.For)
		d.SetLoss(0)
	case SlowDatabase:
		d.SetSlow(60 * time.Millisecond)
		time.Sleep(e.For)
		d.SetSlow(0)
	case DrainDatabase:
		r.world.Register(g, d, "draining")
		time.Sleep(e.For)
		r.world.Register(g, d, "ready")
	case LateOrders:
		r.world.LoseOrders(true)
		time.Sleep(e.For)
		r.world.LoseOrders(false)
	case ZoneOut:
		zone := zones[e.Target%len(zones)]
		r.world.Evacuate(zone, true)
		time.Sleep(e.For)
		r.world.Evacuate(zone, false)
	case WithdrawKey:
		i := e.Target % customers
		r.world.Withdraw(i, fmt.Sprintf("key-%d-%d", i, time.Now().UnixNano()))
	case Configure:
		r.world.Configure()
	case Malformed:
		r.world.Malformed()
	}
}

// result sums the run up.
func (r *run) result() Result {
	res := Result{Plan: r.Plan, Asked: r.asked.Load(), Served: r.served.Load(), LastShare: 1}
	if n := r.lastAsked.Load(); n > 0 {
		res.LastShare = float64(r.lastServed.Load()) / float64(n)
	}
	if res.LastShare < lastShareLeast && r.Plan.Rate >= ampleRate {
		r.world.Oracle.Breach("RECOVER: %.2f served after all faults were over", res.LastShare)
	}
	res.Breaches = r.world.Oracle.Breaches()
	return res
}

// save writes the result beside the logs.
func (r *run) save() error {
	data, err := json.MarshalIndent(r.result(), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(r.Dir, "result.json"), data, 0o600), "write result")
}
