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
// includes that of the stand-in database.
func pollSeries(ctx context.Context, o Options) ([]Series, error) {
	settings := standin.DatabaseSettings{Name: "db", Address: "127.0.0.1:0", Primary: "db", Term: 1, User: "u", Password: "p"}
	db, err := standin.Start(settings)
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-in database")
	}
	defer db.Kill()
	byteCount := &byteCounter{}
	conn, err := dbconn.Dial(ctx, db.Address(), dbconn.Credentials{User: "u", Password: "p", Database: "app", Dial: byteCount.dial}, "cranberryhinge/scale/0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	var cpus, bytes []Point
	for _, polls := range o.Polls {
		before := byteCount.bytes.Load()
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
		bytes = append(bytes, Point{float64(polls), float64(byteCount.bytes.Load() - before)})
	}
	return []Series{fitSeries("poll_cpu", "us", "poll", cpus), fitSeries("poll_bytes", "B", "poll", bytes)}, nil
}

// minterFleet is a limit.Fleet in which this host holds every role.
type minterFleet struct{ doc *config.Document }

func (minterFleet) Zone() string                       { return "z" }
func (minterFleet) Holder(string) (string, bool, bool) { return "", true, true }
func (minterFleet) MintEpoch(string) (uint64, bool)    { return 1, true }
func (f minterFleet) Document() *config.Document       { return f.doc }

// minterSeries measures the cost of a grant request that also settles the previous
// grant, as a function of the number of customers and of the number of grants that
// are not settled.
func minterSeries(ctx context.Context, o Options) ([]Series, error) {
	var byCustomers, byUnsettled []Point
	for _, n := range o.Customers {
		micros, err := grantCPUMicros(ctx, n, 0, o.CallsPerMeasurement)
		if err != nil {
			return nil, err
		}
		byCustomers = append(byCustomers, Point{float64(n), micros})
	}
	for _, n := range o.UnsettledGrants {
		micros, err := grantCPUMicros(ctx, 1, n, o.CallsPerMeasurement)
		if err != nil {
			return nil, err
		}
		byUnsettled = append(byUnsettled, Point{float64(n), micros})
	}
	return []Series{
		fitSeries("grant_cpu", "us/grant", "customer", byCustomers),
		fitSeries("grant_cpu_open", "us/grant", "grant not settled", byUnsettled),
	}, nil
}

// grantCPUMicros returns the processor time in microseconds of one grant for the
// given numbers of customers and unsettled grants.
func grantCPUMicros(ctx context.Context, customers, unsettled, calls int) (float64, error) {
	doc := syntheticDocument(1)
	doc.Inventory.Customers, doc.Rules.Limits, doc.Rules.Routes = nil, nil, nil
	customerNames := make([]string, customers)
	for i := range customerNames {
		customerNames[i] = customerName(i)
		doc.Inventory.Customers = append(doc.Inventory.Customers, config.Customer{Name: customerNames[i]})
		doc.Rules.Limits = append(doc.Rules.Limits, config.Limit{Customer: customerNames[i], Rate: 1e6, Burst: 1e6})
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
	grant := func(name string, settledGrant uint64) (uint64, error) {
		req := &peerpb.GrantRequest{Customer: name, Amount: uint64(customer.OneRequest), ValidUs: customer.GrantValidity.Microseconds(), Role: "rate/z/0"}
		if settledGrant != 0 {
			req.Settlements = []*peerpb.Settlement{{Grant: settledGrant}}
		}
		resp, err := minters.Grant(ctx, req)
		if err == nil && resp.GetGrant() == 0 && now > time.Second {
			err = errors.New("minter returned no grant")
		}
		return resp.GetGrant(), err
	}
	lastGrants := make([]uint64, customers)
	// The first calls create the minters. A new minter keeps the whole burst
	// reserved until grants of a previous holder of the role have expired.
	for _, name := range customerNames {
		if _, err := grant(name, 0); err != nil {
			return 0, err
		}
	}
	now += 2 * time.Second
	for range unsettled {
		if _, err := grant(customerNames[0], 0); err != nil {
			return 0, err
		}
	}
	cpu, err := measureCPU(func() (err error) {
		for i := range calls {
			now += time.Microsecond
			c := i % customers
			if lastGrants[c], err = grant(customerNames[c], lastGrants[c]); err != nil {
				return err
			}
		}
		return nil
	})
	return float64(cpu.Nanoseconds()) / 1e3 / float64(calls), err
}
