package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["mixed"] = mixedCase }

const (
	// stutterEvery and stutterMS: each so many-th answer to a read of a connection comes again
	// after so many milliseconds.
	stutterEvery = 500
	stutterMS    = 2500
)

// mixedCase lets the databases send some answers again, late.
func mixedCase(d *deployment, trouble bool) (bool, error) {
	if trouble {
		d.extra = []string{"-stutter-every", strconv.Itoa(stutterEvery), "-stutter-ms", strconv.Itoa(stutterMS)}
	}
	if err := d.addGroup("ledger", 3); err != nil {
		return false, err
	}
	d.addRoute("bookings", "primary", "ledger", 800, 100, 0)
	const callers = 2
	for i := range callers {
		d.addTenant(fmt.Sprintf("tenant%d", i), fmt.Sprintf("key%d", i))
	}
	d.configure()
	if err := d.startHosts(9); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	w, err := connectAny(d, 0, "clerk", "bookings", "key0")
	if err != nil {
		return false, err
	}
	for i := range 20 {
		if r, err := w.query(fmt.Sprintf("WRITE roller%d site%d", i, i), time.Second); err != nil || !r.ok() {
			return false, fmt.Errorf("write %d: %v %s", i, err, r.code)
		}
	}
	var mu sync.Mutex
	answers := map[string]reply{}
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *client
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					if c, err = connectAny(d, i, fmt.Sprintf("foreman-%d", i+1), "bookings", fmt.Sprintf("key%d", i)); err != nil {
						c = nil
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				r, err := c.query(fmt.Sprintf("READ roller%d", n%20), time.Second)
				if err != nil {
					c.nc.Close()
					c = nil
					continue
				}
				mu.Lock()
				answers[r.id] = r
				mu.Unlock()
				if !r.ok() {
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	d.record.mu.Lock()
	runs := map[string][]run{}
	for id, x := range d.record.runs {
		runs[id] = append([]run(nil), x...)
	}
	d.record.mu.Unlock()
	wrong, total := 0, 0
	for id, r := range answers {
		if !r.ok() {
			continue
		}
		total++
		own := false
		for _, x := range runs[id] {
			own = own || x.signature == r.signature
		}
		if own {
			continue
		}
		wrong++
		asked := ""
		if len(runs[id]) > 0 {
			asked = runs[id][0].text
		}
		d.record.add("check", fmt.Sprintf("read id=%s, %q, was answered with success, rows %q and the signature %s, which no run of it has", id, asked, r.rows, r.signature))
	}
	d.record.add("check", fmt.Sprintf("%d of %d successful reads got the answer of another one", wrong, total))
	if total == 0 {
		return false, fmt.Errorf("no read succeeded")
	}
	return wrong > 0, nil
}
