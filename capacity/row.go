package capacity

import (
	"fmt"
	"math"
)

// Verdict says whether the cost in a row stays within its bound.
type Verdict string

// The verdicts, with the texts that the page shows.
const (
	// WithinBound means that the value is at most the bound.
	WithinBound Verdict = "carried"
	// OverBound means that the value exceeds the bound.
	OverBound Verdict = "not carried"
	// NotMeasured means that a series for the row is missing or has too few sizes to fit a line.
	NotMeasured Verdict = "not measured"
	// Calculated means that the value follows from the design alone and no figure supports it.
	Calculated Verdict = "not measured, calculated"
	// NoBound means that neither the users' requirements nor the project brief states a bound.
	NoBound Verdict = "no bound stated"
	// Nonlinear means that the series is too far from a line to be extrapolated.
	Nonlinear Verdict = "not extended: the series bends"
)

// Row holds one cost at the planned size, as a line of a table on the page.
type Row struct {
	// What names the cost, Formula says how the value is calculated, and Mechanism names the part of the design
	// that keeps the cost low.
	What      string
	Formula   string
	Mechanism string
	// Value is the cost in Unit.
	Value float64
	Unit  string
	// Bound is the largest permitted value in Unit, or 0 for none; BoundText is its text on the page.
	Bound     float64
	BoundText string
	Verdict   Verdict
	// Figures are the names of the series that the value was calculated from, in order of use.
	Figures []string
}

// Ratio returns the value divided by the bound, or "-" when the row has no value or no bound.
func (r Row) Ratio() string {
	if r.Bound == 0 || r.Verdict == NotMeasured || r.Verdict == Nonlinear {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.Value/r.Bound)
}

// Shown returns the value with its unit, or "-" when the row has no value.
func (r Row) Shown() string {
	if r.Verdict == NotMeasured || r.Verdict == Nonlinear {
		return "-"
	}
	return FormatValue(r.Value, r.Unit)
}

// FormatValue returns the value with three significant digits, an SI prefix and the unit; u stands for micro.
//
// Values below 1e-6 have no prefix.
func FormatValue(v float64, unit string) string {
	prefixes := []struct {
		factor float64
		symbol string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}, {1, ""}, {1e-3, "m"}, {1e-6, "u"}}
	for _, p := range prefixes {
		if math.Abs(v) >= p.factor {
			return fmt.Sprintf("%.3g %s%s", v/p.factor, p.symbol, unit)
		}
	}
	return fmt.Sprintf("%.3g %s", v, unit)
}

// deriveVerdict returns the verdict of a row whose series are all present.
func (r Row) deriveVerdict() Verdict {
	switch {
	case len(r.Figures) == 0:
		return Calculated
	case r.Bound == 0:
		return NoBound
	case r.Value > r.Bound:
		return OverBound
	}
	return WithinBound
}

// calculator looks up the values that a row needs and collects the names of their series until newRow is called.
type calculator struct {
	figures Figures
	// figureNames are the series looked up for the next row, and verdict is the reason why one had no value.
	figureNames []string
	verdict     Verdict
}

// series returns the figures of a name; without any, the next row is NotMeasured.
func (c *calculator) series(name string) []Figure {
	c.figureNames = append(c.figureNames, name)
	series := c.figures.Series(name)
	if len(series) == 0 {
		c.verdict = NotMeasured
	}
	return series
}

// valueAt returns the value of a series at the size: the measured one if there is one, else that of its line.
//
// It returns 0 and sets the verdict of the next row when the line can't be fitted or extrapolated.
func (c *calculator) valueAt(name string, size float64) float64 {
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
	if !line.IsLinear() {
		c.verdict = Nonlinear
		return 0
	}
	return line.At(size)
}

// slope returns what each further unit of size adds, in the unit of the series per unit of size.
//
// It sets the verdict of the next row when the line can't be fitted or the series is not linear.
func (c *calculator) slope(name string) float64 {
	c.figureNames = append(c.figureNames, name)
	line, err := Fit(c.figures.Series(name))
	if err != nil {
		c.verdict = NotMeasured
		return 0
	}
	if !line.IsLinear() {
		c.verdict = Nonlinear
	}
	return line.Slope
}

// valueAtLargest returns the value at the largest measured size, for costs that level off as the size grows.
func (c *calculator) valueAtLargest(name string) float64 {
	series := c.series(name)
	if len(series) == 0 {
		return 0
	}
	return series[len(series)-1].Value
}

// maximum returns the largest value of a series, for figures that vary without a trend.
func (c *calculator) maximum(name string) float64 {
	value := 0.0
	for _, p := range c.series(name) {
		value = max(value, p.Value)
	}
	return value
}

// newRow returns a row with the collected figure names and its verdict, and resets both for the next row.
//
// A bound of 0 means none.
func (c *calculator) newRow(what, formula, mechanism string, value float64, unit string, bound float64) Row {
	r := Row{What: what, Formula: formula, Mechanism: mechanism, Value: value, Unit: unit, Bound: bound, Figures: c.figureNames, Verdict: c.verdict}
	if bound > 0 {
		r.BoundText = FormatValue(bound, unit)
	}
	if r.Verdict == "" {
		r.Verdict = r.deriveVerdict()
	}
	c.figureNames = nil
	c.verdict = ""
	return r
}
