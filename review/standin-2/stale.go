package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["stale"] = staleCase }

const tenantKey = "u6wsjnbanfqasnmgkcuy"

// ackedCommit is a write that was acknowledged to its client.
type ackedCommit struct {
	id     string
	at     time.Duration
	term   uint64
	number int
}

func parsePosition(s string) (term uint64, number int) {
	t, n, _ := strings.Cut(s, ".")
	term, _ = strconv.ParseUint(t, 10, 64)
	number, _ = strconv.Atoi(n)
	return term, number
}

// staleCase restarts a primary, which then holds nothing, while clients read on a primary route.
func staleCase(d *deployment, trouble bool) (bool, error) {
	if err := d.addGroup("ledger", 2); err != nil {
		return false, err
	}
	d.addRoute("bookings", "primary", "ledger", 800, 100, 0)
	d.addTenant("kandy", tenantKey)
	d.configure()
	if err := d.startHosts(9); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var acked []ackedCommit
	sentReads := map[string]time.Duration{}
	write := func(c *client, item, data string) error {
		r, err := c.query("WRITE "+item+" "+data, time.Second)
		if err != nil {
			return err
		}
		if r.ok() {
			term, number := parsePosition(r.position)
			mu.Lock()
			acked = append(acked, ackedCommit{r.id, r.answered, term, number})
			mu.Unlock()
		}
		return nil
	}
	// Ten bookings are made and acknowledged.
	w, err := connectAny(d, 0, "clerk", "bookings", tenantKey)
	if err != nil {
		return false, err
	}
	for i := 0; i < 10; i++ {
		if err := write(w, fmt.Sprintf("roller%d", i), fmt.Sprintf("site%d", i)); err != nil {
			return false, err
		}
	}
	mu.Lock()
	n := len(acked)
	mu.Unlock()
	if n < 10 {
		return false, fmt.Errorf("%d of 10 bookings acknowledged", n)
	}
	// Foremen read them, each at another host, about 18 times a second in all.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range d.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			name := fmt.Sprintf("foreman-%d", i+1)
			var c *client
			time.Sleep(time.Duration(i) * 55 * time.Millisecond)
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				if c == nil {
					var err error
					if c, err = connectAny(d, i, name, "bookings", tenantKey); err != nil {
						c = nil
						continue
					}
				}
				r, err := c.query(fmt.Sprintf("READ roller%d", (i+k)%10), time.Second)
				if err != nil {
					c.nc.Close()
					c = nil
				}
				mu.Lock()
				sentReads[r.id] = r.sent
				mu.Unlock()
			}
		}()
	}
	// The clerk makes a booking every two seconds.
	wg.Add(1)
	made := make(chan struct{}, 100)
	go func() {
		defer wg.Done()
		for k := 10; ; k++ {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
			}
			if w == nil {
				var err error
				if w, err = connectAny(d, k, "clerk", "bookings", tenantKey); err != nil {
					w = nil
					continue
				}
			}
			if write(w, fmt.Sprintf("roller%d", k), fmt.Sprintf("site%d", k)) != nil {
				w.nc.Close()
				w = nil
			}
			made <- struct{}{}
		}
	}()
	<-made
	<-made
	time.Sleep(300 * time.Millisecond)
	g := d.groups[0]
	if trouble {
		// The primary's process ends and starts again, as under any supervisor.
		p := g.members[0].p
		d.record.add("platform", "the process of "+g.members[0].id+", the primary, is killed")
		p.kill()
		time.Sleep(100 * time.Millisecond)
		if err := p.start(); err != nil {
			return false, err
		}
		d.record.add("platform", "the process of "+g.members[0].id+" starts again under its id")
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	return judgeStale(d, g, acked, sentReads), nil
}

// connectAny connects to the host with the index, or to the next ones if that fails.
func connectAny(d *deployment, index int, name, route, key string) (*client, error) {
	var last error
	for n := range d.hosts {
		c, err := connect(d.record, name, d.hosts[(index+n)%len(d.hosts)].client, route, key)
		if err == nil {
			return c, nil
		}
		last = err
	}
	return nil, last
}

// judgeStale reports whether a read ran on a log that lacks a commit which was acknowledged
// before the first byte of the read. Commits that a promotion rolled back don't count.
func judgeStale(d *deployment, g *group, acked []ackedCommit, reads map[string]time.Duration) bool {
	g.mu.Lock()
	starts := map[uint64]int{}
	for t, n := range g.starts {
		starts[t] = n
	}
	g.mu.Unlock()
	rolledBack := func(c ackedCommit) bool {
		for t, n := range starts {
			if t > c.term && c.number > n {
				return true
			}
		}
		return false
	}
	d.record.mu.Lock()
	runs := append([]run(nil), d.record.runList...)
	d.record.mu.Unlock()
	broken, total := 0, 0
	for _, x := range runs {
		sent, isRead := reads[x.id]
		if !isRead {
			continue
		}
		total++
		_, length := parsePosition(x.position)
		for _, c := range acked {
			if c.at < sent && !rolledBack(c) && c.number > length {
				broken++
				if broken <= 5 {
					d.record.add("check", fmt.Sprintf("read id=%s sent at %.4f ran at %s on the log %s, which lacks commit id=%s at %d.%d acknowledged at %.4f",
						x.id, sent.Seconds(), x.database, x.position, c.id, c.term, c.number, c.at.Seconds()))
				}
				break
			}
		}
	}
	d.record.add("check", fmt.Sprintf("%d of %d reads that ran lack an acknowledged commit", broken, total))
	return broken > 0
}
