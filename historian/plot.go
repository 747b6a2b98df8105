package historian

import (
	"fmt"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot draws the mean value of quiet days and of other days by round, with a line
// for each site and kind of run. The extension of path, such as .svg or .png,
// selects the format.
func Plot(rounds []Round, path string) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "round", "worth"
	p.Legend.Top, p.Legend.Left = false, true
	var lines []any
	for _, name := range seriesNames(rounds) {
		lines = append(lines, name, seriesPoints(rounds, name))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrap(err, "plot")
	}
	p.Add(plotter.NewGrid())
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

// seriesName returns the name of the line to which a round belongs, for quiet days
// or for the others.
func seriesName(r Round, quiet bool) string {
	kind, cpu := "trouble", ""
	if quiet {
		kind = "quiet"
	}
	if r.IgnoresCPU {
		cpu = ", processor time free"
	}
	return fmt.Sprintf("%s, %s%s", r.Site, kind, cpu)
}

// seriesNames returns the names of all lines in the order of their first rounds.
func seriesNames(rounds []Round) []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range rounds {
		for _, quiet := range []bool{true, false} {
			name := seriesName(r, quiet)
			if _, ok := r.Mean(quiet); ok && !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	return names
}

// seriesPoints returns the points of the line with that name. X counts the rounds of
// the line from 1, Y is the mean value.
func seriesPoints(rounds []Round, name string) plotter.XYs {
	var xys plotter.XYs
	for _, r := range rounds {
		for _, quiet := range []bool{true, false} {
			mean, ok := r.Mean(quiet)
			if ok && seriesName(r, quiet) == name {
				xys = append(xys, plotter.XY{X: float64(len(xys) + 1), Y: mean})
			}
		}
	}
	return xys
}
