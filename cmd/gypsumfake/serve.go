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

// stopTimeout is the time limit of a graceful stop.
const stopTimeout = 10 * time.Second

// standIn is the stand-in to serve: either a server, or a worker whose server is made once
// its listener exists.
type standIn struct {
	server *http.Server
	worker *worker.Worker
	flags  *workerFlags
}

// attach configures the listener from the flags and creates the server of a worker. It does
// nothing for other stand-ins.
func (s *standIn) attach(l *listen.Listener) error {
	if s.worker == nil {
		return nil
	}
	l.SetLimit(s.flags.connections)
	l.SetDelay(s.flags.connectDelay)
	s.server = s.worker.NewServer(l)
	return s.worker.ChangeFaults(func(f *worker.Faults) { f.Cold = s.flags.cold })
}

// serve serves the work and control ports until ctx ends and returns the exit code.
func serve(ctx context.Context, stderr io.Writer, name string, addresses addressFlags, s standIn, control http.Handler) int {
	log := zerolog.New(stderr).With().Timestamp().Str("stand_in", name).Logger()
	listener, err := listen.TCP(addresses.listen)
	if err != nil {
		event.Log(&log, event.StandInFailed).Err(err).Send()
		return exitFailed
	}
	defer listener.Close()
	controlListener, err := net.Listen("tcp", addresses.control)
	if err == nil {
		defer controlListener.Close()
		err = s.attach(listener)
	}
	if err != nil {
		event.Log(&log, event.StandInFailed).Err(err).Send()
		return exitFailed
	}
	controlServer := &http.Server{Handler: control, ReadHeaderTimeout: stopTimeout}
	failed := make(chan error, 2)
	go func() { failed <- s.server.Serve(listener) }()
	go func() { failed <- controlServer.Serve(controlListener) }()
	event.Log(&log, event.StandInStarted).Str("listen", listener.Addr().String()).Str("control", controlListener.Addr().String()).Send()
	select {
	case err := <-failed:
		_ = s.server.Close()
		_ = controlServer.Close()
		event.Log(&log, event.StandInFailed).Err(err).Send()
		return exitFailed
	case <-ctx.Done():
	}
	stop(&log, s.server, controlServer)
	return exitOK
}

// stop shuts the servers down gracefully; requests that take longer than stopTimeout are cut
// off.
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
