package cli

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/server"
)

// appliedFile is the file, in the directory of the configuration, that records
// the version that this working copy was last applied as. Operators keep it under
// version control, since apply uses it as the base version of an edit.
const appliedFile = "applied.yaml"

// fileMode is the permission of the files that subcommands write.
const fileMode = 0o644

type appliedRecord struct {
	Version uint64 `yaml:"version"`
}

func (a *app) checkCommand() *ff.Command {
	flags := ff.NewFlagSet("check")
	a.jsonFlag(flags)
	settings := flags.String(0, "settings", "", "host settings file to check against the configuration as well")
	protocol := protocolFlag(flags)
	line := lineSettings{}
	line.addOverrides(flags)
	return &ff.Command{
		Name:      "check",
		Usage:     "cranberryhinge check [--json] [--settings <FILE>] <DIRECTORY>",
		ShortHelp: "check inventory.yaml and rules.yaml in a directory, or a host's settings",
		LongHelp: "With --protocol line the configuration is the platform's, and only the settings of a host are\n" +
			"checked.\n\nEXAMPLE\n  cranberryhinge check examples/sundarban\n" +
			"  cranberryhinge check --protocol line --settings examples/line-host.yaml",
		Flags: flags,
		Exec: func(_ context.Context, args []string) error {
			if *protocol == protocolLine {
				line.file = *settings
				return a.checkLineSettings(line)
			}
			dir, err := oneArg(args, "the configuration directory")
			if err != nil {
				return err
			}
			if err := a.check(dir); err != nil || *settings == "" {
				return err
			}
			return checkHostSettings(dir, *settings)
		},
	}
}

type checkReport struct {
	OK        bool            `json:"ok"`
	Problems  config.Problems `json:"problems,omitempty"`
	Zones     int             `json:"zones"`
	Hosts     int             `json:"hosts"`
	Groups    int             `json:"groups"`
	Customers int             `json:"customers"`
	Routes    int             `json:"routes"`
}

func (a *app) check(dir string) error {
	doc, err := config.Load(dir)
	var problems config.Problems
	if a.json && errors.As(err, &problems) {
		if printErr := a.printJSON(checkReport{Problems: problems}); printErr != nil {
			return printErr
		}
		return errors.Errorf("configuration has %d problems", len(problems))
	}
	if err != nil {
		return err
	}
	r := checkReport{
		OK: true, Zones: len(doc.Inventory.Zones), Hosts: len(doc.Inventory.Hosts), Groups: len(doc.Inventory.Groups),
		Customers: len(doc.Inventory.Customers), Routes: len(doc.Rules.Routes),
	}
	if a.json {
		return a.printJSON(r)
	}
	a.printf("ok: %d availability zones, %d hosts, %d database groups, %d customers, %d routes\n",
		r.Zones, r.Hosts, r.Groups, r.Customers, r.Routes)
	return nil
}

// checkHostSettings checks the host settings at path against the configuration in
// dir.
func checkHostSettings(dir, path string) error {
	s, err := server.ParseSettings(path)
	if err != nil {
		return err
	}
	doc, err := config.Load(dir)
	if err != nil {
		return err
	}
	return s.CheckAgainst(doc)
}

func (a *app) applyCommand() *ff.Command {
	flags := ff.NewFlagSet("apply")
	a.jsonFlag(flags)
	host := newHostFlags(flags)
	base := flags.Int(0, "base", -1, "version that the edit is based on; default is the one in "+appliedFile)
	return &ff.Command{
		Name:      "apply",
		Usage:     "cranberryhinge apply --host <IP:PORT> [--base <VERSION>] <DIRECTORY>",
		ShortHelp: "publish a configuration through any host",
		LongHelp:  "The host refuses the configuration if another operator has published since the base version.\n\nEXAMPLE\n  cranberryhinge apply --host 127.0.0.1:7401 examples/sundarban",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			dir, err := oneArg(args, "the configuration directory")
			if err != nil {
				return err
			}
			if err := host.require(); err != nil {
				return err
			}
			return a.apply(ctx, host, dir, *base)
		},
	}
}

type applyReport struct {
	Version uint64 `json:"version"`
}

func (a *app) apply(ctx context.Context, host *hostFlags, dir string, base int) error {
	doc, err := config.Load(dir)
	if err != nil {
		return err
	}
	data, err := config.Encode(doc)
	if err != nil {
		return err
	}
	baseVersion := uint64(max(base, 0))
	if base < 0 {
		if baseVersion, err = readApplied(dir); err != nil {
			return err
		}
	}
	version, err := publish(ctx, host, data, baseVersion)
	if err != nil {
		return err
	}
	if err := writeApplied(dir, version); err != nil {
		return err
	}
	if a.json {
		return a.printJSON(applyReport{Version: version})
	}
	a.printf("applied as version %d\n", version)
	return nil
}

// publish publishes a configuration through the host and returns its version.
func publish(ctx context.Context, host *hostFlags, data []byte, base uint64) (uint64, error) {
	var version uint64
	err := host.call(ctx, func(ctx context.Context, c peerpb.PeerClient) error {
		resp, err := c.Apply(ctx, &peerpb.ApplyRequest{Document: data, BaseVersion: base})
		switch {
		case err != nil:
			return errors.Wrap(err, "apply: the outcome is unknown, see `cranberryhinge status`")
		case resp.GetConflict():
			return errors.Errorf("conflict: version %d is in force and this edit is based on version %d; merge and apply again with --base %d",
				resp.GetVersion(), base, resp.GetVersion())
		case resp.GetError() != "":
			return errors.New(resp.GetError())
		}
		version = resp.GetVersion()
		return nil
	})
	return version, err
}

// readApplied returns the version in appliedFile, 0 if the file does not exist.
func readApplied(dir string) (uint64, error) {
	data, err := os.ReadFile(filepath.Join(dir, appliedFile))
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read base version")
	}
	var v appliedRecord
	if err := yaml.Unmarshal(data, &v); err != nil {
		return 0, errors.Wrapf(err, "parse %s", appliedFile)
	}
	return v.Version, nil
}

func writeApplied(dir string, version uint64) error {
	data, err := yaml.Marshal(appliedRecord{Version: version})
	if err != nil {
		return errors.Wrap(err, "encode base version")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, appliedFile), data, fileMode), "write base version")
}

func (a *app) keyCommand() *ff.Command {
	return &ff.Command{
		Name:        "key",
		Usage:       "cranberryhinge key <new|withdraw> ...",
		ShortHelp:   "issue or withdraw a customer's key",
		Subcommands: []*ff.Command{a.keyNewCommand(), a.keyWithdrawCommand()},
	}
}

func (a *app) keyNewCommand() *ff.Command {
	flags := ff.NewFlagSet("new")
	a.jsonFlag(flags)
	customer := flags.String(0, "customer", "", "customer that the key belongs to")
	caller := flags.String(0, "caller", "", "caller that will use the key")
	id := flags.String(0, "id", "", "key id; default is the caller's name and the date")
	return &ff.Command{
		Name:      "new",
		Usage:     "cranberryhinge key new --customer <NAME> --caller <NAME> <DIRECTORY>",
		ShortHelp: "add a key verifier to the inventory and print the key once",
		LongHelp:  "EXAMPLE\n  cranberryhinge key new --customer head-office --caller quality examples/sundarban",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			dir, err := oneArg(args, "the configuration directory")
			if err != nil {
				return err
			}
			if *customer == "" || *caller == "" {
				return usagef("--customer and --caller are required")
			}
			if *id == "" {
				*id = *caller + "-" + time.Now().UTC().Format("20060102-150405")
			}
			return a.keyNew(dir, *customer, *caller, *id)
		},
	}
}

type keyReport struct {
	Customer string `json:"customer"`
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"`
}

func (a *app) keyNew(dir, customer, caller, id string) error {
	const secretBytes = 32
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return errors.Wrap(err, "generate secret")
	}
	text := hex.EncodeToString(secret)
	ref := config.KeyRef{ID: id, Caller: caller, SHA256: config.EncodeDigest(sha256.Sum256([]byte(text)))}
	err := editFile(filepath.Join(dir, config.InventoryFile), func(data []byte) ([]byte, error) {
		return config.AddKey(data, customer, ref)
	})
	if err != nil {
		return err
	}
	r := keyReport{Customer: customer, ID: id, Key: customer + "." + id + "." + text}
	if a.json {
		return a.printJSON(r)
	}
	a.printf("%s\nThe key is shown once and stored nowhere. Commit and apply %s to put it in force.\n", r.Key, dir)
	return nil
}

func (a *app) keyWithdrawCommand() *ff.Command {
	flags := ff.NewFlagSet("withdraw")
	a.jsonFlag(flags)
	customer := flags.String(0, "customer", "", "customer that the key belongs to")
	id := flags.String(0, "id", "", "key id")
	return &ff.Command{
		Name:      "withdraw",
		Usage:     "cranberryhinge key withdraw --customer <NAME> --id <KEY ID> <DIRECTORY>",
		ShortHelp: "mark a key as withdrawn in the inventory",
		LongHelp:  "EXAMPLE\n  cranberryhinge key withdraw --customer head-office --id quality examples/sundarban",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			dir, err := oneArg(args, "the configuration directory")
			if err != nil {
				return err
			}
			if *customer == "" || *id == "" {
				return usagef("--customer and --id are required")
			}
			err = editFile(filepath.Join(dir, config.InventoryFile), func(data []byte) ([]byte, error) {
				return config.WithdrawKey(data, *customer, *id)
			})
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(keyReport{Customer: *customer, ID: *id})
			}
			a.printf("key %s of %s is marked as withdrawn. Commit and apply %s to put it in force.\n", *id, *customer, dir)
			return nil
		},
	}
}

func (a *app) zoneCommand() *ff.Command {
	return &ff.Command{
		Name:      "zone",
		Usage:     "cranberryhinge zone <out|in> ...",
		ShortHelp: "take an availability zone out of service or bring it back",
		Subcommands: []*ff.Command{
			a.zoneChangeCommand("out", "take an availability zone out of service", true),
			a.zoneChangeCommand("in", "bring an availability zone back", false),
		},
	}
}

type zoneReport struct {
	Zone    string `json:"zone"`
	Out     bool   `json:"out"`
	Version uint64 `json:"version,omitempty"`
}

func (a *app) zoneChangeCommand(name, help string, out bool) *ff.Command {
	flags := ff.NewFlagSet(name)
	a.jsonFlag(flags)
	host := newHostFlags(flags)
	dir := flags.String(0, "config", ".", "configuration directory")
	return &ff.Command{
		Name:      name,
		Usage:     "cranberryhinge zone " + name + " [--config <DIRECTORY>] [--host <IP:PORT>] <ZONE>",
		ShortHelp: help,
		LongHelp:  "With --host the change is also applied.\n\nEXAMPLE\n  cranberryhinge zone " + name + " --config examples/sundarban --host 127.0.0.1:7401 kolkata",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			zone, err := oneArg(args, "the availability zone")
			if err != nil {
				return err
			}
			return a.setZoneOut(ctx, *dir, host, zone, out)
		},
	}
}

func (a *app) setZoneOut(ctx context.Context, dir string, host *hostFlags, zone string, out bool) error {
	err := editFile(filepath.Join(dir, config.RulesFile), func(data []byte) ([]byte, error) {
		return config.SetZoneOut(data, zone, out)
	})
	if err != nil {
		return err
	}
	if _, err := config.Load(dir); err != nil {
		return err
	}
	if host.address != "" {
		return a.apply(ctx, host, dir, -1)
	}
	if a.json {
		return a.printJSON(zoneReport{Zone: zone, Out: out})
	}
	a.printf("%s changed in %s. Commit and apply it to put it in force.\n", config.RulesFile, dir)
	return nil
}

// editFile replaces a file by its edited content. It writes a temporary file and
// renames it, so that an interrupted edit leaves the old content.
func editFile(path string, edit func([]byte) ([]byte, error)) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read configuration file")
	}
	edited, err := edit(data)
	if err != nil {
		return errors.Wrapf(err, "edit %s", path)
	}
	tempPath := path + ".tmp"
	if err := os.WriteFile(tempPath, edited, fileMode); err != nil {
		return errors.Wrap(err, "write edited configuration file")
	}
	return errors.Wrap(os.Rename(tempPath, path), "replace configuration file")
}
