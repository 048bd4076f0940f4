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

type page struct {
	Figures  Figures
	Sections []Section
	Slopes   []slopeLine
}

// slopeLine shows one series with its line.
type slopeLine struct {
	Name   string
	Points string
	Line   string
	// Commits are those at which the series was measured.
	Commits string
}

// Render returns the text of docs/CAPACITY.md.
func Render(f Figures) ([]byte, error) {
	t, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return nil, eris.Wrap(err, "parse page")
	}
	var b bytes.Buffer
	err = t.Execute(&b, page{Figures: f, Sections: Work(f), Slopes: slopesOf(f)})
	return b.Bytes(), eris.Wrap(err, "render page")
}

func slopesOf(f Figures) []slopeLine {
	var lines []slopeLine
	seen := map[string]bool{}
	for _, one := range f.Figures {
		if seen[one.Name] {
			continue
		}
		seen[one.Name] = true
		lines = append(lines, newSlopeLine(one.Name, f.Series(one.Name)))
	}
	return lines
}

func newSlopeLine(name string, series []Figure) slopeLine {
	points := make([]string, 0, len(series))
	commits := map[string]bool{}
	for _, p := range series {
		text := fmt.Sprintf("%g: %s", p.Size, Show(p.Value, p.Unit))
		if p.Runs > 1 {
			text += fmt.Sprintf(" (%s to %s, %d runs)", Show(p.Low, p.Unit), Show(p.High, p.Unit), p.Runs)
		}
		points = append(points, text)
		commits[p.Commit] = true
	}
	s := slopeLine{Name: name, Points: strings.Join(points, "; "), Line: "-", Commits: strings.Join(slices.Sorted(maps.Keys(commits)), " ")}
	line, err := Fit(series)
	switch {
	case err != nil:
	case line.IsStraight():
		s.Line = fmt.Sprintf("%s + %s a unit, bend %.0f%%", Show(line.Start, series[0].Unit), Show(line.Slope, series[0].Unit), 100*line.Bend)
	default:
		s.Line = fmt.Sprintf("bends (%.0f%%), not extended", 100*line.Bend)
	}
	return s
}
