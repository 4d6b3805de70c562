package main

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

// endsOfFault and hostsOfFault are those of the rule Fault: it is broken if the processes of a
// tenth of the machines, two at least, end three times.
const (
	endsOfFault  = 3
	hostsOfFault = 2
)

// memoryCase reads an item whose answer has many rows, each within the size of a message.
func memoryCase(d *deployment, trouble bool) (bool, error) {
	rows := 250
	if !trouble {
		rows = 10
	}
	d.extra = []string{"-large-rows", strconv.Itoa(rows), "-large-row-bytes", "1000000"}
	if err := d.addGroup("ledger", 2); err != nil {
		return false, err
	}
	d.addRoute("fleet", "bounded_staleness", "ledger", 1200, 300, 1500)
	d.addTenant("kandy", tenantKey)
	d.configure()
	if err := d.startHosts(9); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	w, err := connectAny(d, 0, "clerk", "fleet", tenantKey)
	if err != nil {
		return false, err
	}
	if r, err := w.query("WRITE roller0 site0", time.Second); err != nil || !r.ok() {
		return false, fmt.Errorf("first write: %v %s", err, r.code)
	}
	stop := make(chan struct{})
	ends := &endCounter{count: map[string]int{}, peak: map[string]int{}}
	for _, h := range d.hosts {
		go d.limitMemory(h, ends, stop)
	}
	// A foreman reads one item, and repeats the read twice, elsewhere, when it fails.
	for i := 0; i < 30 && !ends.fault(); i++ {
		for try := range 3 {
			c, err := connectAny(d, i+try, "foreman", "fleet", tenantKey)
			if err != nil {
				continue
			}
			r, err := c.query("READ large1", 3*time.Second)
			c.nc.Close()
			if err == nil && r.ok() {
				break
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	ends.mu.Lock()
	for _, h := range d.hosts {
		d.record.add("check", fmt.Sprintf("%s was over its memory %d times, its peak was %d MiB of %d", h.name, ends.count[h.name], ends.peak[h.name], d.memory))
	}
	ends.mu.Unlock()
	return ends.fault(), nil
}

// endCounter counts how often hosts were over their memory.
type endCounter struct {
	mu    sync.Mutex
	count map[string]int
	peak  map[string]int
}

func (e *endCounter) fault() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, c := range e.count {
		if c >= endsOfFault {
			n++
		}
	}
	return n >= hostsOfFault
}

// limitMemory kills a host that uses more than its memory, as the platform does. The host
// starts again after a short delay.
func (d *deployment) limitMemory(h *hostProcess, ends *endCounter, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		rss := h.p.rss()
		ends.mu.Lock()
		ends.peak[h.name] = max(ends.peak[h.name], rss)
		ends.mu.Unlock()
		if rss <= d.memory {
			continue
		}
		d.record.add("platform", fmt.Sprintf("%s uses %d MiB of %d and is killed", h.name, rss, d.memory))
		h.p.signal(syscall.SIGKILL)
		ends.mu.Lock()
		ends.count[h.name]++
		ends.mu.Unlock()
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if h.p.rss() < d.memory/2 {
				break
			}
		}
	}
}
