package capacity

import (
	"cmp"
	"encoding/json"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// Figure is one measured value at one size.
type Figure struct {
	// Name says what was measured, such as compile.time.
	Name string `json:"name"`
	// Size is the number that the slope is taken over, such as daemons or services.
	Size float64 `json:"size"`
	// Value is the median of the runs, and Low and High are the least and the greatest.
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	Unit  string  `json:"unit"`
	Runs  int     `json:"runs"`
	// Commit is the one that was measured.
	Commit string `json:"commit"`
}

// Figures are the raw figures of one whole measurement.
type Figures struct {
	Machine string   `json:"machine"`
	Figures []Figure `json:"figures"`
}

// NewFigure summarises the values of several runs.
func NewFigure(name string, size float64, unit string, values ...float64) Figure {
	sorted := slices.Sorted(slices.Values(values))
	return Figure{
		Name: name, Size: size, Unit: unit, Runs: len(values),
		Value: sorted[len(sorted)/2], Low: sorted[0], High: sorted[len(sorted)-1],
	}
}

// Read reads a file of raw figures.
func Read(path string) (Figures, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Figures{}, eris.Wrap(err, "read figures")
	}
	var f Figures
	return f, eris.Wrap(json.Unmarshal(data, &f), "decode figures")
}

// Merge replaces the figures of the same name and size and writes the file.
func Merge(path, commit, machine string, added []Figure) error {
	f, err := Read(path)
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

// Series returns the figures of one name in order of size.
func (f Figures) Series(name string) []Figure {
	var series []Figure
	for _, one := range f.Figures {
		if one.Name == name {
			series = append(series, one)
		}
	}
	slices.SortFunc(series, func(a, b Figure) int { return cmp.Compare(a.Size, b.Size) })
	return series
}

// Line is a straight line through a series, by least squares.
type Line struct {
	Start float64
	Slope float64
	// Bend is the largest deviation of a point from the line, as a share of the largest value.
	Bend float64
}

// MaximumBend is the bend above which a line is not extended beyond the sizes that were measured.
const MaximumBend = 0.15

// IsStraight reports whether the line may be extended.
func (l Line) IsStraight() bool { return l.Bend <= MaximumBend }

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Start + l.Slope*size }

// Fit returns the line through a series, and an error when there are fewer than three sizes.
func Fit(series []Figure) (Line, error) {
	const smallest = 3
	if len(series) < smallest {
		return Line{}, eris.Errorf("%d sizes are too few for a slope", len(series))
	}
	var sumX, sumY, sumXX, sumXY, highest float64
	count := float64(len(series))
	for _, p := range series {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
		highest = max(highest, p.Value)
	}
	l := Line{Slope: (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)}
	l.Start = (sumY - l.Slope*sumX) / count
	for _, p := range series {
		deviation := l.At(p.Size) - p.Value
		l.Bend = max(l.Bend, max(deviation, -deviation)/highest)
	}
	return l, nil
}
