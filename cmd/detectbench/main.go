// Command detectbench measures the detection of failing targets on generated traces: how many requests and seconds a
// failing target takes to be suspected, and how often a healthy one is suspected. It runs only the failure detector, in
// a simulation without network and nodes.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/detect"
)

func main() {
	var p plan
	flag.Uint64Var(&p.seed, "seed", 1, "seed of the traces")
	flag.IntVar(&p.runs, "runs", 200, "traces of each fault")
	flag.DurationVar(&p.length, "length", time.Hour, "length of a trace without fault")
	flag.IntVar(&p.workers, "workers", 2, "traces that run at a time")
	flag.StringVar(&p.filter, "filter", "", "measure only scenarios whose name contains this")
	explain := flag.Bool("explain", false, "print each suspicion to the standard error output")
	svg := flag.String("curve", "", "measure the trade-off of the two error rates instead and write its plot, as SVG, to this file")
	flag.Parse()
	if *explain {
		p.explain = func(line string) { fmt.Fprintln(os.Stderr, line) }
	}
	if err := measureAll(p, *svg); err != nil {
		fmt.Fprintln(os.Stderr, "detectbench:", err)
		os.Exit(1)
	}
}

// measureAll prints the tables, or the trade-off if svg names the file for its plot.
func measureAll(p plan, svg string) error {
	if svg != "" {
		return measureTradeOff(p, svg)
	}

	huon := declaration.Policy{Preset: declaration.PresetHuon}
	dala := declaration.Policy{Preset: declaration.PresetDala}
	methods := []method{
		sequentialTest("huon", huon),
		sequentialTest("dala", dala),
		consecutiveFailures(),
		successRateAgainstMean(),
	}
	rates := []float64{detect.ParametersOf(huon).FalseAlarmRate, detect.ParametersOf(dala).FalseAlarmRate, 0, 0}
	return p.printTables(os.Stdout, methods, rates)
}

// measureTradeOff prints the trade-off between detection time and false ejections and writes its plot to svg.
func measureTradeOff(p plan, svg string) error {
	points, err := p.measureCurve(os.Stdout)
	if err != nil {
		return err
	}
	file, err := os.Create(svg)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if err := plot(file, points); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(file.Close(), "plot")
}
