package replayer

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Report holds the results of all replays of one trace.
type Report struct {
	Trace   string            `json:"trace"`
	Seed    uint64            `json:"seed"`
	Keep    []KeepAliveResult `json:"keep"`
	Loads   []LoadingResult   `json:"loads"`
	Share   []SharingResult   `json:"share"`
	Limits  []LimitResult     `json:"limits"`
	Routing []RoutingResult   `json:"routing"`
}

// Replay replays a trace of a fleet under all policies. The seed applies to the
// routing replay, which draws its own requests.
func Replay(f Fleet, events []Event, seed uint64) Report {
	return Report{
		Trace:   f.Name,
		Seed:    seed,
		Keep:    ReplayKeepAlive(f, events),
		Loads:   ReplayLoads(f, events),
		Share:   ReplaySharing(f, events),
		Limits:  ReplayLimits(f, events),
		Routing: ReplayRouting(seed),
	}
}

func sortedCopy(values []float64) []float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted
}

// Print writes the report to w as aligned text tables, one for each group of policies.
func (r Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	printRow := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	printRow("%s (seed %d)", r.Trace, r.Seed)
	printRow("\nkeep-alive\tidle hours\tcold starts\tcost\tlongest idle s")
	for _, k := range r.Keep {
		printRow("%s\t%.1f\t%d\t%.0f\t%.0f", k.Policy, k.IdleHours, k.ColdStarts, k.Cost, k.LongestIdle)
	}
	printRow("\nloads\tcold p50 s\tcold p99 s\tloads\twasted\trefused")
	for _, l := range r.Loads {
		printRow("%s\t%.1f\t%.1f\t%d\t%d\t%d", l.Policy, l.ColdStartP50, l.ColdStartP99, l.Loads, l.Wasted, l.Refused)
	}
	printRow("\nsharing in the surge\tworst p99 wait s\tworst served\tlarge served")
	for _, s := range r.Share {
		printRow("%s\t%.1f\t%.3f\t%.3f", s.Policy, s.WorstP99, s.WorstServed, s.LargeServed)
	}
	printRow("\nlimits\tserved\trefused\trefused inside\tover by tokens")
	for _, l := range r.Limits {
		printRow("%s\t%d\t%d\t%d\t%.0f", l.Policy, l.Served, l.Refused, l.RefusedWithinLimit, l.ExcessTokens)
	}
	printRow("\nrouting\tworst queue\tmean wait ms\tp99 wait ms")
	for _, x := range r.Routing {
		printRow("%s\t%d\t%.1f\t%.0f", x.Policy, x.LongestQueue, x.MeanWait, x.P99Wait)
	}
	return eris.Wrap(table.Flush(), "print report")
}

// Save writes the report to a file as indented JSON.
func (r Report) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "save report")
}

// Size of the chart.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws a chart of idle hours against cold starts, with one point for each
// keep-alive policy. The extension of path selects the image format.
func (r Report) Plot(path string) error {
	chart := plot.New()
	chart.Title.Text = "keep-alive on " + r.Trace
	chart.X.Label.Text = "idle accelerator hours"
	chart.Y.Label.Text = "cold starts"
	points := plotter.XYLabels{}
	for _, k := range r.Keep {
		points.XYs = append(points.XYs, plotter.XY{X: k.IdleHours, Y: float64(k.ColdStarts)})
		points.Labels = append(points.Labels, " "+k.Policy)
	}
	scatter, err := plotter.NewScatter(points.XYs)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	labels, err := plotter.NewLabels(points)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	chart.Add(plotter.NewGrid(), scatter, labels)
	return eris.Wrap(chart.Save(plotWidth, plotHeight, path), "plot")
}
