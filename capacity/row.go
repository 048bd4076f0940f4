package capacity

import (
	"fmt"
	"math"
)

// Verdict says whether the design carries a row.
type Verdict string

// The verdicts on a row.
const (
	Carried     Verdict = "carried"
	NotCarried  Verdict = "not carried"
	NotMeasured Verdict = "not measured"
	// Calculated means that the value follows from the design alone; no run has shown it.
	Calculated Verdict = "not measured, calculated"
	// Unbounded means that neither letter nor brief states a bound.
	Unbounded Verdict = "no bound stated"
	// Bent means that the series is not a straight line, so it was not extended.
	Bent Verdict = "not extended: the series bends"
)

// Row is one line of the page.
type Row struct {
	What      string
	Formula   string
	Mechanism string
	Value     float64
	Unit      string
	Bound     float64
	BoundText string
	Verdict   Verdict
	Figures   []string
}

// Ratio returns the value as a share of the bound.
func (r Row) Ratio() string {
	if r.Bound == 0 || r.Verdict == NotMeasured || r.Verdict == Bent {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.Value/r.Bound)
}

// Shown returns the value with its unit.
func (r Row) Shown() string {
	if r.Verdict == NotMeasured || r.Verdict == Bent {
		return "-"
	}
	return Show(r.Value, r.Unit)
}

// Show writes a value with three digits and a unit in a readable size.
func Show(v float64, unit string) string {
	steps := []struct {
		size float64
		name string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}, {1, ""}, {1e-3, "m"}, {1e-6, "u"}}
	for _, s := range steps {
		if math.Abs(v) >= s.size {
			return fmt.Sprintf("%.3g %s%s", v/s.size, s.name, unit)
		}
	}
	return fmt.Sprintf("%.3g %s", v, unit)
}

func (r Row) judge() Verdict {
	switch {
	case len(r.Figures) == 0:
		return Calculated
	case r.Bound == 0:
		return Unbounded
	case r.Value > r.Bound:
		return NotCarried
	}
	return Carried
}

// calculator takes values from the raw figures and notes which ones a row used.
type calculator struct {
	figures Figures
	used    []string
	verdict Verdict
}

// series returns the points of a figure and notes that the row uses it.
func (c *calculator) series(name string) []Figure {
	c.used = append(c.used, name)
	series := c.figures.Series(name)
	if len(series) == 0 {
		c.verdict = NotMeasured
	}
	return series
}

// at returns the value of a series at a size: measured there, or on its line when the line is straight.
func (c *calculator) at(name string, size float64) float64 {
	series := c.series(name)
	if len(series) == 0 {
		return 0
	}
	for _, p := range series {
		if p.Size == size {
			return p.Value
		}
	}
	line, err := Fit(series)
	if err != nil {
		c.verdict = NotMeasured
		return 0
	}
	if !line.IsStraight() {
		c.verdict = Bent
		return 0
	}
	return line.At(size)
}

// slope returns what each further unit of size adds.
func (c *calculator) slope(name string) float64 {
	c.used = append(c.used, name)
	line, err := Fit(c.figures.Series(name))
	if err != nil {
		c.verdict = NotMeasured
		return 0
	}
	if !line.IsStraight() {
		c.verdict = Bent
	}
	return line.Slope
}

// largest returns the value at the largest size, for costs that level off.
func (c *calculator) largest(name string) float64 {
	series := c.series(name)
	if len(series) == 0 {
		return 0
	}
	return series[len(series)-1].Value
}

// highest returns the highest value of a series, for figures that vary without a trend.
func (c *calculator) highest(name string) float64 {
	value := 0.0
	for _, p := range c.series(name) {
		value = max(value, p.Value)
	}
	return value
}

// row closes a row: the value is compared with the bound.
func (c *calculator) row(what, formula, mechanism string, value float64, unit string, bound float64) Row {
	r := Row{What: what, Formula: formula, Mechanism: mechanism, Value: value, Unit: unit, Bound: bound, Figures: c.used, Verdict: c.verdict}
	if bound > 0 {
		r.BoundText = Show(bound, unit)
	}
	if r.Verdict == "" {
		r.Verdict = r.judge()
	}
	c.used = nil
	c.verdict = ""
	return r
}
