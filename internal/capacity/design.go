package capacity

import "time"

// The size to design for.
const (
	designWorkers       = 4900
	designZones         = 19
	designTeams         = 220
	designDaemonsAZone  = 4
	designJobsADay      = 36000
	designStartsASecond = 2800
	designConfigADay    = 9400
)

// Budgets.
const (
	budgetCPUPercent = 3.6
	budgetMB         = 128
	budgetBytes      = 15000
	budgetAppends    = 300
	budgetConfig     = 8 * time.Second
	budgetStart      = 3300 * time.Millisecond
)

// designWorkersAZone is the mean number of endpoints of a zone.
const designWorkersAZone = designWorkers / float64(designZones)

// designStartsAZone is the mean share of a zone in the peak of starts.
const designStartsAZone = designStartsASecond / float64(designZones)

// retainedSeconds is how long a holder remembers an answered request.
const retainedSeconds = 180

// designJobsAtPeak is the rate of jobs if every start of the peak were a task
// of a job.
const designJobsAtPeak = designStartsASecond / float64(tasksPerJob)

// secondsADay converts daily counts.
const secondsADay = 24 * 60 * 60

// designDaemons is the number of daemons.
const designDaemons = designZones * designDaemonsAZone

// What the service-level report takes at the size to design for, from the
// benchmarks of package report (docs/design/report.md).
const (
	reportCPUPercent = 0.17
	reportMB         = 20.4
	reportBytes      = 1300
)
