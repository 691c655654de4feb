// Package daemon is gypsumd without its main: it reads the settings, runs a node
// and obeys signals.
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

// Exit codes of gypsumd.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
	// ExitCutOff: the stop's bound ended with requests in flight.
	ExitCutOff = 4
)

// Main is a node program: it reads the command line and runs. settingsPath is used
// where no flag names the file. It returns the exit code.
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

// Adaptation is what a platform's adapter brings in place of the product's own.
type Adaptation struct {
	Callers   dialect.Callers
	Workers   dialect.Workers
	Directory node.Directory
}

// Adapter makes the adaptation for checked settings; nil means the product's own.
type Adapter func(s *settings.Settings, log zerolog.Logger) (Adaptation, error)

// Run reads the settings at path and serves until ctx ends or SIGTERM or SIGINT
// comes, then stops gracefully. It returns the exit code.
func Run(ctx context.Context, path string, out io.Writer, adapt Adapter) int {
	// net/http's transport prints unsolicited answers of a worker there, whole: what
	// a caller was to read is not for the log.
	stdlog.SetOutput(io.Discard)
	// From the first moment to the last: by default a hang-up ends a process, also one
	// that is finishing what it has.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	// By default a write to a log whose reader has gone ends a process with all that it has
	// in hand: the lines are lost instead.
	signal.Ignore(syscall.SIGPIPE)
	plain := zerolog.New(out).With().Timestamp().Logger()
	s, err := settings.Load(path)
	if err != nil {
		refuse(&plain, err)
		return ExitSettings
	}
	logger := logging.New(out, s.Level(), s.RequestLogLines)
	defer logger.Close()
	return serve(ctx, path, s, logger, adapt, hangUps)
}

func serve(ctx context.Context, path string, s *settings.Settings, logger *logging.Logger, adapt Adapter, hangUps <-chan os.Signal) int {
	log := logger.Main
	s.Log(&log)
	cfg, err := config(s, log)
	if err != nil {
		refuse(&log, err)
		return ExitSettings
	}
	if adapt != nil {
		adaptation, err := adapt(s, log)
		if err != nil {
			refuse(&log, err)
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
	ended := make(chan struct{})
	task.Go(func() { watchHangUps(hangUps, ended, path, s, &log) }, func(err error) {
		event.Log(&log, event.ComponentFailed).Err(err).Send()
	})
	defer close(ended)
	return code(n.Run(ctx))
}

// heapShare is the part of the process's memory that the collector keeps the heap
// within: stacks, connections' buffers and the runtime need the rest.
const heapShare = 2

// frugalPercent is the collector's growth of the heap (GOGC) where memory is bounded:
// a quarter of what lives, in place of as much again. Live data are 2 to 4 MB, so it
// saves about 3 MB of 15 a process, for under 0.1% of a core at 20 requests a second.
const frugalPercent = 25

// limitMemory makes the collector work harder before the process's bound is near.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes / heapShare)
		debug.SetGCPercent(frugalPercent)
	}
}

func code(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, node.ErrCutOff):
		return ExitCutOff
	}
	return ExitFailed
}

// refuse logs every finding of the settings, one a line.
func refuse(log *zerolog.Logger, err error) {
	var list finding.List
	if !errors.As(err, &list) {
		event.Log(log, event.SettingsRefused).Err(err).Send()
		return
	}
	for _, f := range list {
		event.Log(log, event.SettingsRefused).Str("finding", f.String()).Send()
	}
}

// config turns settings into the node's configuration.
func config(s *settings.Settings, log zerolog.Logger) (node.Config, error) {
	secured, err := s.TLS.Load()
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
		PeerTLS:            secured,
		StopTimeout:        s.StopTimeout(),
		LeaveGrace:         s.LeaveGrace(),
		LocalDelay:         s.LocalDelay(),
		RemoteDelay:        s.RemoteDelay(),
		MaxHeaderBytes:     s.MaxHeaderBytes,
		MaxIdleConnections: s.MaxIdleConnections,
		IdleTimeout:        node.DefaultIdleTimeout,
		Log:                log,
	}, nil
}

// watchHangUps checks the settings file anew at each SIGHUP and says whether it is
// sound and differs from the settings in force. Nothing is changed: a node's own
// settings take force by a planned stop and a start, so that no node runs on
// half of an edit; all that changes while it runs is in the bundles.
func watchHangUps(hangUps <-chan os.Signal, ended <-chan struct{}, path string, inForce *settings.Settings, log *zerolog.Logger) {
	for {
		select {
		case <-ended:
			return
		case <-hangUps:
			checkAnew(path, inForce, log)
		}
	}
}

func checkAnew(path string, inForce *settings.Settings, log *zerolog.Logger) {
	s, err := settings.Load(path)
	if err != nil {
		refuse(log, err)
		return
	}
	word := "as in force"
	if !reflect.DeepEqual(s, inForce) {
		word = "sound, and differ from those in force: stop and start the node to use them"
	}
	event.Log(log, event.SettingsChecked).Str("settings", word).Send()
}
