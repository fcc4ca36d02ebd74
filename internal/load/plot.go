package load

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"

	"github.com/juju/errors"
)

// Layout of a plot, in pixels.
const (
	plotWidth    = 860
	panelHeight  = 260
	marginLeft   = 70
	marginRight  = 20
	marginTop    = 50
	marginBottom = 45
	legendStep   = 130
	// panelGap leaves room for the title of a panel.
	panelGap = 15
)

// maxNines ends the percentile axis at 99.999.
const maxNines = 5

// colours are assigned to series in order and reused when there are more.
var colours = []string{"#1f6fb4", "#d9541e", "#2f8f4e", "#8a4fb0", "#8c6d1f", "#c43a6b"}

// Series is a report and its legend label in a plot.
type Series struct {
	Name   string
	Report Report
}

// axisPoint is a point of a line in axis units.
type axisPoint struct{ x, y float64 }

// tick is a mark on an axis.
type tick struct {
	at   float64
	text string
}

// panel is one chart of a plot. The first and the last tick set the range of
// an axis.
type panel struct {
	title  string
	lines  [][]axisPoint
	xTicks []tick
	yTicks []tick
}

// WriteSVG writes an SVG image with three charts of the series: latency by
// percentile, answered requests per second in percent of arrivals, and p99
// latency per second. It returns the error of w.
func WriteSVG(w io.Writer, title string, series []Series) error {
	panels := []panel{percentilePanel(series), answeredPanel(series), p99Panel(series)}
	var b strings.Builder
	height := marginTop + len(panels)*(panelHeight+marginBottom)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="18" font-size="15">%s</text>`+"\n", marginLeft, html.EscapeString(title))
	for i, s := range series {
		x := marginLeft + i*legendStep
		fmt.Fprintf(&b, `<rect x="%d" y="26" width="10" height="10" fill="%s"/><text x="%d" y="36">%s</text>`+"\n", x, colour(i), x+14, html.EscapeString(s.Name))
	}
	for i, p := range panels {
		p.draw(&b, marginTop+i*(panelHeight+marginBottom)+panelGap)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return errors.Annotate(err, "write plot")
}

func percentilePanel(series []Series) panel {
	p := panel{title: "Latency of answered requests by percentile, ms (both axes logarithmic)"}
	top := 1.0
	for _, s := range series {
		var line []axisPoint
		for _, point := range s.Report.Curve {
			line = append(line, axisPoint{nines(point.Percentile), math.Log10(max(point.Ms, 0.01))})
			top = max(top, point.Ms)
		}
		p.lines = append(p.lines, line)
	}
	p.xTicks = []tick{{0, "0"}, {nines(50), "50"}, {1, "90"}, {2, "99"}, {3, "99.9"}, {4, "99.99"}, {maxNines, "99.999"}}
	for ms := 0.1; ms < top*10; ms *= 10 {
		p.yTicks = append(p.yTicks, tick{math.Log10(ms), fmt.Sprintf("%g", ms)})
	}
	return p
}

// nines returns the position of a percentile on the logarithmic axis: 90 is at
// 1, 99 at 2 and so on up to maxNines.
func nines(percentile float64) float64 {
	return min(-math.Log10(max(1-percentile/100, 1e-9)), maxNines)
}

func answeredPanel(series []Series) panel {
	return timeSeriesPanel("Answered requests per second of the run, % of arrivals", series, 100, func(s Second) float64 {
		return 100 * float64(s.Answered) / float64(max(s.Arrived, 1))
	})
}

func p99Panel(series []Series) panel {
	return timeSeriesPanel("p99 latency per second of the run, ms", series, 1, func(s Second) float64 { return s.P99Ms })
}

// timeSeriesPanel plots value over time. Its y axis ends at minTop or above.
func timeSeriesPanel(title string, series []Series, minTop float64, value func(Second) float64) panel {
	p := panel{title: title}
	last, top := 1.0, minTop
	for _, s := range series {
		var line []axisPoint
		for _, sec := range s.Report.Seconds {
			at := axisPoint{float64(sec.Second), value(sec)}
			line = append(line, at)
			last, top = max(last, at.x), max(top, at.y)
		}
		p.lines = append(p.lines, line)
	}
	p.xTicks, p.yTicks = linearTicks(last), linearTicks(top)
	return p
}

// linearTicks returns evenly spaced ticks at round values from 0 to at least
// top.
func linearTicks(top float64) []tick {
	step := math.Pow(10, math.Floor(math.Log10(top)))
	if top/step < 4 {
		step /= 2
	}
	var ticks []tick
	for at := 0.0; at < top+step; at += step {
		ticks = append(ticks, tick{at, fmt.Sprintf("%g", at)})
	}
	return ticks
}

// draw renders the panel with its top edge at y.
func (p panel) draw(b *strings.Builder, y int) {
	left, right := float64(marginLeft), float64(plotWidth-marginRight)
	top, bottom := float64(y), float64(y+panelHeight-marginBottom)
	x := scale(p.xTicks, left, right)
	h := scale(p.yTicks, bottom, top)
	fmt.Fprintf(b, `<text x="%d" y="%d" font-weight="bold">%s</text>`+"\n", marginLeft, y-6, html.EscapeString(p.title))
	for _, t := range p.yTicks {
		fmt.Fprintf(b, `<path d="M%.1f %.1fH%.1f" stroke="#ddd"/><text x="%.1f" y="%.1f" text-anchor="end">%s</text>`+"\n", left, h(t.at), right, left-6, h(t.at)+4, t.text)
	}
	for _, t := range p.xTicks {
		fmt.Fprintf(b, `<path d="M%.1f %.1fV%.1f" stroke="#eee"/><text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`+"\n", x(t.at), top, bottom, x(t.at), bottom+16, t.text)
	}
	for i, line := range p.lines {
		drawLine(b, line, x, h, colour(i))
	}
}

func drawLine(b *strings.Builder, line []axisPoint, x, y func(float64) float64, colour string) {
	if len(line) == 0 {
		return
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, colour)
	for _, at := range line {
		fmt.Fprintf(b, "%.1f,%.1f ", x(at.x), y(at.y))
	}
	b.WriteString("\"/>\n")
}

// scale returns a function that maps the range of the ticks to the pixels from
// from to to, and clamps values outside the range.
func scale(ticks []tick, from, to float64) func(float64) float64 {
	low, high := ticks[0].at, ticks[len(ticks)-1].at
	return func(v float64) float64 {
		v = min(max(v, low), high)
		return from + (v-low)/(high-low)*(to-from)
	}
}

func colour(i int) string { return colours[i%len(colours)] }
