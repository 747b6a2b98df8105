package historian

import (
	"fmt"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot draws the mean worth of quiet days and of days with trouble by round, a line
// for each site and kind of run, to an SVG or PNG file.
func Plot(rounds []Round, path string) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "round", "worth"
	p.Legend.Top, p.Legend.Left = false, true
	var lines []any
	for _, name := range lineNames(rounds) {
		lines = append(lines, name, points(rounds, name))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrap(err, "plot")
	}
	p.Add(plotter.NewGrid())
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

// lineName names the line of a round.
func lineName(r Round, quiet bool) string {
	kind, counted := "trouble", ""
	if quiet {
		kind = "quiet"
	}
	if r.Free {
		counted = ", processor time free"
	}
	return fmt.Sprintf("%s, %s%s", r.Site, kind, counted)
}

// lineNames lists the lines in the order of their first rounds.
func lineNames(rounds []Round) []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range rounds {
		for _, quiet := range []bool{true, false} {
			name := lineName(r, quiet)
			if _, ok := r.Mean(quiet); ok && !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// points are those of a line, numbered by round.
func points(rounds []Round, name string) plotter.XYs {
	var xys plotter.XYs
	for _, r := range rounds {
		for _, quiet := range []bool{true, false} {
			mean, ok := r.Mean(quiet)
			if ok && lineName(r, quiet) == name {
				xys = append(xys, plotter.XY{X: float64(len(xys) + 1), Y: mean})
			}
		}
	}
	return xys
}
