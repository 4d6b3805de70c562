package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/cli"
	"github.com/cranberryhinge/cranberryhinge/internal/cluster"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
)

// runAsProgramEnv is an environment variable that makes the test binary run as the
// program itself, so that the tests start real processes without building a second
// binary.
const runAsProgramEnv = "CRANBERRYHINGE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a running instance of the program.
type process struct {
	cmd    *exec.Cmd
	output *bytes.Buffer
}

// startProgram starts the program in the background and kills it at the end of the
// test.
func startProgram(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), output: &bytes.Buffer{}}
	p.cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	assert.NilError(t, p.cmd.Start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if t.Failed() {
			t.Logf("%s:\n%s", strings.Join(args, " "), p.output)
		}
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// runProgram runs the program and returns its output and exit code.
func runProgram(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// deploymentCount numbers the deployments of this test process.
var deploymentCount atomic.Int32

// freeAddresses returns n loopback addresses that nothing listens on. Each call
// uses another IP address, because the ports are free again until the processes
// bind them and a concurrent call could pick the same ones.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, deploymentCount.Add(1))
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		assert.NilError(t, err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// deployment is a set of separate processes: a platform, three databases and
// four hosts in three zones.
type deployment struct {
	dir       string
	cert      cluster.Certificate
	platform  *process
	databases []*process
	hosts     []*process
	clients   []string
	peers     []string
	admins    []string
	key       string
	// relays forward the hosts' connections to the databases.
	relays []*faultnet.Relay
}

const testKeySecret = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

var testZones = []string{"north", "south", "east"}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	const databases, hosts = 3, 4
	d := &deployment{dir: t.TempDir(), key: "acme.k1." + testKeySecret}
	addresses := freeAddresses(t, 1+databases+3*hosts)
	platform, dbs, rest := addresses[0], addresses[1:1+databases], addresses[1+databases:]
	d.clients, d.peers, d.admins = rest[:hosts], rest[hosts:2*hosts], rest[2*hosts:]
	d.writeConfiguration(t, d.startRelays(t, dbs))
	d.writeCertificate(t)

	d.platform = startProgram(t, "standin", "platform", "--listen", platform)
	for i := range dbs {
		d.databases = append(d.databases, startProgram(t, "standin", "database", "--settings", d.writeDatabaseSettings(t, i, dbs)))
	}
	for i := range hosts {
		d.hosts = append(d.hosts, startProgram(t, "serve", "--settings", d.writeHostSettings(t, i, platform)))
	}
	t.Cleanup(func() { d.dumpMetrics(t) })
	d.apply(t)
	d.waitReady(t)
	return d
}

// waitReady waits until every host serves callers.
func (d *deployment) waitReady(t *testing.T) {
	t.Helper()
	ctx := testContext(t, 15*time.Second)
	for i := range d.hosts {
		if _, err := d.get(ctx, t, i, "none"); err != nil && !errors.Is(err, pgx.ErrNoRows) {
			t.Fatalf("host %d is not ready: %v", i, err)
		}
	}
}

// startRelays starts a relay in front of each database and returns the relays'
// addresses. The databases connect to each other directly.
func (d *deployment) startRelays(t *testing.T, dbs []string) []string {
	t.Helper()
	var addresses []string
	for _, a := range dbs {
		r, err := faultnet.Listen("", a)
		assert.NilError(t, err)
		t.Cleanup(r.Close)
		d.relays = append(d.relays, r)
		addresses = append(addresses, r.Address())
	}
	return addresses
}

// dumpMetrics logs the counters and the status of the hosts if the test failed. It
// must run before the processes are killed.
func (d *deployment) dumpMetrics(t *testing.T) {
	t.Helper()
	if !t.Failed() {
		return
	}
	client := http.Client{Timeout: time.Second}
	for i, a := range d.admins {
		for _, page := range []string{"/metrics.json", "/status"} {
			resp, err := client.Get("http://" + a + page)
			if err != nil {
				t.Logf("host %d: %v", i, err)
				continue
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			t.Logf("host %d: %s", i, body)
		}
	}
}

func (d *deployment) writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(d.dir, name)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func (d *deployment) writeConfiguration(t *testing.T, dbs []string) {
	t.Helper()
	var b strings.Builder
	b.WriteString("zones: [{name: north, region: r}, {name: south, region: r}, {name: east, region: r}]\nhosts:\n")
	for i := range 4 {
		fmt.Fprintf(&b, "  - {name: host-%d, zone: %s}\n", i, testZones[i%len(testZones)])
	}
	b.WriteString("groups:\n  - name: main\n    servers:\n")
	for i, a := range dbs {
		fmt.Fprintf(&b, "      - {name: main-%d, zone: %s, address: \"%s\", slots: 3, connections: 20}\n", i, testZones[i], a)
	}
	fmt.Fprintf(&b, "customers:\n  - name: acme\n    keys: [{id: k1, caller: test, sha256: %s}]\n", config.EncodeDigest(sha256.Sum256([]byte(testKeySecret))))
	d.writeFile(t, config.InventoryFile, b.String())
	d.writeFile(t, config.RulesFile, `
routes:
  - {name: main, group: main, mode: write, deadline: 8s}
  - {name: main-read, group: main, mode: read, staleness: 5s, repeatable: true, deadline: 5s}
limits:
  - {customer: acme, rate: 500, burst: 500}
`)
}

func (d *deployment) writeCertificate(t *testing.T) {
	t.Helper()
	cert, err := cluster.NewCertificate()
	assert.NilError(t, err)
	d.cert = cert
	d.writeFile(t, "cert.pem", string(cert.CertPEM))
	d.writeFile(t, "key.pem", string(cert.KeyPEM))
}

func (d *deployment) writeDatabaseSettings(t *testing.T, i int, dbs []string) string {
	t.Helper()
	var peers []string
	for j, a := range dbs {
		if j != i {
			peers = append(peers, fmt.Sprintf("main-%d: \"%s\"", j, a))
		}
	}
	return d.writeFile(t, fmt.Sprintf("db-%d.yaml", i), fmt.Sprintf(`
name: main-%d
address: %s
peers: {%s}
term: 1
primary: main-0
user: proxy
password: backend-password
control_user: control
control_password: control-password
connections: 20
slots: 3
connect_delay: 10ms
transport_delay: {min: 1ms, max: 2ms}
apply_delay: {min: 50ms, max: 100ms}
`, i, dbs[i], strings.Join(peers, ", ")))
}

func (d *deployment) writeHostSettings(t *testing.T, i int, platform string) string {
	t.Helper()
	return d.writeFile(t, fmt.Sprintf("host-%d.yaml", i), fmt.Sprintf(`
name: host-%d
zone: %s
client: {listen: "%s", certificate: %s, key: %s}
peer: {listen: "%s"}
admin: {listen: "%s"}
platform: "%s"
backend: {user: proxy, password: backend-password, database: app, control_user: control, control_password: control-password}
drain_timeout: 8s
`, i, testZones[i%len(testZones)], d.clients[i], filepath.Join(d.dir, "cert.pem"), filepath.Join(d.dir, "key.pem"), d.peers[i], d.admins[i], platform))
}

// apply publishes the configuration. It retries, since hosts that are still
// starting refuse it.
func (d *deployment) apply(t *testing.T) {
	t.Helper()
	var out string
	var code int
	for range 100 {
		if out, code = runProgram(t, "apply", "--host", d.peers[0], d.dir); code == 0 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("apply: %s", out)
}

func (d *deployment) connect(ctx context.Context, t *testing.T, host int, route string) (*pgx.Conn, error) {
	t.Helper()
	cfg, err := pgx.ParseConfig("sslmode=disable")
	assert.NilError(t, err)
	address, port, err := net.SplitHostPort(d.clients[host])
	assert.NilError(t, err)
	number, err := strconv.ParseUint(port, 10, 16)
	assert.NilError(t, err)
	cfg.Host, cfg.Port, cfg.User, cfg.Database, cfg.Password = address, uint16(number), "caller", route, d.key
	cfg.TLSConfig, cfg.Fallbacks = d.cert.ClientTLS(), nil
	return pgx.ConnectConfig(ctx, cfg)
}

const upsert = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"

// put retries a write until it is acknowledged or ctx ends. The write is
// idempotent, so that a retry is safe.
func (d *deployment) put(ctx context.Context, t *testing.T, host int, key, value string) error {
	t.Helper()
	var lastErr error
	for ctx.Err() == nil {
		lastErr = d.putOnce(ctx, t, host, key, value)
		if lastErr == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w; last error: %v", ctx.Err(), lastErr)
}

// requestTimeout bounds one request: the longest deadline of a route, 8 s, plus
// the time to connect.
const requestTimeout = 10 * time.Second

func (d *deployment) putOnce(ctx context.Context, t *testing.T, host int, key, value string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := d.connect(ctx, t, host, "main")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, upsert, key, value)
	return err
}

// get retries a read until it succeeds, finds no row, or ctx ends.
func (d *deployment) get(ctx context.Context, t *testing.T, host int, key string) (string, error) {
	t.Helper()
	var lastErr error
	for ctx.Err() == nil {
		value, err := d.getOnce(ctx, t, host, key)
		if err == nil || errors.Is(err, pgx.ErrNoRows) {
			return value, err
		}
		lastErr = err
		time.Sleep(50 * time.Millisecond)
	}
	return "", fmt.Errorf("%w; last error: %v", ctx.Err(), lastErr)
}

func (d *deployment) getOnce(ctx context.Context, t *testing.T, host int, key string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := d.connect(ctx, t, host, "main-read")
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	var value string
	err = conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&value)
	return value, err
}

func testContext(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a fault anywhere on the path of a request between separate
// processes, and against lost writes and stale reads after a crash of the primary,
// a crash of a host and a planned stop of a host.
func TestSeparateProcesses(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	ctx := testContext(t, 60*time.Second)
	assert.NilError(t, d.put(ctx, t, 0, "lot", "1"))
	value, err := d.get(ctx, t, 1, "lot")
	assert.NilError(t, err)
	assert.Equal(t, value, "1")

	d.databases[0].signal(t, syscall.SIGKILL)
	begin := time.Now()
	assert.NilError(t, d.put(ctx, t, 1, "lot", "2"))
	t.Logf("first write %.2f s after the primary was killed", time.Since(begin).Seconds())
	value, err = d.get(ctx, t, 2, "lot")
	assert.NilError(t, err)
	assert.Equal(t, value, "2")

	d.hosts[1].signal(t, syscall.SIGKILL)
	assert.NilError(t, d.put(ctx, t, 2, "lot", "3"))
	value, err = d.get(ctx, t, 3, "lot")
	assert.NilError(t, err)
	assert.Equal(t, value, "3")

	d.hosts[2].signal(t, syscall.SIGTERM)
	assert.NilError(t, d.hosts[2].cmd.Wait())
	assert.NilError(t, d.put(ctx, t, 3, "lot", "4"))
}

// Guards against wrong exit codes and missing error texts: usage errors exit with
// 2, failures with 1.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"help", []string{"--help"}, 0, "SUBCOMMANDS"},
		{"no subcommand", nil, 2, "SUBCOMMANDS"},
		{"unknown flag", []string{"check", "--nope"}, 2, "nope"},
		{"missing argument", []string{"check"}, 2, "configuration directory"},
		{"missing directory", []string{"check", "does-not-exist"}, 1, "read inventory"},
		{"good configuration", []string{"check", "../../examples/kandyan"}, 0, "ok: 4 availability zones, 9 hosts"},
		{"serve without settings", []string{"serve"}, 2, "--settings is missing"},
		{"apply without host", []string{"apply", "../../examples/kandyan"}, 2, "--host is missing"},
		{"status of unreachable host", []string{"status", "--host", "127.0.0.1:1"}, 1, "status of 127.0.0.1:1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, code := runProgram(t, c.args...)
			assert.Equal(t, code, c.code, out)
			assert.Assert(t, strings.Contains(out, c.want), out)
		})
	}
}
