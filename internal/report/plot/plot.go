// Package plot draws small charts as SVG without scripts or external resources.
package plot

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// The size of a chart and its margins, in pixels.
const (
	width            = 720
	marginLeft       = 64
	marginRight      = 16
	marginTop        = 36
	marginBottom     = 44
	chartHeight      = 260
	yTicks           = 4
	legendEntryWidth = 150
	// meanLetterWidth is the mean width of a letter. Labels longer than maxOneLineLabel
	// letters alternate between two lines.
	meanLetterWidth = 6.5
	maxOneLineLabel = 8
)

// colors can be told apart by readers who cannot distinguish red from green.
var colors = []string{"#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#999999", "#000000"}

// Series is a named series of values.
type Series struct {
	Name   string
	Values []float64
}

// Chart is a chart with one label for each position on the x axis. NaN values are
// omitted.
type Chart struct {
	Title, YLabel string
	Labels        []string
	Series        []Series
	// Max is the maximum of the y axis; 0 uses the largest value.
	Max float64
	// Target draws a horizontal line if it is positive.
	Target float64
}

// Lines draws the series as lines.
func (c *Chart) Lines() string {
	p := c.drawFrame()
	for i, s := range c.Series {
		var points []string
		for j, v := range s.Values {
			if !math.IsNaN(v) {
				points = append(points, fmt.Sprintf("%.1f,%.1f", p.columnCenter(j), p.y(v)))
			}
		}
		p.printf(`<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`, color(i), strings.Join(points, " "))
	}
	return p.finish()
}

// Bars draws the series as bars side by side.
func (c *Chart) Bars() string {
	p := c.drawFrame()
	groupWidth := p.columnWidth * 0.8
	barWidth := groupWidth / float64(max(1, len(c.Series)))
	for i, s := range c.Series {
		for j, v := range s.Values {
			if math.IsNaN(v) {
				continue
			}
			x := p.columnCenter(j) - groupWidth/2 + float64(i)*barWidth
			p.printf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"><title>%s, %s: %s</title></rect>`,
				x, p.y(v), barWidth*0.92, p.bottom-p.y(v), color(i), escape(c.Labels[j]), escape(s.Name), formatNumber(v))
		}
	}
	return p.finish()
}

func color(i int) string { return colors[i%len(colors)] }

func escape(s string) string { return html.EscapeString(s) }

// drawing is the SVG output of a chart, with the coordinates of its plot area.
type drawing struct {
	strings.Builder
	top, bottom, columnWidth, maxValue float64
}

func (p *drawing) printf(format string, args ...any) { fmt.Fprintf(&p.Builder, format+"\n", args...) }

func (p *drawing) y(v float64) float64 {
	return p.bottom - min(v, p.maxValue)/p.maxValue*(p.bottom-p.top)
}

func (p *drawing) columnCenter(i int) float64 { return marginLeft + (float64(i)+0.5)*p.columnWidth }

func (p *drawing) finish() string {
	p.printf("</svg>")
	return p.String()
}

// drawFrame draws the title, axes and legend.
func (c *Chart) drawFrame() *drawing {
	rows := (len(c.Series)*legendEntryWidth + width - 1) / width
	p := &drawing{top: marginTop + 18*float64(rows), maxValue: c.yMax()}
	p.bottom = p.top + chartHeight
	height := p.bottom + marginBottom
	p.columnWidth = (width - marginLeft - marginRight) / float64(max(1, len(c.Labels)))
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %.0f" width="%d" height="%.0f" font-family="sans-serif" font-size="12" role="img">`, width, height, width, height)
	p.printf(`<title>%s</title><rect width="100%%" height="100%%" fill="#fff"/>`, escape(c.Title))
	p.printf(`<text x="%d" y="20" font-size="15" font-weight="bold">%s</text>`, marginLeft, escape(c.Title))
	c.drawLegend(p)
	c.drawAxes(p)
	return p
}

func (c *Chart) yMax() float64 {
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

// roundUp returns the least number of the form 1, 2, 2.5 or 5 times a power of ten that
// is not below v.
func roundUp(v float64) float64 {
	unit := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 2.5, 5, 10} {
		if v <= f*unit*1.0000001 {
			return f * unit
		}
	}
	return 10 * unit
}

func (c *Chart) drawLegend(p *drawing) {
	perRow := width / legendEntryWidth
	for i, s := range c.Series {
		x := marginLeft + i%perRow*legendEntryWidth
		y := marginTop + i/perRow*18
		p.printf(`<rect x="%d" y="%d" width="10" height="10" fill="%s"/><text x="%d" y="%d">%s</text>`, x, y, color(i), x+14, y+9, escape(s.Name))
	}
}

func (c *Chart) drawAxes(p *drawing) {
	for i := range yTicks + 1 {
		v := p.maxValue * float64(i) / yTicks
		y := p.y(v)
		p.printf(`<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%s</text>`,
			marginLeft, y, width-marginRight, y, marginLeft-6, y+4, formatNumber(v))
	}
	p.printf(`<text transform="translate(14 %.1f) rotate(-90)" text-anchor="middle">%s</text>`, (p.top+p.bottom)/2, escape(c.YLabel))
	c.drawXLabels(p)
	if c.Target > 0 && c.Target <= p.maxValue {
		y := p.y(c.Target)
		p.printf(`<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#d00" stroke-dasharray="6 4"/><text x="%d" y="%.1f" fill="#d00" text-anchor="end">%s</text>`,
			marginLeft, y, width-marginRight, y, width-marginRight, y-4, formatNumber(c.Target))
	}
}

// drawXLabels draws as many labels as fit; long ones alternate between two lines.
func (c *Chart) drawXLabels(p *drawing) {
	longest := 0
	for _, label := range c.Labels {
		longest = max(longest, len(label))
	}
	lines := 1
	if longest > maxOneLineLabel {
		lines = 2
	}
	labelInterval := max(1, int(math.Ceil(float64(longest)*meanLetterWidth/float64(lines)/p.columnWidth)))
	for i, label := range c.Labels {
		if i%labelInterval == 0 {
			y := p.bottom + 16 + float64(i/labelInterval%lines)*14
			p.printf(`<text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`, p.columnCenter(i), y, escape(label))
		}
	}
}

// formatNumber formats values between 1000 and a million as integers, and others with
// three significant digits.
func formatNumber(v float64) string {
	if v != 0 && math.Abs(v) < 1e6 && math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
