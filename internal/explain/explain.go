// Package explain tells the story of one request from the event logs of many
// processes: its own lines in order, and the changes of belief around them that
// concern the processes and upstreams it met.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/event"
)

// ContextPeriod is the span before the first and after the last line of a request in
// which changes of belief are shown.
const ContextPeriod = 3 * time.Second

// maxLine bounds a log line.
const maxLine = 1 << 20

// Line is one line of an event log.
type Line struct {
	At      time.Time
	Process string
	Event   int
	Name    string
	Request string
	Fields  map[string]any
}

// hidden lists the fields that a story shows in another place or not at all.
var hidden = []string{"time", "id", "role", "event", "name", "message", "level", "request"}

// Read returns the lines of a log. What is no event line is passed over; text
// before the JSON object of a line, as log collectors add it, is ignored.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		if line, ok := parse(s.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Annotate(s.Err(), "read log")
}

func parse(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[at:], &fields) != nil {
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
	stamp, _ := fields["time"].(string)
	when, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return Line{}, false
	}
	line.At = when
	return line, true
}

// beliefs are the events that change what processes believe.
var beliefs = []event.Event{
	event.Started, event.Stopping, event.BecameLeader, event.LostLeadership, event.ConfigAdopted, event.StateApplied,
	event.ZoneSet, event.UpstreamState, event.UpstreamHeld, event.ControlLost, event.ControlRegained, event.RequestHeldOff,
}

// Timeline returns the lines that explain the request, in order of time. It is
// empty when no line is about the request.
func Timeline(lines []Line, request string) []Line {
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	from, to := own[0].At.Add(-ContextPeriod), own[len(own)-1].At.Add(ContextPeriod)
	met := metBy(own)
	story := own
	for _, l := range lines {
		if l.Request == "" && !l.At.Before(from) && !l.At.After(to) && concerns(l, met) {
			story = append(story, l)
		}
	}
	sortByTime(story)
	return story
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// metBy returns the processes, upstreams and pools that the lines name.
func metBy(own []Line) map[string]bool {
	met := make(map[string]bool)
	for _, l := range own {
		met[l.Process] = true
		for _, key := range []string{"upstream", "pool"} {
			if name, ok := l.Fields[key].(string); ok && name != "" {
				met[name] = true
			}
		}
	}
	return met
}

// concerns reports whether a change of belief may explain the request: one in a
// process that it met, one about an upstream that it met or that its gateway left
// out of its pool, and one of control.
func concerns(l Line, met map[string]bool) bool {
	if !slices.ContainsFunc(beliefs, func(e event.Event) bool { return e.Number == l.Event }) {
		return false
	}
	if l.Event == event.UpstreamState.Number || l.Event == event.UpstreamHeld.Number {
		name, _ := l.Fields["upstream"].(string)
		pool, _ := l.Fields["pool"].(string)
		// What its own gateway left out explains why a request found no room.
		return met[name] || l.Event == event.UpstreamHeld.Number && met[pool] && met[l.Process]
	}
	role, _ := l.Fields["role"].(string)
	return met[l.Process] || role == "control"
}

// String returns the line as a story shows it.
func (l Line) String() string {
	mark := " "
	if l.Request != "" {
		mark = "*"
	}
	var parts []string
	for key, value := range l.Fields {
		if !slices.Contains(hidden, key) {
			parts = append(parts, fmt.Sprintf("%s=%v", key, value))
		}
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s %s %-22s %-18s %s", mark, l.At.UTC().Format("15:04:05.000"), l.Process, l.Name, strings.Join(parts, " "))
}
