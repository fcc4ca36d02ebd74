// Package explain reconstructs the timeline of one request from the event logs of
// many processes: the lines of the request, and the state changes shortly before
// and after them in the processes and upstreams that handled it.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/event"
)

// ContextPeriod is the time before the first and after the last line of a request
// in which state changes are part of its timeline.
const ContextPeriod = 3 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of an event log.
type Line struct {
	At time.Time
	// Process is the id of the process that wrote the line.
	Process string
	// Event and Name are the number and the name of the event.
	Event int
	Name  string
	// Request is the id of the request, empty for a line that belongs to none.
	Request string
	// Fields contains all fields of the line.
	Fields map[string]any
}

// hiddenFields lists the fields that String omits or formats separately.
var hiddenFields = []string{"time", "id", "role", "event", "name", "message", "level", "request"}

// Read returns the event lines of a log. Other lines are skipped, and text before
// the JSON object of a line, such as a prefix of a log collector, is ignored. It
// returns an error if r fails or a line is longer than 1 MiB.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		if line, ok := parseLine(s.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Annotate(s.Err(), "read log")
}

// ReadFiles returns the event lines of the files. Errors are those of Read, and of files
// that cannot be opened.
func ReadFiles(files ...string) ([]Line, error) {
	var all []Line
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		lines, err := Read(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func parseLine(text []byte) (Line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[brace:], &fields) != nil {
		return Line{}, false
	}
	number, ok := fields["event"].(float64)
	if !ok {
		return Line{}, false
	}
	line := Line{Event: int(number), Fields: fields}
	line.Process, _ = fields["id"].(string)
	line.Name, _ = fields["name"].(string)
	line.Request, _ = fields["request"].(string)
	timestamp, _ := fields["time"].(string)
	when, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, false
	}
	line.At = when
	return line, true
}

// contextEvents are the events that change the state of a process or its view of
// the system.
var contextEvents = []event.Event{
	event.Started, event.Stopping, event.BecameLeader, event.LostLeadership, event.ConfigAdopted, event.StateApplied,
	event.ZoneSet, event.UpstreamState, event.UpstreamHeld, event.UpstreamLeaving, event.UpstreamPaused, event.ControlLost, event.ControlRegained, event.UpstreamsLost, event.UpstreamsBack, event.RequestHeldOff,
}

// excludingEvents are the contextEvents by which a gateway sends an upstream nothing.
var excludingEvents = []event.Event{event.UpstreamHeld, event.UpstreamLeaving, event.UpstreamPaused}

// Timeline returns the lines of the request, and the relevant state changes from
// ContextPeriod before the first of them to ContextPeriod after the last, in order
// of time. It is empty if there is no line of the request.
func Timeline(lines []Line, request string) []Line {
	var requestLines []Line
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	sortByTime(requestLines)
	start, end := requestLines[0].At.Add(-ContextPeriod), requestLines[len(requestLines)-1].At.Add(ContextPeriod)
	involved := involvedIn(requestLines)
	timeline := requestLines
	for _, l := range lines {
		if l.Request == "" && !l.At.Before(start) && !l.At.After(end) && isRelevant(l, involved) {
			timeline = append(timeline, l)
		}
	}
	sortByTime(timeline)
	return timeline
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// involvedIn returns the names of the processes, upstreams and pools in the lines.
func involvedIn(requestLines []Line) map[string]bool {
	involved := make(map[string]bool)
	for _, l := range requestLines {
		involved[l.Process] = true
		for _, key := range []string{"upstream", "pool"} {
			if name, ok := l.Fields[key].(string); ok && name != "" {
				involved[name] = true
			}
		}
	}
	return involved
}

// isRelevant reports whether the line is a state change that may explain the
// request. A change of an upstream is relevant if the upstream is involved, or if
// an involved gateway excluded it from an involved pool. Any other change is
// relevant if a control VM or an involved process logged it.
func isRelevant(l Line, involved map[string]bool) bool {
	if !slices.ContainsFunc(contextEvents, func(e event.Event) bool { return e.Number == l.Event }) {
		return false
	}
	excluded := slices.ContainsFunc(excludingEvents, func(e event.Event) bool { return e.Number == l.Event })
	if l.Event == event.UpstreamState.Number || excluded {
		name, _ := l.Fields["upstream"].(string)
		pool, _ := l.Fields["pool"].(string)
		// An upstream that the gateway of the request excluded explains why the
		// request found no free upstream.
		return involved[name] || excluded && involved[pool] && involved[l.Process]
	}
	role, _ := l.Fields["role"].(string)
	return involved[l.Process] || role == "control"
}

// String returns the line as one line of a timeline: a "*" if it belongs to a
// request, the time, the process, the name of the event and the other fields.
func (l Line) String() string {
	mark := " "
	if l.Request != "" {
		mark = "*"
	}
	var parts []string
	for key, value := range l.Fields {
		if !slices.Contains(hiddenFields, key) {
			parts = append(parts, fmt.Sprintf("%s=%v", key, value))
		}
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s %s %-22s %-18s %s", mark, l.At.UTC().Format("15:04:05.000"), l.Process, l.Name, strings.Join(parts, " "))
}
