// Package logging provides a structured logger that never blocks on its writer and limits
// the rate of lines about single requests. Dropped lines are counted and reported once per
// second.
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
	// bufferLines is the number of lines buffered for a slow reader, about 300 KB.
	bufferLines = 1024
	// dropReportInterval is the interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// timeFormat has milliseconds, in which load, views and reads change.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// Logger holds a program's loggers and their shared non-blocking writer.
type Logger struct {
	// Main logs lines about the process and its view of the fleet. They are not rate-limited.
	Main zerolog.Logger
	// Requests logs lines about single requests, up to a limit per second.
	Requests zerolog.Logger

	writer  diode.Writer
	sampler *sampler
	missed  atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a logger that writes to out from its own goroutine until Close. requestLines
// is the maximum number of lines per second about requests.
func New(out io.Writer, level zerolog.Level, requestLines int) *Logger {
	l := &Logger{stop: make(chan struct{}), done: make(chan struct{})}
	// A poll interval of zero makes every line wake the writer.
	l.writer = diode.NewWriter(out, bufferLines, 0, func(missed int) { l.missed.Add(int64(missed)) })
	l.Main = zerolog.New(l.writer).Level(level).With().Timestamp().Logger()
	l.sampler = &sampler{limit: int64(requestLines)}
	l.Requests = l.Main.Sample(l.sampler)
	task.Go(l.reportLoop, func(err error) { event.Log(&l.Main, event.ComponentFailed).Err(err).Send() })
	return l
}

// reportLoop reports dropped lines every dropReportInterval and once more at Close.
func (l *Logger) reportLoop() {
	defer close(l.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.reportDropped()
		case <-l.stop:
			l.reportDropped()
			return
		}
	}
}

// reportDropped logs how many lines were dropped since the last report, if any.
func (l *Logger) reportDropped() {
	sampled, missed := l.sampler.reset(), l.missed.Swap(0)
	if sampled == 0 && missed == 0 {
		return
	}
	event.Log(&l.Main, event.LogLinesDropped).Int("over_the_bound", sampled).Int("reader_too_slow", missed).Send()
}

// Close flushes the buffer and stops the writer. Later lines are lost.
func (l *Logger) Close() {
	close(l.stop)
	<-l.done
	// The diode writer does not close the writer below it. There is nowhere to report an error.
	_ = l.writer.Close()
}

// sampler passes up to limit lines between two resets and drops the rest.
type sampler struct {
	limit   int64
	used    atomic.Int64
	dropped atomic.Int64
}

// Sample implements zerolog.Sampler: it reports whether the line is logged.
func (s *sampler) Sample(zerolog.Level) bool {
	if s.used.Add(1) <= s.limit {
		return true
	}
	s.dropped.Add(1)
	return false
}

// reset begins a new interval and returns how many lines the last one dropped.
func (s *sampler) reset() int64 {
	s.used.Store(0)
	return s.dropped.Swap(0)
}
