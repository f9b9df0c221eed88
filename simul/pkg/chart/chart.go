// Package chart draws the mean utility of a run's requests over time, as an SVG.
package chart

import (
	"io"

	"github.com/wcharczuk/go-chart/v2"

	"rosemarygrade.dev/simul/pkg/engine"
)

// Draw writes an SVG with the mean utility of the requests of each second.
func Draw(w io.Writer, title string, r *engine.Result) error {
	var xs, utility []float64
	for i, t := range r.Seconds() {
		if t.Requests > 0 {
			xs, utility = append(xs, float64(i)), append(utility, t.Utility())
		}
	}
	c := chart.Chart{
		Title: title,
		XAxis: chart.XAxis{Name: "second"},
		YAxis: chart.YAxis{Name: "worth", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
		Series: []chart.Series{
			chart.ContinuousSeries{Name: "worth", XValues: xs, YValues: utility},
		},
	}
	return c.Render(chart.SVG, w)
}
