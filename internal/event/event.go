// Package event logs the events of the catalogue as JSON lines. Each event has a
// fixed number, name, level and message.
package event

import (
	"io"

	"github.com/rs/zerolog"
)

// Event is a kind of log line, with the parts that all its lines share.
type Event struct {
	// Number identifies the event permanently; numbers are not reused.
	Number int
	Name   string
	Level  zerolog.Level
	// Text is the message of the line.
	Text string
	// Action tells operators what to do; empty if no action is needed.
	Action string
}

// Logger writes events. The zero value discards them.
type Logger struct {
	z zerolog.Logger
}

// timeFormat has milliseconds, so that lines of several processes can be merged
// in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLogger returns a logger that writes JSON lines to w. Every line carries
// the role and id of the process.
func NewLogger(w io.Writer, level zerolog.Level, role, id string) Logger {
	z := zerolog.New(w).Level(level).With().Timestamp().Str("role", role).Str("id", id).Logger()
	return Logger{z: z}
}

// Log starts a log line for e. The caller adds fields and then calls Send, which
// writes it.
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

// Uint64 adds an integer field.
func (l *Line) Uint64(key string, value uint64) *Line {
	l.z.Uint64(key, value)
	return l
}

// Bool adds a boolean field.
func (l *Line) Bool(key string, value bool) *Line {
	l.z.Bool(key, value)
	return l
}

// Err adds err as the field "error"; a nil err adds nothing.
func (l *Line) Err(err error) *Line {
	l.z.Err(err)
	return l
}

// Send writes the line with the event's message.
func (l *Line) Send() { l.z.Msg(l.text) }
