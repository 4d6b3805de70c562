package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"

	"github.com/cranberryhinge/cranberryhinge/internal/host"
	"github.com/cranberryhinge/cranberryhinge/platform"
)

// Protocols of callers and backend servers.
const (
	protocolPostgreSQL = "postgresql"
	protocolLine       = "line"
)

// protocolFlag adds --protocol to a flag set.
func protocolFlag(flags *ff.FlagSet) *string {
	return flags.StringEnum(0, "protocol", "protocol of callers and backend servers: postgresql or line", protocolPostgreSQL, protocolLine)
}

// settingsPath returns the path of a host's settings. Without a name it is where
// the platform puts them.
func settingsPath(named string) (string, error) {
	if named == "" {
		named = platform.SettingsFile()
	}
	if named == "" {
		return "", usagef("--settings is missing")
	}
	return named, nil
}

// loadLine reads the settings of a host that speaks the line protocol.
func loadLine(named string) (path string, s host.Settings, err error) {
	if path, err = settingsPath(named); err != nil {
		return "", s, err
	}
	s, err = host.LoadSettings(path)
	return path, s, err
}

// checkLine checks the settings of a host that speaks the line protocol.
func (a *app) checkLine(named string) error {
	path, s, err := loadLine(named)
	if err != nil {
		return err
	}
	a.printf("%s: host %s in zone %s, %d zones: ok\n", path, s.Name, s.Zone, len(s.Zones))
	return nil
}

// serveLine runs a host that speaks the line protocol.
func (a *app) serveLine(ctx context.Context, named string) error {
	path, s, err := loadLine(named)
	if err != nil {
		return err
	}
	h, err := host.New(s, platform.Adapters(s), a.stdout)
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	reload := make(chan func() (host.Settings, error))
	go func() {
		for range hup {
			select {
			case reload <- func() (host.Settings, error) { return host.LoadSettings(path) }:
			case <-ctx.Done():
				return
			}
		}
	}()
	return h.Run(ctx, reload)
}
