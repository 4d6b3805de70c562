package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["values"] = valuesCase }

// valuesCase opens sessions with large values, which their home hosts keep for each connection
// to a database.
func valuesCase(d *deployment, trouble bool) (bool, error) {
	services := []string{"ledger", "fleet", "dispatch"}
	for _, s := range services {
		if err := d.addGroup(s, 2); err != nil {
			return false, err
		}
		d.addRoute(s+"P", "primary", s, 800, 100, 0)
		d.addRoute(s+"B", "bounded_staleness", s, 1200, 300, 1500)
	}
	const tenants = 8
	for i := range tenants {
		d.addTenant(fmt.Sprintf("tenant%d", i), fmt.Sprintf("key%d", i))
	}
	d.configure()
	if err := d.startHosts(9); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	size := 1_000_000
	if !trouble {
		size = 1000
	}
	value := strings.Repeat("v", size)
	stop := make(chan struct{})
	ends := &endCounter{count: map[string]int{}, peak: map[string]int{}}
	for _, h := range d.hosts {
		go d.limitMemory(h, ends, stop)
	}
	// In each wave, two tenants open two sessions each at six hosts, on one service.
	var mu sync.Mutex
	codes := map[string]int{}
	end := time.Now().Add(85 * time.Second)
	for wave := 0; time.Now().Before(end) && !ends.fault(); wave++ {
		var wg sync.WaitGroup
		for i, h := range []int{1, 2, 3, 5, 6, 7} {
			for n := range 4 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(time.Duration(10*i+40*n) * time.Millisecond)
					code := d.holdValues(h, services[wave/4%3]+"B", fmt.Sprintf("key%d", (2*wave+n%2)%tenants), value)
					mu.Lock()
					codes[code]++
					mu.Unlock()
				}()
			}
		}
		wg.Wait()
	}
	close(stop)
	d.record.add("check", fmt.Sprintf("sessions by outcome: %v", codes))
	ends.mu.Lock()
	for _, h := range d.hosts {
		d.record.add("check", fmt.Sprintf("%s was over its memory %d times, its peak was %d MiB of %d", h.name, ends.count[h.name], ends.peak[h.name], d.memory))
	}
	ends.mu.Unlock()
	return ends.fault(), nil
}

// holdValues opens a session with four values and a transaction that it holds for a while.
func (d *deployment) holdValues(host int, route, key, value string) string {
	c, err := connectAny(d, host, fmt.Sprintf("caller-%d", host), route, key)
	if err != nil {
		return "no session"
	}
	defer c.nc.Close()
	for i := range 4 {
		if r, err := c.query(fmt.Sprintf("SET v%d %s", i, value), 3*time.Second); err != nil || !r.ok() {
			return "SET not acknowledged"
		}
	}
	code := ""
	for try := range 4 {
		time.Sleep(time.Duration(60*try) * time.Millisecond)
		if code = readInTransaction(c); code == "ok" {
			break
		}
	}
	if code != "ok" {
		return code
	}
	time.Sleep(800 * time.Millisecond)
	_, _ = c.query("ROLLBACK", time.Second)
	return "ok"
}

// readInTransaction begins a transaction with a read. It rolls it back if that fails.
func readInTransaction(c *client) string {
	for _, text := range []string{"BEGIN READ", "READ roller0"} {
		r, err := c.query(text, 3*time.Second)
		if err != nil {
			return "no answer"
		}
		if r.ok() {
			continue
		}
		if r.state != "I" {
			_, _ = c.query("ROLLBACK", time.Second)
		}
		return r.code[:min(30, len(r.code))]
	}
	return "ok"
}
