package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberryhinge/cranberryhinge/internal/host"
	"github.com/cranberryhinge/cranberryhinge/platform"
)

// Protocols of callers and backend servers.
const (
	protocolPostgreSQL = "postgresql"
	protocolLine       = "line"
)

// serveLine runs a host that speaks the line protocol. Without a path it takes
// the settings from where the platform puts them.
func (a *app) serveLine(ctx context.Context, path string) error {
	if path == "" {
		path = platform.SettingsFile()
	}
	if path == "" {
		return usagef("--settings is missing")
	}
	s, err := host.LoadSettings(path)
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
