// Command capacity measures the slopes of docs/CAPACITY.md and prints them with
// their extrapolation to the design size.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/capacity"
)

func main() {
	daemon := flag.String("daemon", "bin/bluebellstiled", "path of the daemon's executable")
	only := flag.String("only", "", "comma-separated measurements to run; empty for all")
	window := flag.Duration("window", 6*time.Second, "time for which each size is measured")
	results := flag.String("results", "", "JSON file into which results are merged; empty for none")
	flag.Parse()
	b := &capacity.Bench{
		Command: []string{*daemon, "-config"},
		Window:  *window,
		Logf:    func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	}
	if err := run(b, measurementNames(*only), *results); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// measurementNames splits a comma-separated list. An empty list stands for all
// measurements and "none" for no measurement.
func measurementNames(list string) []string {
	if list == "" {
		return capacity.Measurements()
	}
	if list == "none" {
		return nil
	}
	return strings.Split(list, ",")
}

// run runs the measurements, merges their results into those of the file after
// each, and prints all results.
func run(b *capacity.Bench, names []string, file string) error {
	all := capacity.Results{}
	if file != "" {
		if data, err := os.ReadFile(file); err == nil {
			if err := json.Unmarshal(data, &all); err != nil {
				return err
			}
		}
	}
	for _, name := range names {
		series, err := b.Measure(name)
		if err != nil {
			return err
		}
		all.Merge(series)
		if err := save(all, file); err != nil {
			return err
		}
	}
	return all.Print(os.Stdout)
}

// save writes the results to the file, if one is given.
func save(all capacity.Results, file string) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
