// Package plots draws the pages of the measurements under tools/.
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

// Point is a point of a line.
type Point [2]float64

// Chart is a chart of lines by name.
type Chart struct {
	Title, Subtitle, X, Y string
	Lines                 map[string][]Point
}

// Percentiles are a histogram's values by percentile.
func Percentiles(h *hdrhistogram.Histogram) []Point {
	var points []Point
	for _, b := range h.CumulativeDistribution() {
		points = append(points, Point{b.Quantile, float64(b.ValueAt)})
	}
	return points
}

// WritePage writes a page (HTML) with charts.
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
		_ = file.Close() // the first error is told
		return err
	}
	return file.Close()
}

func draw(chart Chart) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: chart.Title, Subtitle: chart.Subtitle}),
		charts.WithXAxisOpts(opts.XAxis{Name: chart.X, Type: "value"}),
		charts.WithYAxisOpts(opts.YAxis{Name: chart.Y}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
	)
	for _, name := range slices.Sorted(maps.Keys(chart.Lines)) {
		var data []opts.LineData
		for _, point := range chart.Lines[name] {
			data = append(data, opts.LineData{Value: point})
		}
		line.AddSeries(name, data)
	}
	return line
}
