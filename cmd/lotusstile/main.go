// Command lotusstile schedules a fleet of machines that serve language models.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"lotusstile.dev/lotusstile/internal/capacity"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/node"
)

// version is the release number of this program.
var version = "0.1.0"

type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd   `cmd:"" help:"Check a settings file and exit."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	Config          string `required:"" type:"path" help:"Settings file (TOML)."`
	RelayHeartbeats bool   `name:"relay-check-ins" help:"${relay_help}"`
	WarmStandby     bool   `help:"${standby_help}"`
}

type checkCmd struct {
	Config          string `required:"" type:"path" help:"Settings file (TOML)."`
	Machines        int    `help:"Fleet size in machines: warn about limits that are too low for it."`
	RelayHeartbeats bool   `name:"relay-check-ins" help:"As for serve." default:"true" negatable:""`
}

// helpTexts are the texts that are too long for a struct tag.
var helpTexts = kong.Vars{
	"relay_help": "Let followers accept heartbeats and relay them to the leader in batches, " +
		"once the fleet is too large for the connections of one controller.",
	"standby_help": "Let the likely successor of the leader replicate its state, " +
		"so that it can place tasks sooner after the leader fails.",
}

type versionCmd struct{}

func main() {
	// The program runs on a fraction of one core: more threads would only add context switches.
	runtime.GOMAXPROCS(1)
	command := kong.Parse(
		&cli{},
		kong.Name("lotusstile"),
		kong.Description("A scheduler for fleets that serve language models."),
		kong.UsageOnError(),
		helpTexts,
	)
	if err := command.Run(); err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "lotusstile:", line)
		}
		os.Exit(1)
	}
}

// Run runs a controller until the process is killed.
func (c *serveCmd) Run() error {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	cfg.RelayHeartbeats, cfg.WarmStandby = c.RelayHeartbeats, c.WarmStandby
	checkDescriptors(cfg.Cluster.Limits.MaxConnections)
	debug.SetMemoryLimit(memoryLimit(cfg.Cluster.Limits.MemMb))
	debug.SetGCPercent(gcPercent)
	return node.New(cfg, node.NewTCPNetwork(cfg)).Run(context.Background())
}

// gcPercent lets the heap grow to five times the live data before a garbage collection: below the
// memory limit, memory is cheaper than the processor time of collections. Near the limit the runtime
// collects more often, regardless of gcPercent.
const gcPercent = 400

// memoryLimit returns the runtime's soft memory limit in bytes for a machine limit in MiB: half of it.
// The machine limit counts all memory of the process, so the other half is left for memory that the
// runtime does not count and for bursts. Package capacity assumes the same half.
func memoryLimit(machineMiB float64) int64 {
	const bytesPerMiB = 1 << 20
	return int64(machineMiB * bytesPerMiB / 2)
}

// otherDescriptors is the number of file descriptors that the process needs besides its connections.
const otherDescriptors = 32

// checkDescriptors warns if the process may open too few file descriptors for the given number of
// connections. The Go runtime has already raised the process's soft limit as far as it may.
func checkDescriptors(connections int) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		slog.Debug("cannot read the limit of file descriptors", "err", err)
		return
	}
	if need := uint64(connections + otherDescriptors); limit.Cur < need {
		slog.Warn(
			"fewer file descriptors than max_connections needs: connections will be refused",
			"descriptors", limit.Cur,
			"needed", need,
		)
	}
}

// Run checks the settings file and prints warnings for a fleet of the given size. The error that it
// returns joins one error per fault in the file.
func (c *checkCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	cfg.RelayHeartbeats = c.RelayHeartbeats
	fmt.Printf("%s: settings of %s are valid\n", c.Config, cfg.Label)
	if c.Machines < 0 {
		return errors.New("--machines must not be negative")
	}
	for _, warning := range capacity.Warnings(cfg, c.Machines) {
		fmt.Printf("warning: %s\n", warning)
	}
	return nil
}

// Run prints the version.
func (versionCmd) Run() error {
	_, err := fmt.Println("lotusstile", version)
	return err
}

// logLevel returns the log level for a value of LOG_LEVEL. An empty value means info.
func logLevel(name string) (slog.Level, error) {
	switch name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, errors.New("LOG_LEVEL must be error, info or debug")
}
