package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/event"
	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/fake/worker"
)

// stopTimeout bounds a planned stop.
const stopTimeout = 10 * time.Second

// part is the stand-in to serve: a server, or a worker that needs its listener.
type part struct {
	server *http.Server
	worker *worker.Worker
	flags  *workerFlags
}

// bind gives the stand-in its listener.
func (p *part) bind(l *listen.Listener) error {
	if p.worker == nil {
		return nil
	}
	l.SetLimit(p.flags.connections)
	l.SetDelay(p.flags.connectDelay)
	p.server = p.worker.NewServer(l)
	return p.worker.ChangeFaults(func(f *worker.Faults) { f.Cold = p.flags.cold })
}

// serve serves both ports until ctx ends and returns the exit code.
func serve(ctx context.Context, stderr io.Writer, name string, at ports, p part, control http.Handler) int {
	log := zerolog.New(stderr).With().Timestamp().Str("stand_in", name).Logger()
	work, err := listen.TCP(at.listen)
	if err != nil {
		event.Log(&log, event.StandInFailed).Err(err).Send()
		return exitFailed
	}
	defer work.Close()
	steer, err := net.Listen("tcp", at.control)
	if err == nil {
		defer steer.Close()
		err = p.bind(work)
	}
	if err != nil {
		event.Log(&log, event.StandInFailed).Err(err).Send()
		return exitFailed
	}
	controlServer := &http.Server{Handler: control, ReadHeaderTimeout: stopTimeout}
	failed := make(chan error, 2)
	go func() { failed <- p.server.Serve(work) }()
	go func() { failed <- controlServer.Serve(steer) }()
	event.Log(&log, event.StandInStarted).Str("listen", work.Addr().String()).Str("control", steer.Addr().String()).Send()
	select {
	case err := <-failed:
		_ = p.server.Close()
		_ = controlServer.Close()
		event.Log(&log, event.StandInFailed).Err(err).Send()
		return exitFailed
	case <-ctx.Done():
	}
	stop(&log, p.server, controlServer)
	return exitOK
}

// stop finishes what is in flight, within stopTimeout.
func stop(log *zerolog.Logger, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var errs []error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			errs = append(errs, err)
			_ = s.Close()
		}
	}
	if err := errors.Join(errs...); err != nil {
		event.Log(log, event.StandInCutOff).Err(err).Send()
		return
	}
	event.Log(log, event.StandInStopped).Send()
}
