// Package plots writes the pages of the measurement tools under tools/: line charts in an HTML file
// that a browser shows on its own. Each tool calls it once, after its measurement.
package plots

import (
	"maps"
	"os"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// Point is a point of a line: X, then Y.
type Point [2]float64

// Chart is a line chart.
type Chart struct {
	Title, Subtitle string
	X, Y            string             // names of the axes
	Lines           map[string][]Point // by name
}

// Percentiles returns a line of a histogram's values by percentile.
func Percentiles(h *hdrhistogram.Histogram) []Point {
	var points []Point
	for _, b := range h.CumulativeDistribution() {
		points = append(points, Point{b.Quantile, float64(b.ValueAt)})
	}
	return points
}

// WritePage writes an HTML page to a file, with the charts one below the other.
func WritePage(path string, all []Chart) error {
	page := components.NewPage()
	for _, chart := range all {
		page.AddCharts(draw(chart))
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := page.Render(file); err != nil {
		_ = file.Close() // the first error is returned
		return err
	}
	return file.Close()
}

// draw returns the chart in the form that the charting library renders.
func draw(chart Chart) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: chart.Title, Subtitle: chart.Subtitle}),
		charts.WithXAxisOpts(opts.XAxis{Name: chart.X, Type: "value"}),
		charts.WithYAxisOpts(opts.YAxis{Name: chart.Y}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
	)
	for _, name := range slices.Sorted(maps.Keys(chart.Lines)) {
		var points []opts.LineData
		for _, point := range chart.Lines[name] {
			points = append(points, opts.LineData{Value: point})
		}
		line.AddSeries(name, points)
	}
	return line
}
