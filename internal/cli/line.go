package cli

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v4"

	"github.com/cranberryhinge/cranberryhinge/internal/host"
	"github.com/cranberryhinge/cranberryhinge/platform"
)

// Values of --protocol: the protocol of callers and backend servers.
const (
	protocolPostgreSQL = "postgresql"
	protocolLine       = "line"
)

// protocolFlag adds --protocol to a flag set.
func protocolFlag(flags *ff.FlagSet) *string {
	return flags.StringEnum(0, "protocol", "protocol of callers and backend servers: postgresql or line", protocolPostgreSQL, protocolLine)
}

// settingsPath returns the path of a host's settings: flagValue, or the path that
// the platform assigns if flagValue is empty.
func settingsPath(flagValue string) (string, error) {
	if flagValue == "" {
		flagValue = platform.SettingsFile()
	}
	if flagValue == "" {
		return "", usagef("--settings is missing")
	}
	return flagValue, nil
}

// lineSettings holds the flags that select the settings of a host for the line protocol.
type lineSettings struct {
	file string
	// overrides are settings in the form NAME=VALUE that replace those of the file.
	overrides []string
}

// addOverrides adds --set to a flag set.
func (l *lineSettings) addOverrides(flags *ff.FlagSet) {
	flags.StringListVar(&l.overrides, 0, "set", "NAME=VALUE, replaces a setting of the file; repeatable; --protocol line only")
}

// load reads the settings of a host for the line protocol, and returns them with their
// path.
func (l lineSettings) load() (path string, s host.Settings, err error) {
	if path, err = settingsPath(l.file); err != nil {
		return "", s, err
	}
	s, err = host.LoadSettings(path, l.overrides...)
	return path, s, err
}

// checkLineSettings checks the settings of a host for the line protocol.
func (a *app) checkLineSettings(l lineSettings) error {
	path, s, err := l.load()
	if err != nil {
		return err
	}
	a.printf("%s: host %s in zone %s, %d zones: ok\n", path, s.Name, s.Zone, len(s.Zones))
	a.printf("changed by a reload (SIGHUP): %s; all other settings by a restart\n", strings.Join(host.ReloadableSettings(), ", "))
	return nil
}

// serveLineHost runs a host for the line protocol until ctx ends. SIGHUP makes
// the host reload its settings.
func (a *app) serveLineHost(ctx context.Context, l lineSettings) error {
	// Without a handler, SIGHUP ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	_, s, err := l.load()
	if err != nil {
		return err
	}
	h, err := host.New(s, platform.Adapters(s), a.stdout)
	if err != nil {
		return err
	}
	reload := make(chan func() (host.Settings, error))
	go func() {
		for range hup {
			select {
			case reload <- func() (host.Settings, error) {
				_, s, err := l.load()
				return s, err
			}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return h.Run(ctx, reload)
}
