package server

import (
	"crypto/tls"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
)

// Settings are the settings of a single host. What all hosts share is in the
// configuration instead.
type Settings struct {
	// Name is the host's name in the inventory.
	Name string `yaml:"name"`
	// Zone is the host's availability zone.
	Zone   string         `yaml:"zone"`
	Client ClientSettings `yaml:"client"`
	Peer   PeerSettings   `yaml:"peer"`
	Admin  AdminSettings  `yaml:"admin"`
	// Platform is the address of the platform's services.
	Platform string          `yaml:"platform"`
	Backend  BackendSettings `yaml:"backend"`
	// DrainTimeout bounds the drain in a planned stop.
	DrainTimeout config.Duration `yaml:"drain_timeout"`
	// MemoryMB is the process's limit on memory, in MiB. If it is 0, the limit follows
	// from the variable GOMEMLIMIT of the Go runtime; without that, 2048 are assumed.
	MemoryMB int `yaml:"memory_mb,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
}

// ClientSettings configure the listener for callers.
type ClientSettings struct {
	Listen string `yaml:"listen"`
	// Certificate and Key are PEM files. They are needed unless Plaintext is set.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Plaintext allows connections without TLS. The host then refuses keys, so
	// that only public routes work.
	Plaintext bool `yaml:"plaintext"`
	// MaxClients limits the number of client connections of this host.
	MaxClients int `yaml:"max_clients"`
}

// PeerSettings configure the listener for the other hosts.
type PeerSettings struct {
	Listen string `yaml:"listen"`
	// Advertise is the address that other hosts connect to; the default is Listen.
	Advertise string `yaml:"advertise"`
	// Certificate, Key and CA are PEM files for mutual TLS between hosts.
	// Without them the connections between hosts are plaintext.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	CA          string `yaml:"ca"`
}

// AdminSettings configure the listener for metrics and health checks. The
// listener is off if Listen is empty.
type AdminSettings struct {
	Listen string `yaml:"listen"`
}

// BackendSettings hold the proxy's own credentials for backend servers.
type BackendSettings struct {
	User     string `yaml:"user"`
	Database string `yaml:"database"`
	// PasswordFile names a file with the password, as an alternative to Password.
	PasswordFile string `yaml:"password_file"`
	Password     string `yaml:"password"`
	// The control credentials are used only for fence, promote, follow and evict.
	// Callers' statements run with the credentials above, which must not be
	// allowed to call these functions.
	ControlUser         string `yaml:"control_user"`
	ControlPasswordFile string `yaml:"control_password_file"`
	ControlPassword     string `yaml:"control_password"`
}

// Defaults of optional settings.
const (
	defaultDrainTimeout = config.Duration(30 * time.Second)
	defaultMaxClients   = 20_000
	defaultLogLevel     = "info"
)

// LoadSettings reads and checks a host's settings and reads the password files
// that they name. Unknown fields are errors.
func LoadSettings(path string) (Settings, error) {
	s, err := ParseSettings(path)
	if err != nil {
		return s, err
	}
	return s, s.prepare()
}

// ParseSettings reads and checks a host's settings. The files that they name
// need not exist. Unknown fields are errors.
func ParseSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	var s Settings
	if err := config.DecodeStrict(path, data, &s); err != nil {
		return Settings{}, err
	}
	s.setDefaults()
	return s, s.check()
}

// CheckAgainst returns an error if the settings contradict the configuration: the
// host is missing from the inventory or listed in another zone, or the client
// listener is plaintext and a route needs a key.
func (s *Settings) CheckAgainst(doc *config.Document) error {
	zone := ""
	for _, h := range doc.Inventory.Hosts {
		if h.Name == s.Name {
			zone = h.Zone
		}
	}
	switch {
	case zone == "":
		return errors.Errorf("setting name: host %q is not in the inventory", s.Name)
	case zone != s.Zone:
		return errors.Errorf("setting zone: the inventory has host %q in zone %q, the settings in zone %q", s.Name, zone, s.Zone)
	}
	if !s.Client.Plaintext {
		return nil
	}
	for _, r := range doc.Rules.Routes {
		if !r.Public {
			return errors.Errorf("setting client.plaintext: route %q needs a key, which must not be sent without TLS", r.Name)
		}
	}
	return nil
}

func (s *Settings) setDefaults() {
	if s.Peer.Advertise == "" {
		s.Peer.Advertise = s.Peer.Listen
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = defaultDrainTimeout
	}
	if s.Client.MaxClients == 0 {
		s.Client.MaxClients = defaultMaxClients
	}
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
}

// prepare sets defaults, reads the password files and checks the settings.
func (s *Settings) prepare() error {
	s.setDefaults()
	if err := readSecret(s.Backend.PasswordFile, &s.Backend.Password); err != nil {
		return err
	}
	if err := readSecret(s.Backend.ControlPasswordFile, &s.Backend.ControlPassword); err != nil {
		return err
	}
	return s.check()
}

// readSecret reads a password from the file at path into target, and leaves
// target unchanged if path is empty. It strips line breaks at the end of the file.
func readSecret(path string, target *string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read backend password")
	}
	*target = strings.TrimRight(string(data), "\r\n")
	return nil
}

func (s *Settings) check() error {
	required := []struct{ name, value string }{
		{"name", s.Name},
		{"zone", s.Zone},
		{"client.listen", s.Client.Listen},
		{"peer.listen", s.Peer.Listen},
		{"platform", s.Platform},
		{"backend.user", s.Backend.User},
		{"backend.control_user", s.Backend.ControlUser},
	}
	for _, r := range required {
		if r.value == "" {
			return errors.Errorf("setting %s is missing", r.name)
		}
	}
	if s.MemoryMB < 0 || s.Client.MaxClients < 0 {
		return errors.New("settings memory_mb and client.max_clients must not be negative")
	}
	if s.Backend.User == s.Backend.ControlUser {
		return errors.New("settings backend.user and backend.control_user are the same; a caller's statement could then promote a database")
	}
	if !s.Client.Plaintext && (s.Client.Certificate == "" || s.Client.Key == "") {
		return errors.New("settings client.certificate and client.key are missing; set client.plaintext to allow connections without TLS")
	}
	for _, a := range []struct{ name, value string }{{"client.listen", s.Client.Listen}, {"peer.listen", s.Peer.Listen}, {"peer.advertise", s.Peer.Advertise}} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Errorf("setting %s: %q is not IP:port", a.name, a.value)
		}
	}
	return nil
}

// Credentials returns the credentials for callers' statements on backend servers.
func (s *Settings) Credentials() dbconn.Credentials {
	return dbconn.Credentials{User: s.Backend.User, Password: s.Backend.Password, Database: s.Backend.Database}
}

// ControlCredentials returns the credentials for the control calls: fence,
// promote, follow and evict.
func (s *Settings) ControlCredentials() dbconn.Credentials {
	return dbconn.Credentials{User: s.Backend.ControlUser, Password: s.Backend.ControlPassword, Database: s.Backend.Database}
}

// ClientTLS returns the TLS configuration of the client listener, nil for
// plaintext.
func (s *Settings) ClientTLS() (*tls.Config, error) {
	if s.Client.Certificate == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Client.Certificate, s.Client.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load client certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// PeerTLS returns the mutual TLS configuration for connections between hosts, nil
// for plaintext.
func (s *Settings) PeerTLS() (*tls.Config, error) {
	return peer.LoadTLS(s.Peer.Certificate, s.Peer.Key, s.Peer.CA)
}
