package controller

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

var overloadTable = flag.Bool("overload-table", false, "print the worth of jobs under overload, with each part of the scheduling on and off")
var overloadSeeds = flag.Uint64("overload-seeds", 6, "number of simulated worlds for each line of that table")

const (
	// overloadRetries is how often a refused caller comes back.
	overloadRetries = 4
	// usualRunTime is the mean of what simulated endpoints take, in estimates.
	usualRunTime = 1.25
)

// overloadKind is a kind of job of the customers' sheets, at the rate of one endpoint of 350.
type overloadKind struct {
	prefix    string
	steps     int
	tasks     int
	milli     int64
	takes     time.Duration
	gang      bool
	perSecond float64
}

var overloadKinds = []overloadKind{
	{prefix: "a", steps: 1, tasks: 3, milli: 5000, takes: time.Second, perSecond: 80.0 / 350},
	{prefix: "b", steps: 2, tasks: 25, milli: 3500, takes: 3400 * time.Millisecond, perSecond: 5.4 / 350},
	{prefix: "c", steps: 1, tasks: 20, milli: 9000, takes: 4 * time.Second, gang: true, perSecond: 6.5 / 350},
}

// overloadPattern tells how many times the usual jobs of a kind a customer sends at a time.
type overloadPattern struct {
	name  string
	times func(at time.Duration, prefix, customer string) float64
}

// during reports whether a time is in an overload that ends at a given time.
func during(at, end time.Duration) bool { return at >= 10*time.Second && at < end }

var overloadPatterns = []overloadPattern{
	{"large jobs at once", func(at time.Duration, prefix, _ string) float64 {
		if prefix != "a" && during(at, 20*time.Second) {
			return 3
		}
		return 1
	}},
	{"urgent jobs at once", func(at time.Duration, prefix, _ string) float64 {
		if prefix == "a" && during(at, 20*time.Second) {
			return 3
		}
		return 1
	}},
	{"a hot customer", func(at time.Duration, _, customer string) float64 {
		if customer == "c4" && during(at, 40*time.Second) {
			return 8
		}
		return 1
	}},
	{"too much of all for long", func(at time.Duration, _, _ string) float64 {
		if during(at, 50*time.Second) {
			return 1.6
		}
		return 1
	}},
}

// overloadJob is a job of a pattern, with what became of it.
type overloadJob struct {
	id       workload.ID
	customer string
	// stated is the job as its caller sends it, actual as it is.
	stated, actual workload.Spec
	sentAt         time.Duration
	tries          int
	endedAt        time.Duration
}

// TestOverloadTable prints, for each pattern of overload, the worth of the jobs by queue and
// customer with all parts of the scheduling on, with each off, and with all off. A job is worth
// 1 if it meets its objective and 0.2 up to three times that. A refused caller comes back when
// it was told to, four times. It runs only with -overload-table.
func TestOverloadTable(t *testing.T) {
	if !*overloadTable {
		t.Skip("prints a table; run make bench-overload")
	}
	all := Features{GangRoom: true, Preemption: true, Shares: true, Admission: true, Estimates: true}
	variants := []struct {
		name string
		off  func(*Features)
	}{
		{"all on", func(*Features) {}},
		{"without gang_room", func(f *Features) { f.GangRoom = false }},
		{"without preemption", func(f *Features) { f.Preemption = false }},
		{"without shares", func(f *Features) { f.Shares = false }},
		{"without admission", func(f *Features) { f.Admission = false }},
		{"without estimates", func(f *Features) { f.Estimates = false }},
		{"all off", func(f *Features) { *f = Features{} }},
	}
	for _, p := range overloadPatterns {
		t.Run(p.name, func(t *testing.T) {
			fmt.Printf("\n%-26s %7s %8s  %s\n", p.name, "refused", "useless", "worth by queue and customer")
			for _, v := range variants {
				features := all
				v.off(&features)
				fmt.Printf("%-26s %s\n", v.name, playOverload(t, p, features))
			}
		})
	}
}

// playOverload plays a pattern in simulated worlds and returns its line of the table.
func playOverload(t *testing.T, p overloadPattern, features Features) string {
	r := overloadResult{earned: make(map[string]float64), owed: make(map[string]float64)}
	for seed := uint64(1); seed <= *overloadSeeds; seed++ {
		w := newWorld(t, seed, faults{})
		r.add(w, w.playOverload(p, features))
	}
	return r.String()
}

// playOverload plays a pattern and returns its jobs.
func (w *world) playOverload(p overloadPattern, features Features) []*overloadJob {
	const endpoints, length, drain = 14, 60 * time.Second, 45 * time.Second
	w.params.Features = features
	w.catalog.Customers = make(map[string]catalog.Customer)
	customers := []string{"c1", "c2", "c3", "c4"}
	for _, name := range customers {
		w.catalog.Customers[name] = catalog.Customer{Name: name, Keys: []string{name}, Weight: 3}
	}
	if err := w.catalog.Index(); err != nil {
		w.t.Fatal(err)
	}
	w.noteCatalog()
	for i := range endpoints {
		w.addEndpoint(fmt.Sprintf("e%02d", i))
	}
	w.beginTerm()
	var jobs []*overloadJob
	const step = 50 * time.Millisecond
	for at := time.Second; at < length; at += step {
		for _, k := range overloadKinds {
			for _, customer := range customers {
				rate := k.perSecond * endpoints / float64(len(customers)) * p.times(at, k.prefix, customer)
				if !w.chance(rate * step.Seconds()) {
					continue
				}
				j := k.job(w, len(jobs), customer)
				jobs = append(jobs, j)
				w.after(at, func() {
					j.sentAt = w.now
					w.sendOverload(j)
				})
			}
		}
	}
	for now := time.Duration(0); now < length+drain; now += 100 * time.Millisecond {
		w.run(now)
		for _, j := range jobs {
			if state, _ := w.current().core.Status(j.id, j.customer); j.endedAt == 0 && state == workload.StateCompleted {
				j.endedAt = w.now
			}
		}
	}
	return jobs
}

// job returns a job of a kind. What its caller states is off by a factor of the customer, and
// by chance.
func (k overloadKind) job(w *world, n int, customer string) *overloadJob {
	j := &overloadJob{id: workload.ID(fmt.Sprintf("%s%015x", k.prefix, n)), customer: customer}
	factor := map[string]float64{"c1": 0.5, "c2": 1, "c3": 1, "c4": 2}[customer] * (0.6 + 0.8*w.rand.Float64())
	for i := range k.steps {
		s := workload.Step{Count: k.tasks, Size: resource.Vector{MilliCores: k.milli, MemoryMB: 100}, Estimate: k.takes, Gang: k.gang}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.actual.Steps = append(j.actual.Steps, s)
		s.Estimate = time.Duration(factor * float64(k.takes))
		j.stated.Steps = append(j.stated.Steps, s)
	}
	return j
}

// sendOverload sends a job, and again when its caller is told to come back.
func (w *world) sendOverload(j *overloadJob) {
	record := w.newJob(j.customer, j.actual)
	w.jobs[j.id] = record
	j.tries++
	w.current().core.Submit(w.instant(), Submission{ID: j.id, Queue: w.queueOf(j.id), Customer: j.customer, Accepted: w.instant().Wall, Spec: j.stated}, func(r SubmitResult) {
		record.accepted = r.Problem == nil
		if r.Problem != nil && j.tries <= overloadRetries {
			w.after(r.Problem.RetryAfter, func() { w.sendOverload(j) })
		}
	})
	w.flush(w.current())
}

// overloadResult is the worth earned and owed by queue and by customer, with the numbers of
// jobs refused for good and of those done too late to be of use.
type overloadResult struct {
	earned, owed     map[string]float64
	refused, useless int
}

func (r *overloadResult) add(w *world, jobs []*overloadJob) {
	for _, j := range jobs {
		q := w.catalog.Queue(w.queueOf(j.id))
		objective := objectiveOf(q, time.Duration(usualRunTime*float64(j.actual.Chains(0).Longest)))
		worth := 0.0
		switch took := j.endedAt - j.sentAt; {
		case j.endedAt == 0 && !w.jobs[j.id].accepted:
			r.refused++
		case j.endedAt == 0 || took > usefulObjectives*objective:
			r.useless++
		case took > objective:
			worth = 0.2
		default:
			worth = 1
		}
		for _, name := range []string{q.Name, j.customer} {
			r.earned[name] += worth
			r.owed[name]++
		}
	}
}

func (r *overloadResult) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%7d %8d ", r.refused, r.useless)
	for _, name := range slices.Sorted(maps.Keys(r.owed)) {
		fmt.Fprintf(&b, " %s %.2f", name, r.earned[name]/r.owed[name])
	}
	return b.String()
}
