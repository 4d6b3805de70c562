package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["sync"] = runSync }

// lookupRoute is coa-lookup of the site file.
func lookupRoute(name, group string) route {
	return route{name: name, kind: "bounded_staleness", group: group, staleness: 1500 * time.Millisecond, timeout: 2 * time.Second, target: 500 * time.Millisecond}
}

const (
	deafTime       = 1200 * time.Millisecond // from the start of the deafness of a replica to the crash
	calmTime       = 1500 * time.Millisecond // between two crashes of a service
	promotionLimit = 6 * time.Second
	syncTime       = 80 * time.Second
	writersOfGroup = 3
	readersOfGroup = 24
)

// runSync lets one replica receive nothing and then crashes the primary, again and again, in
// three services with sync_replicas 1.
func runSync(rec *recorder, root string, trouble bool) (result, error) {
	var settings []groupSettings
	var routes []route
	for i := range 3 {
		s := releaseDB(fmt.Sprintf("huvo%d", i))
		s.syncReplicas = 1
		settings = append(settings, s)
		current := signRoute(s.name)
		current.name = "sign" + s.name
		routes = append(routes, current, lookupRoute("look"+s.name, s.name))
	}
	w, err := newWorld(rec, root, settings, routes)
	if err != nil {
		return result{}, err
	}
	defer w.close()
	for _, zone := range zones {
		if _, err := w.startHost("front-"+zone+"-1", zone); err != nil {
			return result{}, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return result{}, err
	}
	var wg sync.WaitGroup
	results := make([]result, len(w.groups))
	errs := make([]error, len(w.groups))
	for i, g := range w.groups {
		if err := w.awaitServed("sign"+g.name, 15*time.Second); err != nil {
			return result{}, err
		}
		wg.Go(func() { results[i], errs[i] = w.crashPrimaries(g, trouble) })
	}
	wg.Wait()
	var r result
	for i, x := range results {
		if errs[i] != nil {
			return result{}, errs[i]
		}
		r.checked += x.checked
		r.breaches = append(r.breaches, x.breaches...)
	}
	return r, nil
}

// crashPrimaries runs clients of a group around the disruptions and checks that the
// acknowledged writes are in the log of the primary.
func (w *world) crashPrimaries(g *group, trouble bool) (r result, err error) {
	var acked []string
	var wg sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	client := func(h *hostProcess, name, route, text string, done func(id string)) {
		defer wg.Done()
		var s *session
		for n := 0; ; n++ {
			select {
			case <-stop:
				if s != nil {
					_ = s.Close()
				}
				return
			default:
			}
			if s == nil {
				if s, _, _ = openSession(h.client, route, tenantKey); s == nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
			}
			id := fmt.Sprintf("%s.%d", name, n)
			a, err := s.query(id, fmt.Sprintf("%s%s %s", text, name, map[string]string{"WRITE ": "data"}[text]), time.Now().Add(3*time.Second))
			w.rec.printf("client: %s -> signature %q error %q %v", id, a.signature, a.code, err)
			switch {
			case err != nil:
				_ = s.Close()
				s = nil
			case a.code == "":
				done(id)
			default:
				time.Sleep(30 * time.Millisecond) // try again soon
			}
		}
	}
	for n := range writersOfGroup {
		wg.Add(1)
		go client(w.hosts[n%len(w.hosts)], fmt.Sprintf("%sw%d", g.name, n), "sign"+g.name, "WRITE ", func(id string) {
			mu.Lock()
			defer mu.Unlock()
			acked = append(acked, id)
		})
	}
	for n := range readersOfGroup {
		wg.Add(1)
		go client(w.hosts[n%len(w.hosts)], fmt.Sprintf("%sr%d", g.name, n), "look"+g.name, "READ ", func(string) {})
	}
	end := time.Now().Add(syncTime)
	for time.Now().Before(end) && err == nil && len(lost(g, &mu, &acked).breaches) == 0 {
		time.Sleep(calmTime)
		if trouble {
			err = w.crashPrimary(g)
		}
	}
	close(stop)
	wg.Wait()
	return lost(g, &mu, &acked), err
}

// crashPrimary lets a replica receive nothing, crashes the primary, and starts it again once
// another database leads.
func (w *world) crashPrimary(g *group) error {
	old := g.leader()
	for _, d := range g.databases {
		if d != old {
			d.deafen()
			break
		}
	}
	time.Sleep(deafTime)
	old.crash()
	for began := time.Now(); g.leader() == old; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > promotionLimit {
			return fmt.Errorf("no database of %s was promoted", g.name)
		}
	}
	time.Sleep(calmTime)
	if err := old.restart(); err != nil {
		return err
	}
	for _, d := range g.databases {
		w.store.put("servers", d.id, d.entryOf())
	}
	return nil
}

// lost checks that the acknowledged writes are in the log of the primary.
func lost(g *group, mu *sync.Mutex, acked *[]string) (r result) {
	mu.Lock()
	ids := append([]string(nil), *acked...)
	mu.Unlock()
	inLog := g.committed()
	for _, id := range ids {
		r.checked++
		if !inLog[id] {
			r.breaches = append(r.breaches, fmt.Sprintf("LOST: %s was acknowledged, but it isn't in the log of the promoted database %s", id, g.leader().id))
		}
	}
	return r
}
