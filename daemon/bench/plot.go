package bench

import (
	"fmt"
	"html"
	"io"

	"github.com/pkg/errors"
)

// Sizes of the plot in pixels.
const (
	plotBarHeight    = 12
	plotGroupGap     = 18
	plotLabelWidth   = 150
	plotBarWidth     = 420
	plotFooterHeight = 24
)

// plotColours are the colours of a row's bars, used in turn.
var plotColours = []string{"#264653", "#2a9d8f", "#8ab17d", "#e9c46a", "#f4a261", "#e76f51"}

// WriteHTML writes a self-contained page with one plot for each case.
func (r Report) WriteHTML(w io.Writer) error {
	page := &errorWriter{w: w}
	page.printf("<!DOCTYPE html><meta charset=utf-8><title>bench %s</title>\n", html.EscapeString(r.Deployment))
	page.printf("<style>body{font:14px sans-serif}svg text{font:11px sans-serif}.met{color:#2a9d8f}.not{color:#e76f51}</style>\n")
	page.printf("<h1>%s</h1><p>%.1f requests/s at best, scale %g, %g s a trial, seeds %v. ",
		html.EscapeString(r.Deployment), r.Capacity, r.Scale, r.DurationS, r.Seeds)
	page.printf("Bars: goodput of all, then by tier, then wasted prefill; whiskers: least and greatest seed.</p>\n<ul>")
	for _, c := range r.Targets {
		class := "not"
		if c.Met {
			class = "met"
		}
		page.printf("<li class=%s>%s</li>\n", class, html.EscapeString(c.String()))
	}
	page.printf("</ul>\n")
	for _, name := range r.caseNames() {
		r.plotCase(page, name)
	}
	return errors.Wrap(page.err, "bench: write HTML")
}

func (r Report) caseNames() []string {
	var names []string
	for _, row := range r.Rows {
		if len(names) == 0 || names[len(names)-1] != row.Case {
			names = append(names, row.Case)
		}
	}
	return names
}

// bar is one labelled bar of a plot.
type bar struct {
	label string
	value Spread
}

func (row Row) bars() []bar {
	bars := []bar{{"all", row.Goodput}}
	for _, tier := range sortedKeys(row.Tiers) {
		bars = append(bars, bar{tier, row.Tiers[tier]})
	}
	return append(bars, bar{"wasted", row.Wasted})
}

func (r Report) plotCase(page *errorWriter, name string) {
	height := plotFooterHeight
	for _, row := range r.Rows {
		if row.Case == name {
			height += len(row.bars())*plotBarHeight + plotGroupGap
		}
	}
	page.printf("<h2>%s</h2><svg width=%d height=%d>\n", html.EscapeString(name), plotLabelWidth+plotBarWidth+120, height)
	y := 0
	for _, row := range r.Rows {
		if row.Case != name {
			continue
		}
		page.printf("<text x=0 y=%d>%s</text>\n", y+plotBarHeight, html.EscapeString(row.Policy))
		for i, b := range row.bars() {
			plotBarAt(page, b, plotColours[i%len(plotColours)], y)
			y += plotBarHeight
		}
		y += plotGroupGap
	}
	page.printf("</svg>\n")
}

func plotBarAt(page *errorWriter, b bar, colour string, y int) {
	x := func(v float64) float64 { return plotLabelWidth + v*plotBarWidth }
	page.printf("<rect x=%d y=%d width=%.1f height=%d fill=%q />", plotLabelWidth, y+2, b.value.Mean*plotBarWidth, plotBarHeight-3, colour)
	page.printf("<line x1=%.1f x2=%.1f y1=%d y2=%d stroke=black />", x(b.value.Min), x(b.value.Max), y+plotBarHeight/2, y+plotBarHeight/2)
	page.printf("<text x=%.1f y=%d>%s %.3f</text>\n", x(max(b.value.Mean, b.value.Max))+4, y+plotBarHeight-2, html.EscapeString(b.label), b.value.Mean)
}

// errorWriter keeps the first error of a sequence of writes.
type errorWriter struct {
	w   io.Writer
	err error
}

func (e *errorWriter) printf(format string, args ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, format, args...)
	}
}
