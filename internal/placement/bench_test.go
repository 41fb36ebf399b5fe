package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

const (
	benchTeams   = 220
	benchWorkers = 260
	benchRack    = 8
	benchLimit   = 64
)

var benchSizes = []Resources{
	{MilliCores: 1000, MemoryMB: 2000}, {MilliCores: 2000, MemoryMB: 16000}, {MilliCores: 4000, MemoryMB: 8000},
	{MilliCores: 8000, MemoryMB: 64000}, {MilliCores: 4000, MemoryMB: 32000, Accelerators: 1},
}

// benchZone returns an engine for a zone of the design size, half of whose
// workers have four accelerators.
func benchZone() Engine {
	e := New()
	for i := range benchTeams {
		e.SetTeam(Team{Name: fmt.Sprintf("team%03d", i), Weight: int64(1 + i%4), MaxRunning: 1 << 20})
	}
	for i := range benchWorkers {
		e.SetEndpoint(Endpoint{
			ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", i/benchRack),
			Capacity: Resources{MilliCores: 64000, MemoryMB: 256000, Accelerators: int64(4 * (i % 2))},
		})
	}
	return e
}

func benchWork(r *rand.Rand, n int, now time.Duration) Work {
	class := ClassBatch
	if n%20 == 0 {
		class = ClassUrgent
	}
	return Work{
		ID: fmt.Sprintf("work%08d", n), Team: fmt.Sprintf("team%03d", r.IntN(benchTeams)), Queue: fmt.Sprintf("q%d", n%3),
		Class: class, Size: benchSizes[r.IntN(len(benchSizes))], Idempotent: true, Preemptible: n%2 == 0,
		Tasks: []string{fmt.Sprintf("task%08d", n)}, Enqueued: now, RunTime: time.Duration(1+r.IntN(60)) * time.Second,
	}
}

// benchLoad keeps a zone full, with a given number of tasks waiting.
type benchLoad struct {
	engine  Engine
	random  *rand.Rand
	now     time.Duration
	next    int
	running []string
	works   map[string]Work
}

func newBenchLoad(waiting int) *benchLoad {
	l := &benchLoad{engine: benchZone(), random: rand.New(rand.NewPCG(1, 2)), works: map[string]Work{}}
	for l.waiting() < waiting {
		l.submit()
		l.schedule()
	}
	return l
}

func (l *benchLoad) waiting() int { return len(l.works) - len(l.running) }

func (l *benchLoad) submit() {
	w := benchWork(l.random, l.next, l.now)
	l.works[w.Tasks[0]] = w
	l.engine.Submit(w)
	l.next++
}

// schedule applies the engine's decisions and returns the number of started
// tasks. Preempted tasks stop at once and are queued again.
func (l *benchLoad) schedule() int {
	started := 0
	for _, d := range l.engine.Schedule(l.now, benchLimit) {
		if !d.Preempt {
			l.running = append(l.running, d.Task)
			started++
			continue
		}
		l.end(slices.Index(l.running, d.Task), ResultStopped)
		l.engine.Submit(l.works[d.Task])
	}
	return started
}

// finish ends a random running task.
func (l *benchLoad) finish() {
	i := l.random.IntN(len(l.running))
	delete(l.works, l.running[i])
	l.end(i, ResultDone)
}

func (l *benchLoad) end(i int, result Result) {
	l.engine.Finish(l.running[i], l.now, result)
	last := len(l.running) - 1
	l.running[i] = l.running[last]
	l.running = l.running[:last]
}

// BenchmarkSchedule measures one finished task, one submission and the decisions
// that follow, at 3,000 of them per second, in a full zone.
func BenchmarkSchedule(b *testing.B) {
	for _, waiting := range []int{1000, 10000, 40000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			l := newBenchLoad(waiting)
			took := make([]time.Duration, 0, b.N)
			started := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.now += time.Second / 3000
				l.finish()
				l.submit()
				begin := time.Now()
				started += l.schedule()
				took = append(took, time.Since(begin))
			}
			b.StopTimer()
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Nanoseconds()), "p50-ns")
			b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
			b.ReportMetric(float64(took[len(took)-1].Nanoseconds()), "max-ns")
			b.ReportMetric(float64(started)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkMemory measures the heap usage of a waiting and of a running task,
// including the caller's strings.
func BenchmarkMemory(b *testing.B) {
	const tasks = 100000
	for _, state := range []string{"waiting", "running"} {
		b.Run(state, func(b *testing.B) {
			for range b.N {
				e := benchZone()
				r := rand.New(rand.NewPCG(1, 2))
				before := heapBytes()
				for n := range tasks {
					w := benchWork(r, n, 0)
					if state == "running" {
						e.Adopt(RunningTask{
							Task: w.Tasks[0], Work: w.ID, Endpoint: fmt.Sprintf("w%03d", n%benchWorkers),
							Team: w.Team, Queue: w.Queue, Class: w.Class, Size: w.Size,
						})
						continue
					}
					e.Submit(w)
				}
				b.ReportMetric(float64(heapBytes()-before)/tasks, "B/task")
				runtime.KeepAlive(e)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
