// Package logging makes a program's logger: structured lines to one writer that is
// never waited for, and a bound on the lines about single requests. What is left
// out is counted and told once a second.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"gypsumstand/internal/event"
	"gypsumstand/internal/task"
)

const (
	// ringLines is the number of lines that wait for a slow reader, about 300 KB.
	ringLines = 1024
	// tellInterval is how often lines left out are told.
	tellInterval = time.Second
)

// Logger is a program's logger with its bounded writer.
type Logger struct {
	// Main takes lines about the process and its beliefs.
	Main zerolog.Logger
	// Requests takes lines about single requests, at most a bound a second.
	Requests zerolog.Logger

	writer  diode.Writer
	sampler *sampler
	missed  atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a logger that writes to out from a goroutine of its own; Close ends
// it. requestLines bounds the lines a second about requests.
func New(out io.Writer, level zerolog.Level, requestLines int) *Logger {
	l := &Logger{stop: make(chan struct{}), done: make(chan struct{})}
	// A poll interval of zero wakes the writer by each line.
	l.writer = diode.NewWriter(out, ringLines, 0, func(missed int) { l.missed.Add(int64(missed)) })
	l.Main = zerolog.New(l.writer).Level(level).With().Timestamp().Logger()
	l.sampler = &sampler{burst: int64(requestLines)}
	l.Requests = l.Main.Sample(l.sampler)
	task.Go(l.tell, func(err error) { event.Log(&l.Main, event.ComponentFailed).Err(err).Send() })
	return l
}

// tell says each second how many lines were left out.
func (l *Logger) tell() {
	defer close(l.done)
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.tellOnce()
		case <-l.stop:
			l.tellOnce()
			return
		}
	}
}

func (l *Logger) tellOnce() {
	sampled, missed := l.sampler.renew(), l.missed.Swap(0)
	if sampled == 0 && missed == 0 {
		return
	}
	event.Log(&l.Main, event.LogLinesDropped).Int("over_the_bound", sampled).Int("reader_too_slow", missed).Send()
}

// Close writes what waits and ends the writer. Lines after it are lost.
func (l *Logger) Close() {
	close(l.stop)
	<-l.done
	// The writer below is not closed by it; its error has no receiver.
	_ = l.writer.Close()
}

// sampler lets burst lines through between two renewals.
type sampler struct {
	burst   int64
	used    atomic.Int64
	dropped atomic.Int64
}

// Sample implements zerolog.Sampler.
func (s *sampler) Sample(zerolog.Level) bool {
	if s.used.Add(1) <= s.burst {
		return true
	}
	s.dropped.Add(1)
	return false
}

// renew begins the next interval and returns how many lines were dropped.
func (s *sampler) renew() int64 {
	s.used.Store(0)
	return s.dropped.Swap(0)
}
