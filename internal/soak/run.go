package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
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
	// Binary is the path of the host program. Dir is the directory for settings, logs
	// and the result.
	Binary, Dir string
	// Out receives a line for each event.
	Out io.Writer
}

// Result is the outcome of a run. Attempted and Served count operations of the
// callers.
type Result struct {
	Plan      Plan     `json:"plan"`
	Breaches  []string `json:"breaches"`
	Attempted int64    `json:"asked"`
	Served    int64    `json:"served"`
	// FinalServedShare is the share of operations in the final window that were
	// served; 1 if there were none.
	FinalServedShare float64 `json:"last_share"`
	// RepeatedAnswers is the number of answers that databases sent a second time.
	RepeatedAnswers int64 `json:"repeated_answers,omitempty"`
}

// zones are the availability zones of a run.
var zones = []string{"z1", "z2", "z3"}

// Settings of the databases, the customers and the hosts.
const (
	databaseSlots       = 3
	databaseConnections = 24
	replicationDelay    = 10 * time.Millisecond
	serviceTime         = 2 * time.Millisecond
	promotionTime       = 300 * time.Millisecond
	rateBurst           = 20
	customerCount       = 4
	hostMemoryMB        = 128
	hostDescriptors     = 4000
	keyGrace            = 5 * time.Second
	// faultSettleTime is the time after an unplanned fault in which failures of planned
	// operations do not count as breaches.
	faultSettleTime = 4 * time.Second
	// minFinalShare is the share of operations that must be served once all faults are
	// over.
	minFinalShare = 0.75
	// usageLate is the time after the end of a window at which its usage report is due,
	// usageSettleTime the time after the last fault from which on no window may be
	// missing.
	usageLate       = 4 * time.Second
	usageSettleTime = 10 * time.Second
	usageLease      = time.Second
)

type run struct {
	Options
	env       *standin.Environment
	processes []*process
	startTime time.Time

	attempted, served           atomic.Int64
	finalAttempted, finalServed atomic.Int64
	sessions                    atomic.Int64
	repeats                     repeatCounts
	restores                    sync.Mutex

	mu sync.Mutex
	// lastFaultEnd is the latest end of all unplanned faults so far.
	lastFaultEnd time.Time
}

// Run executes the plan and writes the result to result.json in o.Dir. It returns an
// error if the stand-ins or the hosts cannot be started or the result cannot be
// written; breaches are part of the result.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{Options: o, startTime: time.Now()}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, errors.Wrap(err, "create directory")
	}
	if err := r.start(); err != nil {
		return Result{}, err
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(ctx, o.Plan.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { r.injectEvents(ctx) })
	wg.Go(func() { r.checkProcessorShares(ctx) })
	for i := range o.Plan.Callers {
		wg.Go(func() { r.runCaller(ctx, i) })
	}
	wg.Wait()
	return r.finish()
}

// finish forms the result once, because that records a breach if service did not recover,
// and saves it.
func (r *run) finish() (Result, error) {
	res := r.result()
	return res, r.saveResult(res)
}

func (r *run) start() error {
	var groups []standin.GroupSettings
	for i := range r.Plan.Groups {
		groups = append(groups, standin.GroupSettings{
			Name: fmt.Sprintf("g%d", i), Zones: zones, Slots: databaseSlots, Connections: databaseConnections, ReplicationDelay: replicationDelay, ServiceTime: serviceTime, PromotionTime: promotionTime,
		})
	}
	var customers []standin.Customer
	for i := range customerCount {
		name := fmt.Sprintf("c%d", i)
		customers = append(customers, standin.Customer{Name: name, Keys: []string{"key-" + name}, Limit: standin.Limit{Rate: r.Plan.Rate, Burst: rateBurst}})
	}
	var err error
	if r.env, err = standin.NewEnvironment(groups, customers); err != nil {
		return errors.Wrap(err, "start stand-ins")
	}
	for i := range r.Plan.Hosts {
		p, err := r.newProcess(i)
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

// newProcess returns host i, not yet started, with a relay in front of its peer listener
// and another one in front of the store.
func (r *run) newProcess(i int) (*process, error) {
	addresses := make([]string, 4)
	for j := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		addresses[j] = l.Addr().String()
		_ = l.Close()
	}
	peers, err := faultnet.Listen("", addresses[1])
	if err != nil {
		return nil, err
	}
	store, err := faultnet.Listen("", r.env.Store.Address())
	if err != nil {
		return nil, err
	}
	return &process{
		dir: r.Dir, binary: r.Binary, peerRelay: peers, storeRelay: store,
		settings: host.Settings{
			Name: fmt.Sprintf("h%d", i), Zone: zones[i%len(zones)], Zones: zones,
			Listen: host.ListenSettings{
				Client: addresses[0], Peer: addresses[1], Advertise: peers.Address(), Ready: addresses[2], Metrics: addresses[3],
			},
			Store: store.Address(), Promotion: r.env.PromotionAddress(), KeyGrace: config.Duration(keyGrace),
			UsageWindow: config.Duration(standin.UsageWindow), UsageLate: config.Duration(usageLate), UsageLease: config.Duration(usageLease),
			RateWindow: config.Duration(5 * time.Second), RateOverage: 0.1, RateSlack: 20,
			StopGrace: config.Duration(stopGrace), MemoryMB: hostMemoryMB, Descriptors: hostDescriptors, Cores: 1, ProcessorShare: 1, LinkMbps: 1000, LogLevel: "info",
			Requirements: r.Plan.Requirements,
		},
	}, nil
}

func (r *run) close() {
	for _, p := range r.processes {
		p.terminate()
	}
	r.env.Close()
}

// injectEvents runs each event of the plan at its time and returns when all have ended.
func (r *run) injectEvents(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait() // an event that ended after the run would restart its process
	for _, e := range r.Plan.Events {
		select {
		case <-time.After(time.Until(r.startTime.Add(e.At))):
		case <-ctx.Done():
			return
		}
		fmt.Fprintf(r.Out, "%v %s\n", time.Since(r.startTime).Round(time.Millisecond), e)
		wg.Go(func() {
			if !plannedKinds[e.Kind] {
				r.recordFault(e.Duration)
			}
			r.runEvent(e)
			if !plannedKinds[e.Kind] {
				r.recordFault(0)
			}
		})
	}
}

// recordFault records an unplanned fault that lasts for d from now.
func (r *run) recordFault(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end := time.Now().Add(d); end.After(r.lastFaultEnd) {
		r.lastFaultEnd = end
	}
}

// noRecentFault reports whether all unplanned faults ended more than faultSettleTime
// before t.
func (r *run) noRecentFault(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.Sub(r.lastFaultEnd) > faultSettleTime
}

func (r *run) runEvent(e Event) {
	p := r.processes[e.Target%len(r.processes)]
	g := r.env.Groups[e.Target%len(r.env.Groups)]
	d := g.Databases()[e.Target/7%len(g.Databases())]
	switch e.Kind {
	case KillHost:
		p.killAndRestart(e.Duration)
	case KillAll:
		var wg sync.WaitGroup
		for _, p := range r.processes {
			wg.Go(func() { p.killAndRestart(e.Duration) })
		}
		wg.Wait()
	case StopHost:
		if !p.stopAndRestart() && r.noRecentFault(time.Now().Add(-stopGrace)) {
			r.env.Oracle.RecordBreach("LOST: %s did not exit within its stop grace period", p.settings.Name)
		}
	case PauseHost:
		p.pause(e.Duration)
	case CutPeers, SilencePeers, OneWayPeers:
		mode := map[Kind]faultnet.Mode{CutPeers: faultnet.Cut, SilencePeers: faultnet.Silent, OneWayPeers: faultnet.SilentToTarget}[e.Kind]
		setModeFor(p.peerRelay, mode, e.Duration)
	case DelayPeers:
		p.peerRelay.SetDelay(80 * time.Millisecond)
		time.Sleep(e.Duration)
		p.peerRelay.SetDelay(0)
	case CutStore:
		setModeFor(p.storeRelay, faultnet.Cut, e.Duration)
	case SilenceStore:
		setModeFor(p.storeRelay, faultnet.Silent, e.Duration)
	case StoreDown, StoreSilent, StoreSlow, StoreLosesAnswers:
		mode := map[Kind]standin.Mode{StoreDown: standin.Unavailable, StoreSilent: standin.Silent, StoreSlow: standin.Slow, StoreLosesAnswers: standin.LosingAnswers}[e.Kind]
		r.env.Store.SetMode(mode)
		time.Sleep(e.Duration)
		r.env.Store.SetMode(standin.Up)
	case StoreDropsHistory:
		r.env.Store.DropHistory()
	case RestoreStore:
		r.restoreStore(e)
	case ReplacePrimariesWhilePaused, ReplacePrimariesWhileIsolated, WithdrawKeyWhileStoreSilent:
		r.runCompoundEvent(e)
	default:
		r.runDatabaseEvent(e, g, d)
	}
}

func setModeFor(relay *faultnet.Relay, mode faultnet.Mode, d time.Duration) {
	relay.SetMode(mode)
	time.Sleep(d)
	relay.SetMode(faultnet.Pass)
}

func (r *run) runDatabaseEvent(e Event, g *standin.Group, d *standin.Database) {
	switch e.Kind {
	case CrashPrimary, CrashReplica:
		if e.Kind == CrashPrimary {
			d = g.Primary()
		}
		d.SetDown(true)
		time.Sleep(e.Duration)
		d.SetDown(false)
	case RestartEmpty:
		if p := g.Primary(); e.Target%2 == 0 && p.ID != standin.NoPrimary {
			d = p
		}
		d.SetDown(true)
		d.LoseLog()
		time.Sleep(e.Duration)
		d.SetDown(false)
		r.env.Register(g, d, "ready")
	case PauseReplicaApply:
		d.SetApplyPaused(true)
		time.Sleep(e.Duration)
		d.SetApplyPaused(false)
	case LoseAnswers:
		// Only the primary runs writes, whose outcome a lost answer leaves unknown.
		d = g.Primary()
		d.SetAnswerLoss(0.2)
		time.Sleep(e.Duration)
		d.SetAnswerLoss(0)
	case RepeatAnswers:
		r.repeatAnswers(e, g, d)
	case SlowDatabase:
		d.SetExtraLatency(60 * time.Millisecond)
		time.Sleep(e.Duration)
		d.SetExtraLatency(0)
	case DrainDatabase:
		r.env.Register(g, d, "draining")
		time.Sleep(e.Duration)
		r.env.Register(g, d, "ready")
	case LosePromotionAnswers:
		r.env.SetLosePromotionAnswers(true)
		time.Sleep(e.Duration)
		r.env.SetLosePromotionAnswers(false)
	case ZoneOut:
		zone := zones[e.Target%len(zones)]
		r.env.SetZoneOut(zone, true)
		time.Sleep(e.Duration)
		r.env.SetZoneOut(zone, false)
	case WithdrawKey:
		i := e.Target % customerCount
		r.env.ReplaceKeys(i, fmt.Sprintf("key-%d-%d", i, time.Now().UnixNano()))
	case WriteConfiguration:
		r.env.WriteConfiguration()
	case WriteMalformedEntry:
		r.env.WriteMalformedEntry()
	}
}

// result returns the figures of the run and all breaches. It records a breach if service
// did not recover, except in runs with a limiting rate.
func (r *run) result() Result {
	res := Result{Plan: r.Plan, Attempted: r.attempted.Load(), Served: r.served.Load(), FinalServedShare: 1, RepeatedAnswers: r.repeatedAnswers()}
	if n := r.finalAttempted.Load(); n > 0 {
		res.FinalServedShare = float64(r.finalServed.Load()) / float64(n)
	}
	if res.FinalServedShare < minFinalShare && r.Plan.Rate >= nonLimitingRate {
		r.env.Oracle.RecordBreach("RECOVER: only %.2f of the operations were served after the end of all faults", res.FinalServedShare)
	}
	r.checkUsage()
	res.Breaches = r.env.Oracle.Breaches()
	return res
}

// checkUsage records a breach for each usage report that is missing although all faults
// were over. The counts are not checked: planned stops may come until the end of the run.
func (r *run) checkUsage() {
	r.mu.Lock()
	calmSince := r.lastFaultEnd
	r.mu.Unlock()
	if calmSince.IsZero() {
		return
	}
	from, to := r.env.Usage.Window(calmSince.Add(usageSettleTime)), r.env.Usage.Window(time.Now().Add(-2*usageLate))
	for _, p := range r.env.Usage.Check(from, to, r.Plan.Duration, 0, math.MaxFloat64) {
		r.env.Oracle.RecordBreach("USAGE: %s", p)
	}
}

// saveResult writes the result to result.json.
func (r *run) saveResult(res Result) error {
	data, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(r.Dir, "result.json"), data, 0o600), "write result")
}
