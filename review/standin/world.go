package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// route is a route of the configuration.
type route struct {
	name, kind, group  string
	staleness, timeout time.Duration
	target             time.Duration
}

// world is a small deployment: the platform's store and promotion service, databases,
// and hosts of cranberryhinge as separate processes.
type world struct {
	rec    *recorder
	root   string // of the repository
	temp   string
	store  *store
	cloud  net.Listener
	groups []*group
	hosts  []*hostProcess
}

const (
	tenant    = "miny420"
	tenantKey = "j8pjbvk9m68k7b2ex5wa"
)

var zones = []string{"kolkata", "howrah", "durgapur"}

// newWorld starts the stand-ins and writes the configuration.
func newWorld(rec *recorder, root string, settings []groupSettings, routes []route) (*world, error) {
	w := &world{rec: rec, root: root}
	var err error
	if w.temp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	services := []any{}
	for _, s := range settings {
		g, err := newGroup(s, rec)
		if err != nil {
			return nil, err
		}
		w.groups = append(w.groups, g)
		services = append(services, map[string]any{"name": s.name, "max_conns": s.connections, "cold_per_s": 0.0, "sync_replicas": s.syncReplicas})
		for _, d := range g.databases {
			w.store.put("servers", d.id, d.entryOf())
		}
	}
	list := []any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r-" + r.name, "host": r.name, "prefix": "/", "route_type": r.kind, "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": r.target.Milliseconds(), "priority": 1, "service": r.group, "attempts": 2,
			"max_staleness_ms": r.staleness.Milliseconds(), "public": false,
		})
	}
	w.store.put("op", "config", map[string]any{
		"version": 7, "routes": list, "services": services, "limits": map[string]any{"idle_tx_ms": 3000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": 2000, "burst": 2000}},
	})
	if w.cloud, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", servePromote(w.groups, rec))
	go func() { _ = http.Serve(w.cloud, mux) }()
	return w, nil
}

// hostProcess is a host of cranberryhinge.
type hostProcess struct {
	name, client, ready string
	cmd                 *exec.Cmd
	log                 *os.File
	ended               chan struct{}
}

// freeAddresses returns loopback addresses that nobody listens on. Their ports are below
// those that the system takes for outgoing connections, so that they stay free.
func freeAddresses(n int) ([]string, error) {
	const lowest, highest, tries = 12000, 32000, 1000
	var out []string
	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.Intn(highest-lowest)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		if out = append(out, l.Addr().String()); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings fills in the template of the deploy file as the platform does.
func (w *world) settings(name, zone string, a []string) (string, error) {
	template, err := os.ReadFile(filepath.Join(w.root, "deploy/settings.yaml"))
	if err != nil {
		return "", err
	}
	text := strings.Replace(string(template), `[{{#zones}}"{{@}}"{{,}}{{/zones}}]`, `["`+strings.Join(zones, `","`)+`"]`, 1)
	text = strings.Replace(text, "{{ip}}:{{port_range.0}}", a[1], 1)
	text = strings.Replace(text, "{{ip}}:{{port_range.1}}", a[3], 1)
	values := map[string]any{
		"node": name, "zone": zone, "listen.front": a[0], "listen.ready": a[2],
		"platform.address": w.store.address(), "cloud.address": w.cloud.Addr().String(),
		"bounds.revoke_ms": 5000, "bounds.grace_s": 6, "limits.memory_mb": 284, "limits.max_fds": 4300, "limits.cores": 1,
		"bounds.quota_window_s": 5, "bounds.quota_overage": 0.1, "bounds.quota_slack": 20, "limits.cpu_share": 0.4, "limits.link_mbps": 1000.0,
	}
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			missing = m[1]
		}
		if m[2] != "" {
			data, _ := json.Marshal(v)
			return string(data)
		}
		return fmt.Sprint(v)
	})
	if missing != "" {
		return "", fmt.Errorf("the template needs %s", missing)
	}
	return text, nil
}

// startHost starts a host with the command of the deploy file.
func (w *world) startHost(name, zone string) (*hostProcess, error) {
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	text, err := w.settings(name, zone, a)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.temp, name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h := &hostProcess{name: name, client: a[0], ready: a[2], ended: make(chan struct{})}
	if h.log, err = os.Create(filepath.Join(w.temp, name+".log")); err != nil {
		return nil, err
	}
	h.cmd = exec.Command(filepath.Join(w.root, "target/cranberryhinge"), "serve", "--protocol", "line")
	h.cmd.Dir = w.root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CRANBERRYHINGE_NODE_FILE=" + path}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.cmd.Wait()
		close(h.ended)
	}()
	w.hosts = append(w.hosts, h)
	return h, nil
}

// awaitReady waits until the readiness probe of every host answers 200.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, h := range w.hosts {
		for {
			resp, err := client.Get("http://" + h.ready + "/api/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("host %s isn't ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// awaitServed waits until a read on the route is served at every host.
func (w *world) awaitServed(route string, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range w.hosts {
		for n := 0; ; n++ {
			if s, _, err := openSession(h.client, route, tenantKey); err == nil && s != nil {
				a, err := s.query(fmt.Sprintf("warm%s%d", h.name, n), "READ warm", time.Now().Add(2*time.Second))
				_ = s.Close()
				if err == nil && a.code == "" {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("host %s doesn't serve", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// owner returns the host that holds the role of a group according to its row.
func (w *world) owner(group string) *hostProcess {
	value, _ := w.store.get("cranberryhinge", "role/group/"+group)
	var role struct{ Holder string }
	_ = json.Unmarshal(value, &role)
	for _, h := range w.hosts {
		if h.name == role.Holder {
			return h
		}
	}
	return nil
}

// freeze stops a host and continues it after the time.
func (w *world) freeze(h *hostProcess, d time.Duration) {
	w.rec.printf("host %s freezes for %v", h.name, d)
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	w.rec.printf("host %s wakes", h.name)
}

// close ends the hosts and removes the temporary folder.
func (w *world) close() {
	for _, h := range w.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.ended
		_ = h.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("kept", w.temp)
	}
}
