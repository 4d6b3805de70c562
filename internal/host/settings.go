package host

import (
	"cmp"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Settings are the settings of a host that serves typed statements.
type Settings struct {
	// Name is the host's name. It must be unique in the fleet.
	Name string `yaml:"name"`
	// Zone is the host's availability zone. Zones lists all zones of the fleet.
	Zone  string   `yaml:"zone"`
	Zones []string `yaml:"zones"`
	// Listen holds the addresses, as IP:port, for callers, other hosts, the
	// readiness probe and metrics.
	Listen ListenSettings `yaml:"listen"`
	// Store is the address of the store. Promotion is the address of the service
	// that promotes backend servers.
	Store     string `yaml:"store"`
	Promotion string `yaml:"promotion"`
	// KeyGrace is the maximum age of the last confirmation of the configuration with
	// which keys are accepted; at least 1 s.
	KeyGrace config.Duration `yaml:"key_grace"`
	// RateWindow is the length of the window over which the customers' rate limits
	// hold; 0 selects plain token buckets. RateOverage, a share of the limit, and
	// RateSlack, a number of requests, are its tolerance.
	RateWindow  config.Duration `yaml:"rate_window"`
	RateOverage float64         `yaml:"rate_overage"`
	RateSlack   float64         `yaml:"rate_slack"`
	// UsageWindow is the length of the windows for which the requests of the customers are
	// reported; 0 turns the reports off. UsageLate is the time after the end of a window
	// at which its report is due, UsageLease the time within which two hosts do not report
	// in turn.
	UsageWindow config.Duration `yaml:"usage_window,omitempty"`
	UsageLate   config.Duration `yaml:"usage_late,omitempty"`
	UsageLease  config.Duration `yaml:"usage_lease,omitempty"`
	// StopGrace is the time from SIGTERM to the end of the process; at least 1 s.
	StopGrace config.Duration `yaml:"stop_grace"`
	// MemoryMB and Descriptors are the process's limits on memory, in MiB, and on
	// open file descriptors. Cores is its number of processor cores.
	MemoryMB    int `yaml:"memory_mb"`
	Descriptors int `yaml:"descriptors"`
	Cores       int `yaml:"cores"`
	// ProcessorShare is the share of each core that the process may use, LinkMbps
	// the bandwidth of its network link in Mbit/s.
	ProcessorShare float64 `yaml:"processor_share"`
	LinkMbps       float64 `yaml:"link_mbps"`
	LogLevel       string  `yaml:"log_level"`
	// Requirements names, in the platform's words, what the deployment asks of its hosts.
	// The platform adapter translates them to Features.
	Requirements []string `yaml:"requirements,omitempty"`
	// ClientLimits bound what clients and callers of the other ports may begin without
	// ending it.
	ClientLimits ClientLimits `yaml:"client_limits,omitempty"`
}

// ClientLimits are time-outs for what a client has begun, and limits on connections. A
// value of 0 selects the default.
type ClientLimits struct {
	// FirstMessage is the time from the connection to the end of the first message,
	// Message the time from the first to the last byte of any message, Answer the time
	// that the client may take to read a part of an answer.
	FirstMessage config.Duration `yaml:"first_message,omitempty"`
	Message      config.Duration `yaml:"message,omitempty"`
	Answer       config.Duration `yaml:"answer,omitempty"`
	// HTTPRequest bounds one request to the ready and metrics ports and its answer,
	// HTTPIdle the time between two requests on one connection. HTTPConnections limits
	// the connections of each of these ports.
	HTTPRequest     config.Duration `yaml:"http_request,omitempty"`
	HTTPIdle        config.Duration `yaml:"http_idle,omitempty"`
	HTTPConnections int             `yaml:"http_connections,omitempty"`
	// PeerConnections limits the connections of the peer port.
	PeerConnections int `yaml:"peer_connections,omitempty"`
}

// defaultClientLimits are longer than anything that a client takes within the limits of
// the protocol.
var defaultClientLimits = ClientLimits{
	FirstMessage: config.Duration(3 * time.Second), Message: config.Duration(3 * time.Second), Answer: config.Duration(5 * time.Second),
	HTTPRequest: config.Duration(2 * time.Second), HTTPIdle: config.Duration(30 * time.Second), HTTPConnections: 64, PeerConnections: 1000,
}

// WithDefaults returns the limits with the defaults for values that are not set.
func (l ClientLimits) WithDefaults() ClientLimits {
	d := defaultClientLimits
	return ClientLimits{
		FirstMessage: cmp.Or(l.FirstMessage, d.FirstMessage), Message: cmp.Or(l.Message, d.Message), Answer: cmp.Or(l.Answer, d.Answer),
		HTTPRequest: cmp.Or(l.HTTPRequest, d.HTTPRequest), HTTPIdle: cmp.Or(l.HTTPIdle, d.HTTPIdle),
		HTTPConnections: cmp.Or(l.HTTPConnections, d.HTTPConnections), PeerConnections: cmp.Or(l.PeerConnections, d.PeerConnections),
	}
}

// hasNegative reports whether a limit is negative.
func (l ClientLimits) hasNegative() bool {
	return min(l.FirstMessage, l.Message, l.Answer, l.HTTPRequest, l.HTTPIdle) < 0 || min(l.HTTPConnections, l.PeerConnections) < 0
}

// Features are the optional parts of a host. Each is off unless the deployment asks for
// it.
type Features struct {
	// ServerSupervision ejects servers that fail more often than the others of their
	// group, and paces servers that have just started or recovered.
	ServerSupervision bool
	// ContentionControl schedules the slots and connections of servers by what can still
	// be served in time, and makes home hosts report the loads of their servers.
	ContentionControl bool
	// FastRecovery shortens what callers lose after a restart of many hosts and the loss
	// of an availability zone, see docs/design/recovery.md.
	FastRecovery bool
}

// ListenSettings are the addresses of the listeners.
type ListenSettings struct {
	Client string `yaml:"client"`
	Peer   string `yaml:"peer"`
	// Advertise is the address that other hosts use; empty for Peer.
	Advertise string `yaml:"advertise,omitempty"`
	Ready     string `yaml:"ready"`
	Metrics   string `yaml:"metrics"`
}

// LoadSettings reads settings from a YAML file, applies the overrides and checks the
// result. Unknown fields are errors. An override has the form NAME=VALUE, with a value in
// YAML; an empty one is ignored. An empty listen.advertise becomes listen.peer.
func LoadSettings(path string, overrides ...string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	var s Settings
	if err := config.DecodeStrict(path, data, &s); err != nil {
		return Settings{}, err
	}
	for _, o := range overrides {
		name, value, ok := strings.Cut(o, "=")
		if o == "" || ok && value == "" {
			continue
		}
		if !ok || strings.ContainsAny(o, "\r\n") {
			return Settings{}, errors.Errorf("override %q of a setting is not NAME=VALUE", o)
		}
		if err := config.DecodeStrict("--set "+name, []byte(name+": "+value), &s); err != nil {
			return Settings{}, err
		}
	}
	if s.Listen.Advertise == "" {
		s.Listen.Advertise = s.Listen.Peer
	}
	return s, s.Check()
}

// mbpsPerCore is the bandwidth in Mbit/s that counts as equal to one core. A home
// host transfers about 1.5 KB and uses 0.3 ms of a core per statement, so one core
// can fill far less than 100 Mbit/s; only much narrower links limit the capacity.
const mbpsPerCore = 60

// capacity returns the capacity of the host in cores: its processor capacity, or less when
// its network link is the bottleneck. It is the weight of the host when roles are assigned.
func (s *Settings) capacity() float64 {
	return min(s.ProcessorShare*float64(s.Cores), s.LinkMbps/mbpsPerCore)
}

const (
	// clientCores and clientMbps are what a host uses for its own clients under load.
	clientCores = 0.12
	clientMbps  = 2
	// homeCores is the capacity that a home host uses for one server with all slots busy:
	// about 220 statements per second at 0.35 ms.
	homeCores = 0.08
	// overloadedHostWeight is the weight of a host that cannot carry a home role beside
	// its clients. Where there are others, it holds few roles.
	overloadedHostWeight = 0.01
)

// spareCapacity returns the weight of the host, by what its own clients leave, when roles are
// assigned through whose holders statements go, in cores. In a fleet of small and large
// hosts, such roles that meet on a small one would overload it and make their servers look
// slow.
func (s *Settings) spareCapacity() float64 {
	spare := min(s.ProcessorShare*float64(s.Cores)-clientCores, (s.LinkMbps-clientMbps)/mbpsPerCore)
	if spare >= homeCores {
		return spare
	}
	return overloadedHostWeight
}

// minUsageWindow and minUsageLate are the shortest times in which the counts of all hosts
// can be collected and fixed in the store.
const (
	minUsageWindow = time.Second
	minUsageLate   = 2 * time.Second
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// Check returns an error that names the first missing or invalid setting.
func (s *Settings) Check() error {
	for _, a := range []struct{ name, value string }{
		{"listen.client", s.Listen.Client},
		{"listen.peer", s.Listen.Peer},
		{"listen.advertise", s.Listen.Advertise},
		{"listen.ready", s.Listen.Ready},
		{"listen.metrics", s.Listen.Metrics},
		{"store", s.Store},
		{"promotion", s.Promotion},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Errorf("setting %s: %q is not IP:port", a.name, a.value)
		}
	}
	listed := false
	for _, z := range s.Zones {
		listed = listed || z == s.Zone
	}
	switch {
	case s.Name == "":
		return errors.New("setting name is missing")
	case !listed:
		return errors.Errorf("setting zone: %q is not listed in zones", s.Zone)
	case s.KeyGrace.Std() < time.Second:
		return errors.Errorf("setting key_grace: %v is less than 1s, the shortest that a host can guarantee", s.KeyGrace.Std())
	case s.RateWindow < 0 || s.RateOverage < 0 || s.RateSlack < 0:
		return errors.New("settings rate_window, rate_overage and rate_slack must not be negative")
	case s.UsageWindow < 0 || s.UsageWindow > 0 && s.UsageWindow.Std() < minUsageWindow:
		return errors.Errorf("setting usage_window: %v is neither 0 nor at least %v", s.UsageWindow.Std(), minUsageWindow)
	case s.UsageWindow > 0 && s.UsageLate.Std() < minUsageLate:
		return errors.Errorf("setting usage_late: %v is less than %v", s.UsageLate.Std(), minUsageLate)
	case s.UsageLease < 0:
		return errors.New("setting usage_lease must not be negative")
	case s.StopGrace.Std() < time.Second:
		return errors.Errorf("setting stop_grace: %v is less than 1s", s.StopGrace.Std())
	case s.ProcessorShare <= 0 || s.LinkMbps <= 0:
		return errors.New("settings processor_share and link_mbps must be positive")
	case !slices.Contains(logLevels, s.LogLevel):
		return errors.Errorf("setting log_level: %q is not one of %s", s.LogLevel, strings.Join(logLevels, ", "))
	case s.ClientLimits.hasNegative():
		return errors.New("settings client_limits must not be negative")
	case s.MemoryMB <= 0 || s.Descriptors <= 0 || s.Cores <= 0:
		return errors.New("settings memory_mb, descriptors and cores must be positive")
	}
	return nil
}

// reloadable holds the names of the settings that a reload changes. The others take
// effect at the next start: hosts of one fleet are not reloaded at the same time, and
// must not give different answers in the meantime.
var reloadable = map[string]bool{"log_level": true, "memory_mb": true}

// ReloadableSettings returns the names of the settings that a reload changes, sorted.
func ReloadableSettings() []string { return slices.Sorted(maps.Keys(reloadable)) }

// changedSettings returns the names of the settings that differ, in the order of the
// fields of Settings: those that a reload changes, and the others.
func changedSettings(old, next Settings) (changed, fixed []string) {
	before, after := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range before.NumField() {
		if reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			continue
		}
		name := before.Type().Field(i).Tag.Get("yaml")
		if reloadable[name] {
			changed = append(changed, name)
		} else {
			fixed = append(fixed, name)
		}
	}
	return changed, fixed
}
