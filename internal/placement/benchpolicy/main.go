// Command benchpolicy simulates the placement policy and simple baseline
// policies with the same arrivals and prints a table of waiting time, packing,
// control cost and distance from the fair share.
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
	plots := flag.String("plots", "", "directory for one SVG plot per measure")
	only := flag.String("only", "", "run only scenarios whose name contains this text")
	ours := flag.Bool("ours", false, "run only the placement policy, without the baselines")
	profile := flag.String("cpuprofile", "", "file for a CPU profile")
	flag.Parse()
	if *profile != "" {
		stop, err := startProfile(*profile)
		if err != nil {
			exitWithError(err)
		}
		defer stop()
	}

	t := table{policies: namedPolicies()}
	if *ours {
		t.policies = t.policies[:1]
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
		exitWithError(err)
	}
}

func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, "benchpolicy:", err)
	os.Exit(1)
}

// startProfile starts a CPU profile and returns a function that ends it.
func startProfile(path string) (func(), error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create the CPU profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Wrap(err, "start the CPU profile")
	}
	return func() {
		pprof.StopCPUProfile()
		if err := f.Close(); err != nil {
			exitWithError(errors.Wrap(err, "close the CPU profile"))
		}
	}, nil
}
