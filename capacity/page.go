package capacity

import (
	"bytes"
	_ "embed"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/template"

	"github.com/rotisserie/eris"
)

//go:embed page.md.tmpl
var pageTemplate string

// page holds the data of the template page.md.tmpl.
type page struct {
	Figures  Figures
	Sections []Section
	Slopes   []seriesRow
}

// seriesRow holds the texts of one row in the table of measured series.
type seriesRow struct {
	Name string
	// Points lists the sizes with their values, and Line describes the fitted line or is "-" for too few sizes.
	Points string
	Line   string
	// Commits are the commits at which the figures were measured.
	Commits string
}

// Render returns the text of docs/CAPACITY.md for the figures.
func Render(f Figures) ([]byte, error) {
	t, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return nil, eris.Wrap(err, "parse page")
	}
	var b bytes.Buffer
	err = t.Execute(&b, page{Figures: f, Sections: Sections(f), Slopes: newSeriesRows(f)})
	return b.Bytes(), eris.Wrap(err, "render page")
}

// newSeriesRows returns one row for each name, in the order of the figures.
func newSeriesRows(f Figures) []seriesRow {
	var rows []seriesRow
	seen := map[string]bool{}
	for _, p := range f.Figures {
		if seen[p.Name] {
			continue
		}
		seen[p.Name] = true
		rows = append(rows, newSeriesRow(p.Name, f.Series(p.Name)))
	}
	return rows
}

func newSeriesRow(name string, series []Figure) seriesRow {
	points := make([]string, 0, len(series))
	commits := map[string]bool{}
	for _, p := range series {
		text := fmt.Sprintf("%g: %s", p.Size, FormatValue(p.Value, p.Unit))
		if p.Runs > 1 {
			text += fmt.Sprintf(" (%s to %s, %d runs)", FormatValue(p.Low, p.Unit), FormatValue(p.High, p.Unit), p.Runs)
		}
		points = append(points, text)
		commits[p.Commit] = true
	}
	s := seriesRow{Name: name, Points: strings.Join(points, "; "), Line: "-", Commits: strings.Join(slices.Sorted(maps.Keys(commits)), " ")}
	line, err := Fit(series)
	switch {
	case err != nil:
	case line.IsLinear():
		s.Line = fmt.Sprintf("%s + %s a unit, bend %.0f%%", FormatValue(line.Intercept, series[0].Unit), FormatValue(line.Slope, series[0].Unit), 100*line.Nonlinearity)
	default:
		s.Line = fmt.Sprintf("bends (%.0f%%), not extended", 100*line.Nonlinearity)
	}
	return s
}
