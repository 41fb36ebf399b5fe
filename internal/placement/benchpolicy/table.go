package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// table holds one outcome per scenario and policy.
type table struct {
	policies []namedPolicy
	names    []string
	rows     [][]outcome
}

func (t *table) add(s *scenario, seed uint64) {
	arrivals := s.arrivals(seed)
	var row []outcome
	for _, c := range t.policies {
		row = append(row, run(s, cloneArrivals(arrivals), c.make()))
	}
	t.names = append(t.names, s.name)
	t.rows = append(t.rows, row)
}

// cloneArrivals returns a copy of the arrivals with separate task lists, which the
// policies modify.
func cloneArrivals(arrivals []arrival) []arrival {
	out := append([]arrival(nil), arrivals...)
	for i := range out {
		out[i].work.Tasks = append([]string(nil), out[i].work.Tasks...)
	}
	return out
}

// measure is a measured value of an outcome. Less is better.
type measure struct {
	name  string
	value func(o *outcome) float64
}

func measures() []measure {
	return []measure{
		{"waiting", (*outcome).meanP99Wait},
		{"packing loss", func(o *outcome) float64 { return 1 - o.packing }},
		{"control cost", func(o *outcome) float64 { return o.nanoseconds }},
		{"share distance", func(o *outcome) float64 { return o.meanDistance }},
	}
}

func (t *table) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	line(w, "load\tpolicy\turgent p50 s\tp99\tservice p50 s\tp99\tbatch p50 s\tp99\tused %%\tof bound %%\tns/dec\tallocs\tbytes\tcall p99 us\tshare max %%\tmean %%\tstarts\tpreempts\tfull s\t")
	for i, row := range t.rows {
		for j, o := range row {
			line(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.1f\t%.0f\t%.0f\t%.2f\t%.2f\t%d\t%d\t%d\t",
				t.names[i], t.policies[j].name, o.p50[0], o.p99[0], o.p50[1], o.p99[1], o.p50[2], o.p99[2], 100*o.used, 100*o.packing,
				o.nanoseconds, o.allocations, o.bytes, float64(o.callP99.Nanoseconds())/1e3, 100*o.maxDistance, 100*o.meanDistance,
				o.starts, o.preemptions, o.saturatedSeconds)
		}
	}
	t.printRatios(w)
	if err := w.Flush(); err != nil {
		panic(errors.Wrap(err, "write the table"))
	}
}

// printRatios prints the ratio of our measures to those of each baseline. Our
// policy is better where the ratio is below 1.
func (t *table) printRatios(w io.Writer) {
	line(w, "\t\t\t\t\t\t\t\t\t\t\t\t\t\t\t\t\t\t\t")
	line(w, "load\tours / baseline\twaiting\tpacked\tcost\tdistance\t")
	for i, row := range t.rows {
		for j := 1; j < len(row); j++ {
			ours, base := &row[0], &row[j]
			line(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t", t.names[i], t.policies[j].name,
				ours.meanP99Wait()/base.meanP99Wait(), base.packing/ours.packing, ours.nanoseconds/base.nanoseconds, ours.meanDistance/base.meanDistance)
		}
	}
}

func line(w io.Writer, format string, args ...any) {
	if _, err := fmt.Fprintf(w, format+"\n", args...); err != nil {
		panic(errors.Wrap(err, "write the table"))
	}
}
