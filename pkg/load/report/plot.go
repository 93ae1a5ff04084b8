package report

import (
	"fmt"
	"image/color"
	"maps"
	"os"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/lavendershunt/lavendershunt/pkg/load/observation"
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 20 * vg.Centimeter
	// plotQuantile is the quantile of the latencies of each second that is plotted.
	plotQuantile = 0.95
)

// WritePlot writes a PNG image with the latency of each class, the outcomes over time and the times of the faults.
func WritePlot(s *Summary, requests []*observation.Request, path string) error {
	latency, outcomes := plot.New(), plot.New()
	latency.Title.Text = fmt.Sprintf("%s, seed %d: latency from the intended arrival, p95 of each second", s.Name, s.Seed)
	latency.Y.Label.Text = "ms"
	latency.Y.Scale, latency.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	outcomes.Title.Text = "requests by outcome and second of the intended arrival"
	outcomes.X.Label.Text = "s"
	if err := plotLatency(latency, s, requests); err != nil {
		return err
	}
	if err := plotOutcomes(outcomes, s, requests); err != nil {
		return err
	}
	for _, p := range []*plot.Plot{latency, outcomes} {
		p.X.Min, p.X.Max = 0, max(1, s.LoadSeconds)
		p.Legend.Top = true
		addFaultLines(p, s)
	}
	latency.Y.Min = max(latency.Y.Min, 1)
	latency.Y.Max = max(latency.Y.Max, 10)
	return writePNG([]*plot.Plot{latency, outcomes}, path)
}

// seriesBySecond holds values by the second of the intended arrival, counted from the start of the run.
type seriesBySecond map[int][]float64

func groupBySecond(s *Summary, requests []*observation.Request, name func(*observation.Request) string, value func(*observation.Request) float64) map[string]seriesBySecond {
	all := map[string]seriesBySecond{}
	for _, r := range requests {
		key := name(r)
		if key == "" {
			continue
		}
		if all[key] == nil {
			all[key] = seriesBySecond{}
		}
		second := int(r.IntendedStart.Sub(s.Started).Seconds())
		all[key][second] = append(all[key][second], value(r))
	}
	return all
}

func plotLatency(p *plot.Plot, s *Summary, requests []*observation.Request) error {
	name := func(r *observation.Request) string {
		if !r.Done() {
			return ""
		}
		return r.Class
	}
	value := func(r *observation.Request) float64 {
		return float64(r.End.Sub(r.IntendedStart)) / float64(time.Millisecond)
	}
	return addLines(p, groupBySecond(s, requests, name, value), func(values []float64) float64 {
		slices.Sort(values)
		return max(1, values[int(plotQuantile*float64(len(values)-1))])
	})
}

func plotOutcomes(p *plot.Plot, s *Summary, requests []*observation.Request) error {
	name := func(r *observation.Request) string { return r.Outcome }
	value := func(*observation.Request) float64 { return 1 }
	return addLines(p, groupBySecond(s, requests, name, value), func(values []float64) float64 { return float64(len(values)) })
}

func addLines(p *plot.Plot, all map[string]seriesBySecond, aggregate func([]float64) float64) error {
	for i, name := range slices.Sorted(maps.Keys(all)) {
		var points plotter.XYs
		for _, second := range slices.Sorted(maps.Keys(all[name])) {
			points = append(points, plotter.XY{X: float64(second) + 0.5, Y: aggregate(all[name][second])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = plotutil.Color(i)
		// The colours repeat after DefaultColors, so the dash pattern tells further lines apart.
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return nil
}

// addFaultLines draws a vertical line at the time of each fault during the load.
func addFaultLines(p *plot.Plot, s *Summary) {
	for _, event := range s.Faults {
		x := event.At.Sub(s.Started).Seconds()
		if x > s.LoadSeconds {
			continue
		}
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: p.Y.Min}, {X: x, Y: p.Y.Max}})
		if err != nil {
			continue
		}
		line.Color = color.Gray{Y: 160}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		p.Add(line)
	}
}

func writePNG(plots []*plot.Plot, path string) (err error) {
	canvas := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Centimeter / 2, PadTop: vg.Points(4), PadBottom: vg.Points(4), PadRight: vg.Points(8)}
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		plots[i].Draw(row[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = closeErr
		}
	}()
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
