package sillreport

import (
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot, and the width of a bar.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 20
)

// drawing is one plot and the name of its file.
type drawing struct {
	name string
	draw func(r *Report) (*plot.Plot, error)
}

func drawings() []drawing {
	return []drawing{
		{"trainer-idle", drawIdle},
		{"trainer-staleness", drawStaleness},
		{"worst-organisation", drawOrganisations},
		{"spend", drawSpend},
		{"usage", drawUsage},
	}
}

// Plot writes the plots of a report into a directory, as "svg" or "png", and
// returns their paths.
func Plot(r *Report, dir, format string) ([]string, error) {
	var paths []string
	for _, d := range drawings() {
		p, err := d.draw(r)
		if err != nil {
			return nil, eris.Wrapf(err, "sillreport.Plot: %s", d.name)
		}
		path := filepath.Join(dir, d.name+"."+format)
		if err := p.Save(plotWidth, plotHeight, path); err != nil {
			return nil, eris.Wrapf(err, "sillreport.Plot: %s", path)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// named is a line or cloud of points with its name in the legend.
type named struct {
	name   string
	points plotter.XYs
}

// grouped collects points by name, sorted by name.
func grouped(n int, point func(i int) (string, plotter.XY)) []named {
	by := map[string]plotter.XYs{}
	for i := range n {
		name, xy := point(i)
		by[name] = append(by[name], xy)
	}
	var all []named
	for name, points := range by {
		all = append(all, named{name, points})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

func addLines(p *plot.Plot, all []named) error {
	for i, n := range all {
		l, err := plotter.NewLine(n.points)
		if err != nil {
			return err
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(n.name, l)
	}
	return nil
}

func addPoints(p *plot.Plot, all []named) error {
	for i, n := range all {
		s, err := plotter.NewScatter(n.points)
		if err != nil {
			return err
		}
		s.Color = plotutil.Color(i)
		s.Shape = plotutil.Shape(i)
		p.Add(s)
		p.Legend.Add(n.name, s)
	}
	return nil
}

func drawIdle(r *Report) (*plot.Plot, error) {
	p := newPlot("Trainer idle time", "seconds", "idle share of the batch")
	b := r.Series.Batches
	return p, addLines(p, grouped(len(b), func(i int) (string, plotter.XY) {
		return string(b[i].Trainer), plotter.XY{X: b[i].Second, Y: b[i].IdleShare}
	}))
}

func drawStaleness(r *Report) (*plot.Plot, error) {
	p := newPlot("Staleness of received samples", "seconds", "weight versions")
	s := r.Series.Staleness
	return p, addPoints(p, grouped(len(s), func(i int) (string, plotter.XY) {
		return string(s[i].Trainer), plotter.XY{X: s[i].Second, Y: float64(s[i].Versions)}
	}))
}

func drawOrganisations(r *Report) (*plot.Plot, error) {
	p := newPlot("Served share by organisation, worst first", "", "served share")
	all := append([]OrganisationMeasure{}, r.Measures.Organisations...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].ServedShare < all[j].ServedShare })
	if len(all) == 0 {
		return p, nil
	}
	var values plotter.Values
	var names []string
	for _, o := range all {
		values = append(values, o.ServedShare)
		names = append(names, string(o.Organisation))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(0)
	p.Add(bars)
	p.NominalX(names...)
	return p, nil
}

func drawSpend(r *Report) (*plot.Plot, error) {
	p := newPlot("Target spend against service", "seconds", "calls a second; runs on targets")
	var offered, served, running plotter.XYs
	for _, s := range r.Series.Seconds {
		x := float64(s.Second)
		offered = append(offered, plotter.XY{X: x, Y: float64(s.Offered)})
		served = append(served, plotter.XY{X: x, Y: float64(s.Served)})
		running = append(running, plotter.XY{X: x, Y: s.Running})
	}
	if len(offered) == 0 {
		return p, nil
	}
	return p, addLines(p, []named{{"offered", offered}, {"served", served}, {"running on targets", running}})
}

func drawUsage(r *Report) (*plot.Plot, error) {
	p := newPlot("Usage reports", "seconds", "seconds after the window's end")
	u := r.Series.Usage
	return p, addPoints(p, grouped(len(u), func(i int) (string, plotter.XY) {
		return usageName(u[i]), plotter.XY{X: u[i].Second, Y: u[i].LateSeconds}
	}))
}

func usageName(u UsagePoint) string {
	switch {
	case u.Differing:
		return "differing"
	case u.Repeated:
		return "repeated"
	}
	return "first"
}
