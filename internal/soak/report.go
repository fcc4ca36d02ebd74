package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/explain"
)

// progress prints one line.
func (r *run) progress() {
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	served := 0
	for _, c := range h.calls {
		if c.status == http.StatusOK {
			served++
		}
	}
	acked := 0
	for _, o := range h.orders {
		if o.acked > 0 {
			acked++
		}
	}
	fmt.Fprintf(r.out, "%4.0f s: %d disruptions, %d calls, %d served, %d changes, %d acknowledged\n",
		h.now().Seconds(), len(h.strikes), len(h.calls), served, len(h.orders), acked)
}

// report writes the summary, and the timeline to a file in dir.
func (r *run) report(dir string, violations []Violation) error {
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	latency := hdrhistogram.New(1, callerPatience.Microseconds()*2, 3)
	ack := hdrhistogram.New(1, orderLimit.Microseconds()*2, 3)
	outcomes := make(map[string]int)
	for _, c := range h.calls {
		outcomes[outcomeOf(c)]++
		if c.status == http.StatusOK {
			// The range covers all values.
			_ = latency.RecordValue(max(1, (c.ended - c.sent).Microseconds()))
		}
	}
	unacked := 0
	for _, o := range h.orders {
		if o.acked == 0 {
			unacked++
			continue
		}
		_ = ack.RecordValue(max(1, (o.acked - o.sent).Microseconds()))
	}
	counts := make(map[string]int)
	for _, s := range h.strikes {
		counts[s.Kind]++
	}
	fmt.Fprintf(r.out, "seed %d, size %s, interface %s: %d calls %v, %d arrivals\n", r.settings.Seed, r.settings.Size, r.settings.Interface, len(h.calls), outcomes, len(h.arrivals))
	fmt.Fprintf(r.out, "disruptions: %v\n", counts)
	fmt.Fprintf(r.out, "latency of calls served: %s\nacknowledgement of a change: %s, %d without\n", quantiles(latency), quantiles(ack), unacked)
	for _, v := range violations {
		fmt.Fprintf(r.out, "BROKEN %s: at %s, %s %s\n", v.Promise, v.At.Round(time.Millisecond), v.ID, v.Detail)
		for _, s := range h.strikes {
			if s.overlaps(v.At-contactTime, v.At) {
				fmt.Fprintf(r.out, "    %s: %s of %d\n", s.from.Round(time.Millisecond), s.Kind, s.Target)
			}
		}
		if v.ID != "" {
			if err := r.explain(dir, v.ID); err != nil {
				return err
			}
		}
	}
	return errors.Trace(os.WriteFile(filepath.Join(dir, "timeline.svg"), []byte(h.timeline()), 0o600))
}

// explain writes the timeline of a request from the logs of all processes.
func (r *run) explain(dir, id string) error {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return errors.Trace(err)
	}
	lines, err := explain.ReadFiles(logs...)
	if err != nil {
		return err
	}
	for _, l := range explain.Timeline(lines, id) {
		fmt.Fprintf(r.out, "    %s\n", l)
	}
	return nil
}

func outcomeOf(c call) string {
	switch {
	case c.status == http.StatusOK:
		return "served"
	case c.notRun:
		return "refused"
	case c.answered:
		return "failed"
	}
	return "no answer"
}

func quantiles(h *hdrhistogram.Histogram) string {
	at := func(q float64) time.Duration {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("p50 %s, p99 %s, most %s", at(50), at(99), at(100))
}

// Layout of the timeline, in pixels.
const (
	pixelsPerSecond = 12
	timelineHeight  = 200
	laneHeight      = 12
)

// timeline returns an SVG image of the calls of each second, served, refused and failed,
// with the disruptions below. h.mu must be held.
func (h *history) timeline() string {
	type second struct{ served, refused, failed int }
	var seconds []second
	most := 1
	for _, c := range h.calls {
		at := int(c.sent / time.Second)
		for len(seconds) <= at {
			seconds = append(seconds, second{})
		}
		switch outcomeOf(c) {
		case "served":
			seconds[at].served++
		case "refused":
			seconds[at].refused++
		default:
			seconds[at].failed++
		}
		most = max(most, seconds[at].served+seconds[at].refused+seconds[at].failed)
	}
	width, height := len(seconds)*pixelsPerSecond, timelineHeight+len(h.strikes)*laneHeight+laneHeight
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="9">`+"\n", width+200, height)
	for i, s := range seconds {
		top := timelineHeight
		for _, part := range []struct {
			n      int
			colour string
		}{{s.served, "#2f8f4e"}, {s.refused, "#c9a227"}, {s.failed, "#c43a3a"}} {
			tall := part.n * (timelineHeight - 10) / most
			top -= tall
			fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>`+"\n", i*pixelsPerSecond, top, pixelsPerSecond-1, tall, part.colour)
		}
	}
	for i, s := range h.strikes {
		x, y := s.from.Seconds()*pixelsPerSecond, timelineHeight+(i+1)*laneHeight
		fmt.Fprintf(&b, `<rect x="%.0f" y="%d" width="%.0f" height="6" fill="#555"/><text x="%.0f" y="%d">%s %d</text>`+"\n",
			x, y, max(2, (s.to-s.from).Seconds()*pixelsPerSecond), x+max(2, (s.to-s.from).Seconds()*pixelsPerSecond)+3, y+7, s.Kind, s.Target)
	}
	b.WriteString("</svg>\n")
	return b.String()
}
