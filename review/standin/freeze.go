package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["freeze"] = runFreeze }

// The route is release-sign of the site file: timeout 800 ms a statement, deadline
// 1,500 ms an operation.
const (
	signTimeout  = 800 * time.Millisecond
	signDeadline = 1500 * time.Millisecond
)

func signRoute(group string) route {
	return route{name: "lepu270", kind: "primary", group: group, timeout: signTimeout, target: 150 * time.Millisecond}
}

func releaseDB(name string) groupSettings {
	return groupSettings{
		name: name, zones: zones, slots: 3, connections: 21, work: 6 * time.Millisecond, readWork: 30 * time.Millisecond, connect: 12 * time.Millisecond,
		lag: 20 * time.Millisecond, promote: 600 * time.Millisecond,
	}
}

// clientTx is a transaction as its client saw it.
type clientTx struct {
	writes    []string // ids of the writes that were answered with success
	commit    string   // id of COMMIT
	committed bool     // COMMIT was answered with success
}

const (
	freezes    = 24
	freezeTime = 920 * time.Millisecond
	freezeGap  = 2500 * time.Millisecond
	signers    = 4
)

func runFreeze(rec *recorder, root string, trouble bool) (result, error) {
	w, err := newWorld(rec, root, []groupSettings{releaseDB("huvo11a")}, []route{signRoute("huvo11a")})
	if err != nil {
		return result{}, err
	}
	defer w.close()
	for i, zone := range zones {
		if _, err := w.startHost(fmt.Sprintf("front-%s-1", zone), zones[i]); err != nil {
			return result{}, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return result{}, err
	}
	if err := w.awaitServed("lepu270", 15*time.Second); err != nil {
		return result{}, err
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	var all []clientTx
	for n := range signers {
		// All clients are in the zone of the primary.
		wg.Go(func() {
			sign(rec, w.hosts[0], fmt.Sprintf("s%d", n), stop, func(tx clientTx) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, tx)
			})
		})
	}
	snapshot := func() []clientTx {
		mu.Lock()
		defer mu.Unlock()
		return append([]clientTx(nil), all...)
	}
	for range freezes {
		time.Sleep(freezeGap + time.Duration(rand.Int63n(int64(300*time.Millisecond))))
		if len(checkTransactions(w.groups[0], snapshot()).breaches) > 0 {
			break // one is enough
		}
		if h := w.owner("huvo11a"); trouble && h != nil {
			w.freeze(h, freezeTime)
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	return checkTransactions(w.groups[0], snapshot()), nil
}

// sign runs transactions of two writes one after the other on sessions at a host.
func sign(rec *recorder, h *hostProcess, name string, stop <-chan struct{}, done func(clientTx)) {
	var s *session
	defer func() {
		if s != nil {
			_ = s.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.Int63n(int64(10 * time.Millisecond)))):
		}
		if s == nil {
			var code string
			var err error
			if s, code, err = openSession(h.client, "lepu270", tenantKey); err != nil || s == nil {
				rec.printf("client %s: no session: %s %v", name, code, err)
				continue
			}
		}
		id := fmt.Sprintf("%s.%d", name, n)
		tx, ok := signOnce(rec, s, id)
		done(tx)
		if !ok {
			_ = s.Close()
			s = nil
		}
	}
}

// signOnce runs one transaction. It reports whether the session can be used further.
func signOnce(rec *recorder, s *session, name string) (tx clientTx, ok bool) {
	deadline := time.Now().Add(signDeadline)
	for i, text := range []string{"BEGIN", "WRITE a" + name + " first", "WRITE b" + name + " second", "COMMIT"} {
		id := fmt.Sprintf("%s.%d", name, i)
		a, err := s.query(id, text, deadline)
		rec.printf("client: %s %q -> signature %q error %q state %q %v", id, text, a.signature, a.code, a.state, err)
		if err != nil {
			return tx, false
		}
		if a.code != "" {
			if a.state != "I" {
				b, err := s.query(id+"r", "ROLLBACK", deadline)
				return tx, err == nil && b.state == "I"
			}
			return tx, true
		}
		switch text {
		case "BEGIN":
		case "COMMIT":
			tx.commit, tx.committed = id, true
		default:
			tx.writes = append(tx.writes, id)
		}
	}
	return tx, true
}

// checkTransactions checks each transaction whose COMMIT was answered with success: its
// statements ran in one transaction of one connection, and its writes are in the log.
func checkTransactions(g *group, all []clientTx) (r result) {
	runs := map[string]run{}
	for _, x := range g.allRuns() {
		runs[x.id] = x
	}
	inLog := g.committed()
	for _, tx := range all {
		if !tx.committed {
			continue
		}
		r.checked++
		end := runs[tx.commit]
		for _, id := range tx.writes {
			x := runs[id]
			if x.database != end.database || x.conn != end.conn || x.tx != end.tx {
				r.breaches = append(r.breaches, fmt.Sprintf(
					"PINNED: %s ran in transaction %d on %s %s, its COMMIT %s in transaction %d on %s %s",
					id, x.tx, x.database, x.conn, tx.commit, end.tx, end.database, end.conn))
			}
			if !inLog[id] {
				r.breaches = append(r.breaches, fmt.Sprintf("lost: %s was acknowledged and its COMMIT too, but it isn't in the log of %s", id, g.primary.id))
			}
		}
	}
	return r
}
