// Package event writes numbered log events from one catalogue.
package event

import (
	"io"

	"github.com/rs/zerolog"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event for good; numbers are not reused.
	Number int
	Name   string
	Level  zerolog.Level
	// Text is the message that is logged.
	Text string
	// Action tells an operator what to do; empty when nothing is needed.
	Action string
}

// Logger writes events. The zero value discards them.
type Logger struct {
	z zerolog.Logger
}

// timeFormat has milliseconds: lines of several processes are read together.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLogger returns a logger that writes JSON lines to w. Every line carries
// the role and id of the process.
func NewLogger(w io.Writer, level zerolog.Level, role, id string) Logger {
	z := zerolog.New(w).Level(level).With().Timestamp().Str("role", role).Str("id", id).Logger()
	return Logger{z: z}
}

// Log starts a line for e. The caller adds fields and calls Send.
func (l Logger) Log(e Event) *Line {
	return &Line{z: l.z.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name), text: e.Text}
}

// Line is a log line under construction.
type Line struct {
	z    *zerolog.Event
	text string
}

// Str adds a string field.
func (l *Line) Str(key, value string) *Line {
	l.z.Str(key, value)
	return l
}

// Uint64 adds a numeric field.
func (l *Line) Uint64(key string, value uint64) *Line {
	l.z.Uint64(key, value)
	return l
}

// Bool adds a truth value.
func (l *Line) Bool(key string, value bool) *Line {
	l.z.Bool(key, value)
	return l
}

// Err adds the error.
func (l *Line) Err(err error) *Line {
	l.z.Err(err)
	return l
}

// Send writes the line.
func (l *Line) Send() { l.z.Msg(l.text) }
