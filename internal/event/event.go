// Package event defines the numbered events that the programs log. Each has an entry in
// the catalogue with its cause and the operator's action. docs/EVENTS.md is generated
// from the catalogue, and a test fails if the two differ.
package event

import (
	"fmt"
	"sort"

	"github.com/rs/zerolog"
)

// ID is the number of an event; numbers are never reused. Ranges of a hundred are areas:
// 1xx process, 2xx bundles and their distribution, 3xx membership, 4xx requests, 5xx
// owner and worker, 6xx links, platform and directory.
type ID uint16

// Entry is the catalogue's entry of an event.
type Entry struct {
	ID    ID
	Level zerolog.Level
	// Name is the message of the log line.
	Name string
	// Cause describes what happened.
	Cause string
	// Action describes what an operator does about it; "none" is allowed.
	Action string
}

var catalogue = map[ID]Entry{}

// define adds an entry to the catalogue. It is called only in variable declarations of
// this package and panics on a duplicate number.
func define(id ID, level zerolog.Level, name, cause, action string) ID {
	if _, taken := catalogue[id]; taken {
		panic(fmt.Sprintf("event: %d defined twice", id))
	}
	catalogue[id] = Entry{ID: id, Level: level, Name: name, Cause: cause, Action: action}
	return id
}

// Catalogue returns all entries, ordered by number.
func Catalogue() []Entry {
	out := make([]Entry, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Log begins a log line for event id at the catalogue's level. The caller adds fields and
// must call Send.
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

// Float adds a number field.
func (l *Line) Float(key string, value float64) *Line { l.zl = l.zl.Float64(key, value); return l }

// Bool adds a field that is true or false.
func (l *Line) Bool(key string, value bool) *Line { l.zl = l.zl.Bool(key, value); return l }

// Send writes the line.
func (l *Line) Send() { l.zl.Msg(l.name) }
