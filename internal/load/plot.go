package load

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the requests sent and attained in each second into a file. The
// file name extension selects the format, .svg or .png.
func (r *Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "time since start (s)"
	p.Y.Label.Text = "requests per second"
	sent := make(plotter.XYs, len(r.Seconds))
	attained := make(plotter.XYs, len(r.Seconds))
	for i, s := range r.Seconds {
		sent[i] = plotter.XY{X: float64(i), Y: float64(s.Sent)}
		attained[i] = plotter.XY{X: float64(i), Y: float64(s.Attained)}
	}
	if err := plotutil.AddLines(p, "sent", sent, "attained", attained); err != nil {
		return errors.Wrap(err, "draw plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write plot")
}
