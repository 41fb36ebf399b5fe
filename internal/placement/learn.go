package placement

import (
	"math"
	"time"
)

const (
	// learnSamples is the least number of samples that a quantile needs.
	learnSamples = 20
	// learnWindow is the weight of all samples at which old ones are halved.
	learnWindow = 512
	// learnEvery is the number of samples after which quantiles are renewed.
	learnEvery = 16
	// stepsPerOctave is the resolution of a histogram: 19% per bucket.
	stepsPerOctave = 4
	// histogramBuckets spans 24 octaves.
	histogramBuckets = 24 * stepsPerOctave
	// typicalQuantile and cautiousQuantile serve for expected ends and for
	// promises made to others.
	typicalQuantile  = 0.5
	cautiousQuantile = 0.95
	// runTimeUnit is the least run time that is told apart.
	runTimeUnit = 10 * time.Millisecond
	// ratioUnit is the least ratio of used to declared that is told apart.
	ratioUnit = 1.0 / 16
)

// histogram counts positive samples in buckets of equal ratio and forgets old
// ones by halving.
type histogram struct {
	counts [histogramBuckets]uint16
	total  uint32
}

func (h *histogram) add(x float64) {
	if x <= 0 {
		return
	}
	step := int(math.Ceil(math.Log2(x) * stepsPerOctave))
	h.counts[max(0, min(histogramBuckets-1, step))]++
	h.total++
	if h.total >= learnWindow {
		h.halve()
	}
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += uint32(h.counts[i])
	}
}

// quantile returns the upper edge of the bucket with the q-quantile, 0 if
// there are too few samples.
func (h *histogram) quantile(q float64) float64 {
	if h.total < learnSamples {
		return 0
	}
	need := uint32(math.Ceil(q * float64(h.total)))
	var seen uint32
	for i, n := range h.counts {
		seen += uint32(n)
		if seen >= need {
			return math.Exp2(float64(i) / stepsPerOctave)
		}
	}
	return 0
}

// source is what has been learned about one team's queue.
type source struct {
	queue   string
	runs    histogram
	cores   histogram
	memory  histogram
	samples int
	// typicalRun and cautiousRun are quantiles of the run time, 0 if unknown.
	typicalRun  time.Duration
	cautiousRun time.Duration
	// coresFactor and memoryFactor correct declared sizes upward; at least 1.
	coresFactor  float64
	memoryFactor float64
	evidence     evidence
}

func (t *team) source(queue string) *source {
	s, ok := t.sources[queue]
	if !ok {
		s = &source{queue: queue, coresFactor: 1, memoryFactor: 1}
		t.sources[queue] = s
	}
	return s
}

// learn takes in the run time and peak usage of a finished task.
func (e *engine) learn(tk *task, now time.Duration) {
	s := tk.source
	s.runs.add(float64(now-tk.Started) / float64(runTimeUnit))
	if tk.peak != (Resources{}) {
		s.cores.add(fraction(tk.peak.MilliCores, tk.Size.MilliCores) / ratioUnit)
		s.memory.add(fraction(tk.peak.MemoryMB, tk.Size.MemoryMB) / ratioUnit)
	}
	s.samples++
	if s.samples%learnEvery == 0 && s.renew() {
		e.reshapeQueue(tk.team, s.queue)
	}
}

// renew recomputes the quantiles and reports whether one has changed.
func (s *source) renew() bool {
	before := *s
	s.typicalRun = time.Duration(s.runs.quantile(typicalQuantile) * float64(runTimeUnit))
	s.cautiousRun = time.Duration(s.runs.quantile(cautiousQuantile) * float64(runTimeUnit))
	s.coresFactor = max(1, s.cores.quantile(cautiousQuantile)*ratioUnit)
	s.memoryFactor = max(1, s.memory.quantile(cautiousQuantile)*ratioUnit)
	return s.cautiousRun != before.cautiousRun || s.coresFactor != before.coresFactor || s.memoryFactor != before.memoryFactor
}

func (e *engine) reshapeQueue(t *team, queue string) {
	for c := range t.queues {
		for _, b := range t.queues[c].buckets {
			if b.key.queue == queue || b.mixed {
				e.reshape(b)
			}
		}
	}
}

// longRun returns a run time that most tasks of it don't exceed, 0 if unknown.
func (e *engine) longRun(t *team, it *item) time.Duration {
	return max(it.RunTime, t.source(it.Queue).cautiousRun)
}

// effectiveSize returns what a task of it is charged: the declared size,
// corrected upward by what tasks of its queue were seen to use, unless the
// corrected size would never fit.
func (e *engine) effectiveSize(t *team, it *item) Resources {
	s := t.source(it.Queue)
	if s.coresFactor == 1 && s.memoryFactor == 1 {
		return it.Size
	}
	size := it.Size
	size.MilliCores = int64(math.Ceil(float64(size.MilliCores) * s.coresFactor))
	size.MemoryMB = int64(math.Ceil(float64(size.MemoryMB) * s.memoryFactor))
	if !hosts(size, e.capacities(it.Runner), int64(max(1, it.gangSize()))) {
		return it.Size
	}
	return size
}
