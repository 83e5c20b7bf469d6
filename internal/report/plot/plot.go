// Package plot draws small charts as SVG without scripts or outside resources.
package plot

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// The size of a chart and its margins, in pixels.
const (
	width        = 720
	marginLeft   = 64
	marginRight  = 16
	marginTop    = 36
	marginBottom = 44
	chartHeight  = 260
	ticks        = 4
	legendStep   = 150
	// letterWidth is the mean width of a letter; labels over shortLabel letters take
	// two lines in turn.
	letterWidth = 6.5
	shortLabel  = 8
)

// colors tell series apart, also for readers who cannot tell red from green.
var colors = []string{"#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#999999", "#000000"}

// Series is one named row of values.
type Series struct {
	Name   string
	Values []float64
}

// Chart is a chart over labelled places on the x axis. NaN values are left out.
type Chart struct {
	Title, YLabel string
	Labels        []string
	Series        []Series
	// Max is the top of the y axis; 0 takes the greatest value.
	Max float64
	// Target draws a horizontal line if it is above 0.
	Target float64
}

// Lines draws the series as lines.
func (c *Chart) Lines() string {
	p := c.frame()
	for i, s := range c.Series {
		var points []string
		for j, v := range s.Values {
			if !math.IsNaN(v) {
				points = append(points, fmt.Sprintf("%.1f,%.1f", p.center(j), p.y(v)))
			}
		}
		p.printf(`<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`, color(i), strings.Join(points, " "))
	}
	return p.end()
}

// Bars draws the series as bars side by side.
func (c *Chart) Bars() string {
	p := c.frame()
	group := p.step * 0.8
	bar := group / float64(max(1, len(c.Series)))
	for i, s := range c.Series {
		for j, v := range s.Values {
			if math.IsNaN(v) {
				continue
			}
			x := p.center(j) - group/2 + float64(i)*bar
			p.printf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"><title>%s, %s: %s</title></rect>`,
				x, p.y(v), bar*0.92, p.bottom-p.y(v), color(i), esc(c.Labels[j]), esc(s.Name), number(v))
		}
	}
	return p.end()
}

func color(i int) string { return colors[i%len(colors)] }

func esc(s string) string { return html.EscapeString(s) }

// page is a chart that is being drawn.
type page struct {
	strings.Builder
	top, bottom, step, max float64
}

func (p *page) printf(format string, args ...any) { fmt.Fprintf(&p.Builder, format+"\n", args...) }

func (p *page) y(v float64) float64 {
	return p.bottom - min(v, p.max)/p.max*(p.bottom-p.top)
}

func (p *page) center(i int) float64 { return marginLeft + (float64(i)+0.5)*p.step }

func (p *page) end() string {
	p.printf("</svg>")
	return p.String()
}

// frame draws the title, axes and legend.
func (c *Chart) frame() *page {
	rows := (len(c.Series)*legendStep + width - 1) / width
	p := &page{top: marginTop + 18*float64(rows), max: c.top()}
	p.bottom = p.top + chartHeight
	height := p.bottom + marginBottom
	p.step = (width - marginLeft - marginRight) / float64(max(1, len(c.Labels)))
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %.0f" width="%d" height="%.0f" font-family="sans-serif" font-size="12" role="img">`, width, height, width, height)
	p.printf(`<title>%s</title><rect width="100%%" height="100%%" fill="#fff"/>`, esc(c.Title))
	p.printf(`<text x="%d" y="20" font-size="15" font-weight="bold">%s</text>`, marginLeft, esc(c.Title))
	c.legend(p)
	c.axes(p)
	return p
}

func (c *Chart) top() float64 {
	if c.Max > 0 {
		return c.Max
	}
	top := c.Target
	for _, s := range c.Series {
		for _, v := range s.Values {
			if !math.IsNaN(v) {
				top = max(top, v)
			}
		}
	}
	if top <= 0 {
		return 1
	}
	return roundUp(top)
}

// roundUp returns the next value of the form 1, 2, 2.5 or 5 times a power of ten.
func roundUp(v float64) float64 {
	unit := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 2.5, 5, 10} {
		if v <= f*unit*1.0000001 {
			return f * unit
		}
	}
	return 10 * unit
}

func (c *Chart) legend(p *page) {
	perRow := width / legendStep
	for i, s := range c.Series {
		x := marginLeft + i%perRow*legendStep
		y := marginTop + i/perRow*18
		p.printf(`<rect x="%d" y="%d" width="10" height="10" fill="%s"/><text x="%d" y="%d">%s</text>`, x, y, color(i), x+14, y+9, esc(s.Name))
	}
}

func (c *Chart) axes(p *page) {
	for i := range ticks + 1 {
		v := p.max * float64(i) / ticks
		y := p.y(v)
		p.printf(`<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%s</text>`,
			marginLeft, y, width-marginRight, y, marginLeft-6, y+4, number(v))
	}
	p.printf(`<text transform="translate(14 %.1f) rotate(-90)" text-anchor="middle">%s</text>`, (p.top+p.bottom)/2, esc(c.YLabel))
	c.xLabels(p)
	if c.Target > 0 && c.Target <= p.max {
		y := p.y(c.Target)
		p.printf(`<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#d00" stroke-dasharray="6 4"/><text x="%d" y="%.1f" fill="#d00" text-anchor="end">%s</text>`,
			marginLeft, y, width-marginRight, y, width-marginRight, y-4, number(c.Target))
	}
}

// xLabels writes the labels that have room; long ones go on two lines in turn.
func (c *Chart) xLabels(p *page) {
	longest := 0
	for _, label := range c.Labels {
		longest = max(longest, len(label))
	}
	lines := 1
	if longest > shortLabel {
		lines = 2
	}
	every := max(1, int(math.Ceil(float64(longest)*letterWidth/float64(lines)/p.step)))
	for i, label := range c.Labels {
		if i%every == 0 {
			y := p.bottom + 16 + float64(i/every%lines)*14
			p.printf(`<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`, p.center(i), y, esc(label))
		}
	}
}

// number writes a value with three significant digits.
func number(v float64) string {
	if v != 0 && math.Abs(v) < 1e6 && math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
