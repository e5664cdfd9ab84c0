package main

import (
	"fmt"
	"io"
	"math"
)

const (
	// plotWidth and plotHeight are the size of the plot in pixels, plotMargin the space for the labels.
	plotWidth  = 640
	plotHeight = 400
	plotMargin = 60
	// plotMaxRequests is the upper end of the horizontal axis, in requests to the detection of 30% errors.
	plotMaxRequests = 50.0
	// plotMinRate and plotMaxRate are the ends of the vertical axis, in false ejections per target-day.
	plotMinRate = 0.1
	plotMaxRate = 1e4
)

var plotColours = map[float64]string{0.2: "#1b6ca8", 0.3: "#c0392b", 0.5: "#2e8b57"}

// plot writes the trade-off as SVG: requests to the detection of 30% errors against false ejections.
func plot(out io.Writer, points []point) error {
	p := printer{out: out}
	p.printf("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n", plotWidth, plotHeight)
	p.printf("<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n")
	p.axes()
	for _, measured := range points {
		x, y := plotX(measured.errors), plotY(measured.falseEjectionRate)
		p.printf("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\"/>\n", x, y, plotColours[measured.policy.FailureRate])
		p.printf("<text x=\"%.1f\" y=\"%.1f\">%.0e</text>\n", x+6, y-4, measured.policy.FalseAlarmRate)
	}
	p.legend()
	p.printf("</svg>\n")
	return p.err
}

// printer skips all writes after the first error and keeps that error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

func (p *printer) axes() {
	bottom, left := float64(plotHeight-plotMargin), float64(plotMargin)
	p.printf("<path d=\"M%.0f 20V%.0fH%d\" fill=\"none\" stroke=\"black\"/>\n", left, bottom, plotWidth-20)
	for requests := 0.0; requests <= plotMaxRequests; requests += 10 {
		p.printf("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%.0f</text>\n", plotX(requests), bottom+16, requests)
	}
	for rate := plotMinRate; rate <= plotMaxRate; rate *= 10 {
		p.printf("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"end\">%g</text>\n", left-6, plotY(rate)+4, rate)
	}
	p.printf("<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">requests to the detection of 30%% errors (mean)</text>\n", plotWidth/2, plotHeight-20)
	p.printf("<text transform=\"translate(14 %d) rotate(-90)\" text-anchor=\"middle\">false ejections per target-day</text>\n", plotHeight/2)
}

func (p *printer) legend() {
	y := 30
	for _, rate := range []float64{0.2, 0.3, 0.5} {
		p.printf("<text x=\"%d\" y=\"%d\" fill=\"%s\">failure rate %.1f; labels: false alarm rate</text>\n", plotWidth-260, y, plotColours[rate], rate)
		y += 15
	}
}

func plotX(requests float64) float64 {
	return plotMargin + min(requests, plotMaxRequests)/plotMaxRequests*(plotWidth-plotMargin-20)
}

// plotY places a rate on a logarithmic axis. Rates below plotMinRate are placed at its lower end.
func plotY(rate float64) float64 {
	share := math.Log(max(rate, plotMinRate)/plotMinRate) / math.Log(plotMaxRate/plotMinRate)
	return plotHeight - plotMargin - share*(plotHeight-plotMargin-20)
}
