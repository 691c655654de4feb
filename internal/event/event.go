// Package event numbers the events that the programs log. Each event has one
// entry in the catalogue, with its cause and what an operator does;
// docs/EVENTS.md is written from it and a test fails when the two differ.
package event

import (
	"fmt"
	"sort"

	"github.com/rs/zerolog"
)

// ID numbers an event; numbers are never reused. Hundreds are areas:
// 1xx process, 2xx bundle and spread, 3xx membership, 4xx requests,
// 5xx owner and worker, 6xx links and platform.
type ID uint16

// Entry is the catalogue's text of an event.
type Entry struct {
	ID    ID
	Level zerolog.Level
	// Name is a short constant text, the log line's message.
	Name string
	// Cause says what happened.
	Cause string
	// Action says what an operator does; "none" is allowed.
	Action string
}

var catalogue = map[ID]Entry{}

// define adds an entry to the catalogue; used in this package's variables only.
func define(id ID, level zerolog.Level, name, cause, action string) ID {
	if _, taken := catalogue[id]; taken {
		panic(fmt.Sprintf("event: %d defined twice", id))
	}
	catalogue[id] = Entry{ID: id, Level: level, Name: name, Cause: cause, Action: action}
	return id
}

// Catalogue returns all entries in the order of their numbers.
func Catalogue() []Entry {
	out := make([]Entry, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Log starts the log line of event id on logger at the catalogue's level. The
// caller adds fields and must call Send.
func Log(logger *zerolog.Logger, id ID) *Line {
	e := catalogue[id]
	return &Line{zl: logger.WithLevel(e.Level).Uint16("event", uint16(id)), name: e.Name}
}

// Line is a log line under construction.
type Line struct {
	zl   *zerolog.Event
	name string
}

// Str adds a string field.
func (l *Line) Str(key, value string) *Line { l.zl = l.zl.Str(key, value); return l }

// Err adds the error field.
func (l *Line) Err(err error) *Line { l.zl = l.zl.Err(err); return l }

// Int adds an integer field.
func (l *Line) Int(key string, value int64) *Line { l.zl = l.zl.Int64(key, value); return l }

// Bool adds a field that is true or false.
func (l *Line) Bool(key string, value bool) *Line { l.zl = l.zl.Bool(key, value); return l }

// Send writes the line.
func (l *Line) Send() { l.zl.Msg(l.name) }
