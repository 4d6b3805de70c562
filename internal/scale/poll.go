package scale

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/limit"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
)

// pollSeries measures status polls of a stand-in database. The processor time
// includes the stand-in's.
func pollSeries(ctx context.Context, o Options) ([]Series, error) {
	settings := standin.DatabaseSettings{Name: "db", Address: "127.0.0.1:0", Primary: "db", Term: 1, User: "u", Password: "p"}
	db, err := standin.Start(settings)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	defer db.Kill()
	count := &counter{}
	conn, err := dbconn.Dial(ctx, db.Address(), dbconn.Credentials{User: "u", Password: "p", Database: "app", Dial: count.dial}, "cranberryhinge/scale/0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	var cpus, bytes []Point
	for _, polls := range o.Polls {
		before := count.bytes.Load()
		cpu, err := measureCPU(func() error {
			for range polls {
				if _, err := conn.Status(ctx); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		cpus = append(cpus, Point{float64(polls), float64(cpu.Nanoseconds()) / 1e3})
		bytes = append(bytes, Point{float64(polls), float64(count.bytes.Load() - before)})
	}
	return []Series{fitted("poll_cpu", "us", "poll", cpus), fitted("poll_bytes", "B", "poll", bytes)}, nil
}

// minterFleet is a fleet in which this host holds every role.
type minterFleet struct{ doc *config.Document }

func (minterFleet) Zone() string                       { return "z" }
func (minterFleet) Holder(string) (string, bool, bool) { return "", true, true }
func (minterFleet) MintEpoch(string) (uint64, bool)    { return 1, true }
func (f minterFleet) Document() *config.Document       { return f.doc }

// minterSeries measures a grant with the settlement of the one before, against
// the number of customers and against the number of grants that are not settled.
func minterSeries(ctx context.Context, o Options) ([]Series, error) {
	var byCustomers, byOpen []Point
	for _, n := range o.Customers {
		micros, err := grantCost(ctx, n, 0, o.Calls)
		if err != nil {
			return nil, err
		}
		byCustomers = append(byCustomers, Point{float64(n), micros})
	}
	for _, n := range o.OpenGrants {
		micros, err := grantCost(ctx, 1, n, o.Calls)
		if err != nil {
			return nil, err
		}
		byOpen = append(byOpen, Point{float64(n), micros})
	}
	return []Series{
		fitted("grant_cpu", "us/grant", "customer", byCustomers),
		fitted("grant_cpu_open", "us/grant", "grant not settled", byOpen),
	}, nil
}

// grantCost returns the processor time in microseconds of one grant.
func grantCost(ctx context.Context, customers, open, calls int) (float64, error) {
	doc := sized(1)
	doc.Inventory.Customers, doc.Rules.Limits, doc.Rules.Routes = nil, nil, nil
	names := make([]string, customers)
	for i := range names {
		names[i] = customerName(i)
		doc.Inventory.Customers = append(doc.Inventory.Customers, config.Customer{Name: names[i]})
		doc.Rules.Limits = append(doc.Rules.Limits, config.Limit{Customer: names[i], Rate: 1e6, Burst: 1e6})
	}
	data, err := config.Encode(doc)
	if err != nil {
		return 0, err
	}
	if doc, err = config.Decode(data); err != nil {
		return 0, err
	}
	var now time.Duration
	minters := limit.NewMinters(minterFleet{doc}, func() time.Duration { return now })
	grant := func(name string, settle uint64) (uint64, error) {
		req := &peerpb.GrantRequest{Customer: name, Amount: uint64(customer.OneRequest), ValidUs: customer.GrantValidity.Microseconds(), Role: "rate/z/0"}
		if settle != 0 {
			req.Settlements = []*peerpb.Settlement{{Grant: settle}}
		}
		resp, err := minters.Grant(ctx, req)
		if err == nil && resp.GetGrant() == 0 && now > time.Second {
			err = errors.New("the minter granted nothing")
		}
		return resp.GetGrant(), err
	}
	last := make([]uint64, customers)
	// The first calls start the minters; their burst stays reserved until the
	// grants of a predecessor have expired.
	for _, name := range names {
		if _, err := grant(name, 0); err != nil {
			return 0, err
		}
	}
	now += 2 * time.Second
	for range open {
		if _, err := grant(names[0], 0); err != nil {
			return 0, err
		}
	}
	cpu, err := measureCPU(func() (err error) {
		for i := range calls {
			now += time.Microsecond
			c := i % customers
			if last[c], err = grant(names[c], last[c]); err != nil {
				return err
			}
		}
		return nil
	})
	return float64(cpu.Nanoseconds()) / 1e3 / float64(calls), err
}
