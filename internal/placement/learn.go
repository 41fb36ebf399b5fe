package placement

import (
	"math"
	"time"
)

const (
	// minQuantileSamples is the minimum number of samples for a quantile.
	minQuantileSamples = 20
	// histogramWindow is the number of samples at which all counts of a histogram
	// are halved.
	histogramWindow = 512
	// samplesPerUpdate is the number of samples between two updates of the
	// quantiles.
	samplesPerUpdate = 16
	// stepsPerOctave is the resolution of a histogram: 19% per bucket.
	stepsPerOctave = 4
	// histogramBuckets spans 24 octaves.
	histogramBuckets = 24 * stepsPerOctave
	// typicalQuantile is used for the expected end of a task,
	// conservativeQuantile where other work must not be delayed. recordOutcome
	// also uses typicalQuantile as the success rate of a queue from which a failure
	// on probation quarantines the endpoint again.
	typicalQuantile      = 0.5
	conservativeQuantile = 0.95
	// runTimeUnit is the resolution limit of run times.
	runTimeUnit = 10 * time.Millisecond
	// ratioUnit is the resolution limit of the ratio of used to declared
	// resources.
	ratioUnit = 1.0 / 16
)

// histogram counts positive samples in exponential buckets. Old samples lose
// weight because all counts are halved at histogramWindow.
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
	if h.total >= histogramWindow {
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

// quantile returns the upper bound of the bucket that contains the q-quantile,
// or 0 if there are too few samples.
func (h *histogram) quantile(q float64) float64 {
	if h.total < minQuantileSamples {
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

// queueStats holds statistics of the finished tasks of one queue of a team.
type queueStats struct {
	queue    string
	runTimes histogram
	cores    histogram
	memory   histogram
	samples  int
	// typicalRunTime and conservativeRunTime are quantiles of the run time,
	// 0 if unknown.
	typicalRunTime      time.Duration
	conservativeRunTime time.Duration
	// coresFactor and memoryFactor correct declared sizes. They are at least 1.
	coresFactor  float64
	memoryFactor float64
	outcomes     outcomeHistory
}

func (t *team) queueStats(queue string) *queueStats {
	s, ok := t.statsByQueue[queue]
	if !ok {
		s = &queueStats{queue: queue, coresFactor: 1, memoryFactor: 1}
		t.statsByQueue[queue] = s
	}
	return s
}

// recordSample adds the run time and peak usage of a finished task to the
// statistics of its queue.
func (e *engine) recordSample(tk *task, now time.Duration) {
	s := tk.stats
	s.runTimes.add(float64(now-tk.Started) / float64(runTimeUnit))
	if tk.peakUsage != (Resources{}) {
		s.cores.add(fraction(tk.peakUsage.MilliCores, tk.Size.MilliCores) / ratioUnit)
		s.memory.add(fraction(tk.peakUsage.MemoryMB, tk.Size.MemoryMB) / ratioUnit)
	}
	s.samples++
	if s.samples%samplesPerUpdate == 0 && s.updateEstimates() {
		e.updateQueueShapes(tk.team, s.queue)
	}
}

// updateEstimates recomputes the estimates and reports whether one that affects
// placement of waiting work has changed.
func (s *queueStats) updateEstimates() bool {
	before := *s
	s.typicalRunTime = time.Duration(s.runTimes.quantile(typicalQuantile) * float64(runTimeUnit))
	s.conservativeRunTime = time.Duration(s.runTimes.quantile(conservativeQuantile) * float64(runTimeUnit))
	s.coresFactor = max(1, s.cores.quantile(conservativeQuantile)*ratioUnit)
	s.memoryFactor = max(1, s.memory.quantile(conservativeQuantile)*ratioUnit)
	return s.conservativeRunTime != before.conservativeRunTime || s.coresFactor != before.coresFactor || s.memoryFactor != before.memoryFactor
}

func (e *engine) updateQueueShapes(t *team, queue string) {
	for c := range t.queues {
		for _, b := range t.queues[c].buckets {
			if b.key.queue == queue || b.mixed {
				e.updateShape(b)
			}
		}
	}
}

// conservativeRunTime returns a run time that most tasks of the item do not
// exceed, 0 if unknown.
func (e *engine) conservativeRunTime(t *team, it *workItem) time.Duration {
	return max(it.RunTime, t.queueStats(it.Queue).conservativeRunTime)
}

// effectiveSize returns what a task of the item is charged: the declared size,
// corrected upward by the observed usage of its queue, or the declared size
// itself if the corrected one would never fit.
func (e *engine) effectiveSize(t *team, it *workItem) Resources {
	s := t.queueStats(it.Queue)
	if s.coresFactor == 1 && s.memoryFactor == 1 {
		return it.Size
	}
	size := it.Size
	size.MilliCores = int64(math.Ceil(float64(size.MilliCores) * s.coresFactor))
	size.MemoryMB = int64(math.Ceil(float64(size.MemoryMB) * s.memoryFactor))
	if !canHost(size, e.capacities(it.Runner), int64(max(1, it.gangSize()))) {
		return it.Size
	}
	return size
}
