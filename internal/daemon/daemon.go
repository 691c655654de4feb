// Package daemon implements the node programs (gypsumd and gypsumside): it reads the
// settings, runs a node and handles signals.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/event"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/logging"
	"gypsumstand/internal/node"
	"gypsumstand/internal/settings"
	"gypsumstand/internal/task"
)

// Exit codes of the node programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
	// ExitCutOff means that the time limit of a stop passed with requests in flight.
	ExitCutOff = 4
)

// Main parses the command line, runs a node and returns the exit code. settingsPath is the
// default of the flag -settings.
func Main(usage, settingsPath string, out io.Writer, adapt Adapter) int {
	path := flag.String("settings", settingsPath, "settings file (TOML)")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		return ExitUsage
	}
	return Run(context.Background(), *path, out, adapt)
}

// Adaptation holds a platform's replacements for the default dialects and directory.
type Adaptation struct {
	Callers   dialect.Callers
	Workers   dialect.Workers
	Directory node.Directory
}

// Adapter returns the adaptation for checked settings. A nil Adapter keeps the defaults.
type Adapter func(s *settings.Settings, log zerolog.Logger) (Adaptation, error)

// Run reads the settings at path, serves until ctx ends or SIGTERM or SIGINT arrives, then
// stops gracefully. It returns the exit code.
func Run(ctx context.Context, path string, out io.Writer, adapt Adapter) int {
	// The transport of net/http prints unsolicited responses of a worker to the standard
	// logger in full. They may hold callers' data, which must not reach a log.
	stdlog.SetOutput(io.Discard)
	// SIGHUP stays caught from start to exit: by default it kills the process, even during
	// a graceful stop.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	// By default a write to standard output or standard error whose reader has exited kills
	// the process, and every request in flight with it. Ignoring SIGPIPE loses only log lines.
	signal.Ignore(syscall.SIGPIPE)
	log := zerolog.New(out).With().Timestamp().Logger()
	s, err := settings.Load(path)
	if err != nil {
		logSettingsErrors(&log, err)
		return ExitSettings
	}
	logger := logging.New(out, s.Level(), s.RequestLogLines)
	defer logger.Close()
	return serve(ctx, path, s, logger, adapt, sighup)
}

// serve builds the node from the settings and runs it until it stops.
func serve(ctx context.Context, path string, s *settings.Settings, logger *logging.Logger, adapt Adapter, sighup <-chan os.Signal) int {
	log := logger.Main
	s.Log(&log)
	cfg, err := nodeConfig(s, log)
	if err != nil {
		logSettingsErrors(&log, err)
		return ExitSettings
	}
	if adapt != nil {
		adaptation, err := adapt(s, log)
		if err != nil {
			logSettingsErrors(&log, err)
			return ExitSettings
		}
		cfg.Callers, cfg.Workers, cfg.Directory = adaptation.Callers, adaptation.Workers, adaptation.Directory
	}
	cfg.RequestLog = logger.Requests
	limitMemory(s.MemoryLimit())
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(cfg)
	if err != nil {
		event.Log(&log, event.Fatal).Err(err).Send()
		return ExitFailed
	}
	done := make(chan struct{})
	task.Go(func() { watchSIGHUP(sighup, done, path, s, &log) }, func(err error) {
		event.Log(&log, event.ComponentFailed).Err(err).Send()
	})
	defer close(done)
	return exitCode(n.Run(ctx))
}

// heapDivisor divides the process's memory limit to give the soft limit of the Go heap.
// Goroutine stacks, connection buffers and the runtime need the rest.
const heapDivisor = 2

// boundedGCPercent is GOGC for a process with a memory limit: the heap grows by a quarter
// of the live data between collections instead of doubling. With 2 to 4 MB of live data
// this saves about 3 of 15 MB per process and costs under 0.1% of a core at 20 requests per
// second.
const boundedGCPercent = 25

// limitMemory tunes the garbage collector for a memory limit of the process in bytes. Zero
// means no limit.
func limitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit / heapDivisor)
		debug.SetGCPercent(boundedGCPercent)
	}
}

// exitCode maps the result of node.Node.Run to an exit code.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, node.ErrCutOff):
		return ExitCutOff
	}
	return ExitFailed
}

// logSettingsErrors logs one line per finding in the settings.
func logSettingsErrors(log *zerolog.Logger, err error) {
	var list finding.List
	if !errors.As(err, &list) {
		event.Log(log, event.SettingsRefused).Err(err).Send()
		return
	}
	for _, f := range list {
		event.Log(log, event.SettingsRefused).Str("finding", f.String()).Send()
	}
}

// nodeConfig converts settings to the node's configuration.
func nodeConfig(s *settings.Settings, log zerolog.Logger) (node.Config, error) {
	peerTLS, err := s.TLS.Load()
	if err != nil {
		return node.Config{}, err
	}
	return node.Config{
		Instance:           s.Instance,
		Service:            s.Service,
		DataCentre:         s.DataCentre,
		Regions:            s.Regions(),
		CallerAddress:      s.CallerAddress,
		PeerAddress:        s.PeerAddress,
		OperatorAddress:    s.OperatorAddress,
		WorkerAddress:      s.WorkerAddress,
		ListAddresses:      []string{s.Platform.ListAddress},
		ConfigAddresses:    []string{s.Platform.ConfigAddress},
		PlatformTimeout:    s.Platform.Timeout(),
		Seeds:              s.Peers,
		Trusted:            s.TrustedSigners(),
		PeerTLS:            peerTLS,
		StopTimeout:        s.StopTimeout(),
		LeaveGrace:         s.LeaveGrace(),
		LocalDelay:         s.LocalDelay(),
		RemoteDelay:        s.RemoteDelay(),
		MaxHeaderBytes:     s.MaxHeaderBytes,
		MaxIdleConnections: s.MaxIdleConnections,
		BodyMemory:         s.BodyMemory(),
		IdleTimeout:        node.DefaultIdleTimeout,
		Log:                log,
	}, nil
}

// watchSIGHUP checks the settings file at each SIGHUP and logs whether it is valid and
// differs from the current settings. It changes nothing: new settings take effect only by a
// planned stop and a start, so that no node runs on a half-edited file. Everything that
// changes while a node runs is in the bundles.
func watchSIGHUP(sighup <-chan os.Signal, done <-chan struct{}, path string, current *settings.Settings, log *zerolog.Logger) {
	for {
		select {
		case <-done:
			return
		case <-sighup:
			recheckSettings(path, current, log)
		}
	}
}

// recheckSettings loads the settings file and logs how it compares to the current settings.
func recheckSettings(path string, current *settings.Settings, log *zerolog.Logger) {
	s, err := settings.Load(path)
	if err != nil {
		logSettingsErrors(log, err)
		return
	}
	result := "as in force"
	if !reflect.DeepEqual(s, current) {
		result = "valid, but differ from those in force: stop and start the node to apply them"
	}
	event.Log(log, event.SettingsChecked).Str("settings", result).Send()
}
