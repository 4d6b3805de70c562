package cli

import (
	"context"
	"net"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/server"
	"github.com/cranberryhinge/cranberryhinge/internal/standin"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

func (a *app) serveCommand() *ff.Command {
	flags := ff.NewFlagSet("serve")
	settings := flags.String(0, "settings", "", "YAML file with this host's settings")
	protocol := protocolFlag(flags)
	line := lineSettings{}
	line.addOverrides(flags)
	return &ff.Command{
		Name:      "serve",
		Usage:     "cranberryhinge serve [--protocol <PROTOCOL>] --settings <FILE> [--set <NAME=VALUE> ...]",
		ShortHelp: "run one host",
		LongHelp: "The host stops gracefully on SIGTERM and SIGINT: it hands its roles over, refuses new\n" +
			"sessions and lets open transactions end.\n\nEXAMPLE\n  cranberryhinge serve --settings examples/host.yaml",
		Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *protocol == protocolLine {
				line.file = *settings
				return a.serveLineHost(ctx, line)
			}
			if *settings == "" {
				return usagef("--settings is missing")
			}
			s, err := server.LoadSettings(*settings)
			if err != nil {
				return err
			}
			host, err := server.New(s, server.Options{LogWriter: a.stderr})
			if err != nil {
				return err
			}
			return host.Run(ctx)
		},
	}
}

func (a *app) standinCommand() *ff.Command {
	return &ff.Command{
		Name:        "standin",
		Usage:       "cranberryhinge standin <database|platform> ...",
		ShortHelp:   "run a stand-in database or platform, to try the system out",
		Subcommands: []*ff.Command{a.standinDatabaseCommand(), a.standinPlatformCommand()},
	}
}

func (a *app) standinDatabaseCommand() *ff.Command {
	flags := ff.NewFlagSet("database")
	settings := flags.String(0, "settings", "", "YAML file with the database's settings")
	return &ff.Command{
		Name:      "database",
		Usage:     "cranberryhinge standin database --settings <FILE>",
		ShortHelp: "run one stand-in database",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *settings == "" {
				return usagef("--settings is missing")
			}
			data, err := os.ReadFile(*settings)
			if err != nil {
				return errors.Wrap(err, "read settings")
			}
			s, err := standin.ParseDatabaseSettings(data)
			if err != nil {
				return err
			}
			return standin.RunDatabase(ctx, s)
		},
	}
}

func (a *app) standinPlatformCommand() *ff.Command {
	flags := ff.NewFlagSet("platform")
	listen := flags.String(0, "listen", "127.0.0.1:7300", "address to listen on")
	settings := flags.String(0, "settings", "", "YAML file with delays and the host list; optional")
	return &ff.Command{
		Name:      "platform",
		Usage:     "cranberryhinge standin platform [--listen <IP:PORT>] [--settings <FILE>]",
		ShortHelp: "run the stand-in of the platform's table service, object store and host list",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			var s store.FakeSettings
			if *settings != "" {
				data, err := os.ReadFile(*settings)
				if err != nil {
					return errors.Wrap(err, "read settings")
				}
				if s, err = store.ParseFakeSettings(data); err != nil {
					return err
				}
			}
			listener, err := net.Listen("tcp", *listen)
			if err != nil {
				return errors.Wrap(err, "open platform listener")
			}
			return store.Serve(ctx, listener, store.NewFake(s))
		},
	}
}
