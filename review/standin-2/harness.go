package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	began   time.Time
	lines   []string
	runs    map[string][]run
	runList []run
}

// run is a statement that a database ran.
type run struct {
	at           time.Duration
	database, id string
	position     string
	primary      bool
	signature    string
	shape, text  string
	who          string
}

func newRecord() *record { return &record{began: time.Now(), runs: map[string][]run{}} }

func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) add(who, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.4f %s %s", r.now().Seconds(), who, text))
}

var runLine = regexp.MustCompile(`^run id=(\S+) who=(\S+) primary=(\S+) at=(\S+) signature=(\S+) shape=("(?:[^"\\]|\\.)*") text=("(?:[^"\\]|\\.)*") `)

func (r *record) addDatabase(id, text string) {
	r.add(id, text)
	m := runLine.FindStringSubmatch(text)
	if m == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x := run{at: r.now(), database: id, id: m[1], who: m[2], primary: m[3] == "true", position: m[4], signature: m[5]}
	x.shape, _ = strconv.Unquote(m[6])
	x.text, _ = strconv.Unquote(m[7])
	r.runs[x.id] = append(r.runs[x.id], x)
	r.runList = append(r.runList, x)
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

var (
	portsMu   sync.Mutex
	usedPorts = map[int]bool{}
)

// freeAddress returns a loopback address with a port that is free now. It lies below the ports
// that the kernel gives to outgoing connections, so that it stays free until it is used.
func freeAddress() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for {
		port := 12000 + rand.IntN(20000)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// process is a process that the harness started.
type process struct {
	name string
	args []string
	env  []string
	out  func(line string)

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // no restart
	ends    int
	restart time.Duration // restart after this delay; 0 for none
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spawn()
}

func (p *process) spawn() error {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	exited := p.exited
	go func() {
		in := bufio.NewScanner(pipe)
		in.Buffer(make([]byte, 64<<10), 4<<20)
		for in.Scan() {
			p.out(in.Text())
		}
		_ = cmd.Wait()
		close(exited)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ends++
		if p.restart > 0 && !p.stopped && p.cmd == cmd {
			p.mu.Unlock()
			time.Sleep(p.restart)
			p.mu.Lock()
			if !p.stopped && p.cmd == cmd {
				_ = p.spawn()
			}
		}
	}()
	return nil
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// rss returns the resident memory of the process in MiB.
func (p *process) rss() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// group is a database group of the stand-in platform.
type group struct {
	c         *deployment
	service   string
	mu        sync.Mutex
	term      uint64
	leader    string
	members   []*member
	promoteMS int
	// rolledBack holds, by term, the length of the log with which the term began.
	starts map[uint64]int
	leads  []time.Duration
}

type member struct {
	id, zone, address, control string
	p                          *process
}

func (g *group) member(id string) *member {
	for _, m := range g.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (g *group) running(id string) bool {
	m := g.member(id)
	return m != nil && m.p.running()
}

// promote makes the database the leader of the next term after the time of a promotion.
func (g *group) promote(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == id {
		return // for the present primary nothing changes
	}
	time.AfterFunc(time.Duration(g.promoteMS)*time.Millisecond, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		m := g.member(id)
		out, err := get(m.control, fmt.Sprintf("/lead?term=%d", g.term+1))
		if err != nil {
			return
		}
		g.term++
		g.leader = id
		n, _ := strconv.Atoi(out)
		g.starts[g.term] = n
		g.leads = append(g.leads, g.c.record.now())
		for _, other := range g.members {
			if other != m {
				_, _ = get(other.control, fmt.Sprintf("/follow?term=%d&leader=%s&length=%d", g.term, m.control, n))
			}
		}
	})
}

// deployment is a small deployment: hosts, databases, store and platform.
type deployment struct {
	record  *record
	dir     string
	root    string
	store   *store
	cloud   *cloud
	groups  []*group
	hosts   []*hostProcess
	memory  int
	extra   []string // further arguments of the databases
	version int
	routes  []map[string]any
	tenants []map[string]any
	zones   []string
	logs    *os.File
}

type hostProcess struct {
	name, zone, client, ready string
	p                         *process
}

const (
	contracts = "base,drain,config,cost,recover,sql,tenants,quota,places,platform"
	template  = `name: %q
zone: %q
zones: [%s]
listen:
  client: %q
  peer: %q
  ready: %q
  metrics: %q
store: %q
promotion: %q
key_grace: 5000ms
stop_grace: 6s
memory_mb: %d
descriptors: 4200
cores: 1
log_level: info
rate_window: 5s
rate_overage: 0.1
rate_slack: 20
processor_share: 0.4
link_mbps: 1000.0
`
)

// newDeployment prepares a deployment like that of the site: four zones, a service with three
// databases of two slots and 34 connections, 1000 ms a promotion, replicas 8 ms behind.
func newDeployment(rec *record, root string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, dir: dir, root: root, memory: 284, zones: []string{"lk-west-a", "lk-west-b", "lk-west-c", "lk-west-d"}}
	if d.store, err = newStore(); err != nil {
		return nil, err
	}
	if d.cloud, err = newCloud(rec); err != nil {
		return nil, err
	}
	d.logs, err = os.Create(filepath.Join(dir, "hosts.log"))
	return d, err
}

// addGroup starts a service of three databases.
func (d *deployment) addGroup(service string, slots int) error {
	beats, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /beat/{id}", func(w http.ResponseWriter, r *http.Request) {
		var body map[string]any
		if decode(r, &body) == nil {
			d.store.put("servers", r.PathValue("id"), body)
		}
	})
	go func() { _ = http.Serve(beats, mux) }()
	g := &group{c: d, service: service, term: 1, promoteMS: 1000, starts: map[uint64]int{1: 0}}
	for i, zone := range d.zones[:3] {
		m := &member{id: fmt.Sprintf("i-%s%d", service, i+1), zone: zone, address: freeAddress(), control: freeAddress()}
		args := []string{os.Args[0], "database", "-service", service, "-id", m.id, "-zone", zone, "-address", m.address, "-control", m.control,
			"-store", beats.Addr().String(), "-slots", strconv.Itoa(slots)}
		args = append(args, d.extra...)
		m.p = &process{name: m.id, args: args, out: func(line string) { d.record.addDatabase(m.id, line) }}
		if i == 0 {
			m.p.args = append(append([]string{}, args...), "-primary")
		}
		if err := m.p.start(); err != nil {
			return err
		}
		m.p.args = args // it knows nothing of before when it starts again
		g.members = append(g.members, m)
	}
	g.leader = g.members[0].id
	for _, m := range g.members {
		if err := await(m.address, 5*time.Second); err != nil {
			return err
		}
		if err := await(m.control, 5*time.Second); err != nil {
			return err
		}
	}
	for _, m := range g.members[1:] {
		if _, err := get(m.control, "/follow?term=1&length=0&leader="+g.members[0].control); err != nil {
			return err
		}
	}
	d.groups = append(d.groups, g)
	d.cloud.groups[service] = g
	return nil
}

// await waits until something listens on the address.
func await(address string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if nc, err := net.Dial("tcp", address); err == nil {
			return nc.Close()
		}
	}
	return fmt.Errorf("nothing listens on %s", address)
}

// configure writes a configuration.
func (d *deployment) configure() {
	d.version += 3
	var services []map[string]any
	for _, g := range d.groups {
		services = append(services, map[string]any{
			"name": g.service, "health_path": "/health", "max_conns": 34, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0, "sync_replicas": 0,
		})
	}
	d.store.put("op", "config", map[string]any{
		"version": d.version, "routes": d.routes, "services": services, "tenants": d.tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "idle_tx_ms": 3000},
	})
	d.record.add("operator", fmt.Sprintf("configuration %d written", d.version))
}

func (d *deployment) addRoute(host, kind, service string, timeoutMS, targetMS, staleMS int) {
	r := map[string]any{
		"name": "r-" + host, "host": host, "prefix": "/", "route_type": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS, "priority": 1,
		"service": service, "attempts": 2, "public": false,
	}
	if staleMS > 0 {
		r["max_staleness_ms"] = staleMS
	}
	d.routes = append(d.routes, r)
}

func (d *deployment) addTenant(name string, keys ...string) {
	d.tenants = append(d.tenants, map[string]any{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 400, "burst": 400})
}

// startHosts starts the hosts with the command of the deploy file and waits until all are ready.
func (d *deployment) startHosts(n int) error {
	for i := range n {
		h := &hostProcess{
			name: fmt.Sprintf("front-%d", i+1), zone: d.zones[i%len(d.zones)], client: freeAddress(), ready: freeAddress(),
		}
		settings := filepath.Join(d.dir, h.name+".yaml")
		text := fmt.Sprintf(template, h.name, h.zone, `"`+strings.Join(d.zones, `","`)+`"`, h.client, freeAddress(), h.ready, freeAddress(), d.store.address, d.cloud.address, d.memory)
		if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
			return err
		}
		h.p = &process{
			name: h.name, restart: 500 * time.Millisecond,
			args: []string{filepath.Join(d.root, "target/cranberryhinge"), "serve", "--protocol", "line", "--set", "requirements=[" + contracts + "]", "--set", "usage_window=", "--set", "usage_late=", "--set", "usage_lease="},
			env:  []string{"CRANBERRYHINGE_NODE_FILE=" + settings},
			out:  func(line string) { fmt.Fprintln(d.logs, line) },
		}
		if err := h.p.start(); err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range d.hosts {
			if h.isReady() {
				ready++
			}
		}
		if ready == len(d.hosts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hosts ready", ready, len(d.hosts))
		}
	}
}

func (h *hostProcess) isReady() bool {
	_, err := get(h.ready, "/api/ready")
	return err == nil
}

// stop ends all processes.
func (d *deployment) stop() {
	var all []*process
	for _, h := range d.hosts {
		all = append(all, h.p)
	}
	for _, g := range d.groups {
		for _, m := range g.members {
			all = append(all, m.p)
		}
	}
	for _, p := range all {
		p.mu.Lock()
		p.stopped = true
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	_ = d.logs.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
