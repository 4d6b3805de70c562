package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

func envInt(name string, other int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return other
}

// memoryCase reads an item whose answer has many rows.
func memoryCase(d *deployment, trouble bool) (bool, error) {
	rows := envInt("ROWS", 200)
	if !trouble {
		rows = 1
	}
	d.extra = []string{"-large-rows", strconv.Itoa(rows), "-large-row-bytes", "1000000"}
	if err := d.addGroup("ledger", 2); err != nil {
		return false, err
	}
	d.addRoute("fleet", "bounded_staleness", "ledger", 1200, 300, 1500)
	d.addTenant("kandy", "u6wsjnbanfqasnmgkcuy")
	d.configure()
	if err := d.startHosts(9); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	w, err := connectAny(d, 0, "clerk", "fleet", "u6wsjnbanfqasnmgkcuy")
	if err != nil {
		return false, err
	}
	if _, err := w.query("WRITE roller0 site0", time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	kills := map[string]int{}
	peak := map[string]int{}
	var mu sync.Mutex
	for _, h := range d.hosts {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				rss := h.p.rss()
				mu.Lock()
				peak[h.name] = max(peak[h.name], rss)
				mu.Unlock()
				if rss > d.memory {
					d.record.add("platform", fmt.Sprintf("%s uses %d MiB of %d and is killed", h.name, rss, d.memory))
					h.p.signal(syscall.SIGKILL)
					mu.Lock()
					kills[h.name]++
					mu.Unlock()
					time.Sleep(400 * time.Millisecond)
				}
			}
		}()
	}
	for i := 0; i < envInt("READS", 6); i++ {
		c, err := connectAny(d, i, fmt.Sprintf("foreman-%d", i+1), "fleet", "u6wsjnbanfqasnmgkcuy")
		if err != nil {
			continue
		}
		r, err := c.query("READ large1", 3*time.Second)
		fmt.Println(len(r.rows), r.code, err, r.answered-r.sent)
		c.nc.Close()
		time.Sleep(time.Second)
	}
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	fmt.Println(peak, kills)
	return len(kills) > 0, nil
}
