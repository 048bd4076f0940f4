package capacity

import (
	"cmp"
	"encoding/json"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// Figure holds the values that several runs measured at one size.
type Figure struct {
	// Name identifies the quantity, such as compile.time.
	Name string `json:"name"`
	// Size is the load or the number of objects in the run, such as daemons, services or calls per second.
	Size float64 `json:"size"`
	// Value is the median of the runs, Low the smallest and High the largest value, all in Unit.
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	// Unit is the unit of the values, such as s, B or reads/s.
	Unit string `json:"unit"`
	// Runs is the number of values that the figure summarises.
	Runs int `json:"runs"`
	// Commit is the short hash of the commit that was checked out during the run.
	Commit string `json:"commit"`
}

// Figures holds the content of docs/capacity.json.
type Figures struct {
	// Machine names the platform, the Go version and the date of the latest run.
	Machine string `json:"machine"`
	// Figures are ordered by name and size.
	Figures []Figure `json:"figures"`
}

// NewFigure returns the median, smallest and largest of the values, of which there must be at least one.
func NewFigure(name string, size float64, unit string, values ...float64) Figure {
	sorted := slices.Sorted(slices.Values(values))
	return Figure{
		Name: name, Size: size, Unit: unit, Runs: len(values),
		Value: sorted[len(sorted)/2], Low: sorted[0], High: sorted[len(sorted)-1],
	}
}

// ReadFile reads figures from a JSON file; os.IsNotExist holds for the cause of its error when the file is missing.
func ReadFile(path string) (Figures, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Figures{}, eris.Wrap(err, "read figures")
	}
	var f Figures
	return f, eris.Wrap(json.Unmarshal(data, &f), "decode figures")
}

// MergeFile adds figures to the JSON file, in place of those with the same name and size.
//
// A missing file is created. The added figures get the commit, and the file gets the machine.
func MergeFile(path, commit, machine string, added []Figure) error {
	f, err := ReadFile(path)
	if err != nil && !os.IsNotExist(eris.Cause(err)) {
		return err
	}
	f.Machine = machine
	for _, a := range added {
		a.Commit = commit
		f.Figures = slices.DeleteFunc(f.Figures, func(o Figure) bool { return o.Name == a.Name && o.Size == a.Size })
		f.Figures = append(f.Figures, a)
	}
	slices.SortFunc(f.Figures, func(a, b Figure) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Size, b.Size)) })
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode figures")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write figures")
}

// Series returns the figures with the name in order of size.
func (f Figures) Series(name string) []Figure {
	var series []Figure
	for _, p := range f.Figures {
		if p.Name == name {
			series = append(series, p)
		}
	}
	slices.SortFunc(series, func(a, b Figure) int { return cmp.Compare(a.Size, b.Size) })
	return series
}

// Line is the least-squares line through a series.
type Line struct {
	// Intercept is the value at size 0, and Slope what each further unit of size adds.
	Intercept float64
	Slope     float64
	// Nonlinearity is the largest deviation of a point from the line, as a fraction of the largest value.
	// The page calls it the bend.
	Nonlinearity float64
}

// MaximumNonlinearity is the nonlinearity above which a line is not extrapolated beyond the measured sizes.
const MaximumNonlinearity = 0.15

// IsLinear reports whether the series is close enough to the line to extrapolate it.
func (l Line) IsLinear() bool { return l.Nonlinearity <= MaximumNonlinearity }

// At returns the value of the line at the size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the line through the points of a series, or an error when it has fewer than three: two points would
// always lie on a line.
func Fit(series []Figure) (Line, error) {
	const minimumSizes = 3
	if len(series) < minimumSizes {
		return Line{}, eris.Errorf("%d sizes are too few to fit a line, which needs three", len(series))
	}
	var sumX, sumY, sumXX, sumXY, largest float64
	count := float64(len(series))
	for _, p := range series {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
		largest = max(largest, p.Value)
	}
	l := Line{Slope: (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)}
	l.Intercept = (sumY - l.Slope*sumX) / count
	for _, p := range series {
		deviation := l.At(p.Size) - p.Value
		l.Nonlinearity = max(l.Nonlinearity, max(deviation, -deviation)/largest)
	}
	return l, nil
}
