// Command benchpolicy runs the placement policy and simple baselines through
// the same arrivals and departures and prints one table of waiting time,
// packing, control cost and distance from share.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"strings"

	"github.com/pkg/errors"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	plots := flag.String("plots", "", "directory for one SVG per measure")
	only := flag.String("only", "", "run only the scenarios whose name contains this")
	ours := flag.Bool("ours", false, "leave the baselines out")
	profile := flag.String("cpuprofile", "", "file for a processor profile")
	flag.Parse()
	if *profile != "" {
		stop, err := startProfile(*profile)
		if err != nil {
			fail(err)
		}
		defer stop()
	}

	t := table{contenders: contenders()}
	if *ours {
		t.contenders = t.contenders[:1]
	}
	for _, s := range scenarios() {
		if strings.Contains(s.name, *only) {
			fmt.Fprintln(os.Stderr, "benchpolicy:", s.name)
			t.add(&s, *seed)
		}
	}
	t.print(os.Stdout)
	if *plots == "" {
		return
	}
	if err := t.plot(*plots); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "benchpolicy:", err)
	os.Exit(1)
}

// startProfile returns a function that ends the profile.
func startProfile(path string) (func(), error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create the profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Wrap(err, "start the profile")
	}
	return func() {
		pprof.StopCPUProfile()
		if err := f.Close(); err != nil {
			fail(errors.Wrap(err, "close the profile"))
		}
	}, nil
}
