package capacity

import "time"

// Design size: the size of the cell for which the budgets must hold.
const (
	designWorkers             = 4900
	designZones               = 19
	designTeams               = 220
	designDaemonsPerZone      = 4
	designJobsPerDay          = 36000
	designStartsPerSecond     = 2800
	designConfigChangesPerDay = 9400
)

// Budgets. Processor time, memory and bytes are per daemon; appends are the sum
// over all zones.
const (
	budgetCPUPercent       = 3.6
	budgetMemoryMB         = 128
	budgetBytesPerSecond   = 15000
	budgetAppendsPerSecond = 300
	budgetConfigDelay      = 8 * time.Second
	budgetStartDelay       = 3300 * time.Millisecond
)

// designWorkersPerZone is the mean number of workers per zone.
const designWorkersPerZone = designWorkers / float64(designZones)

// designStartsPerZone is the mean share of one zone in the peak rate of task
// starts.
const designStartsPerZone = designStartsPerSecond / float64(designZones)

// requestRetentionSeconds is how long a holder remembers an answered request.
const requestRetentionSeconds = 180

// designPeakJobsPerSecond is the rate of jobs if every task start of the peak
// belonged to a job.
const designPeakJobsPerSecond = designStartsPerSecond / float64(tasksPerJob)

// secondsPerDay converts daily counts to rates.
const secondsPerDay = 24 * 60 * 60

// designDaemons is the number of daemons.
const designDaemons = designZones * designDaemonsPerZone

// Cost of the service-level report at the design size, from the benchmarks of
// package report (docs/design/report.md).
const (
	reportCPUPercent     = 0.17
	reportMemoryMB       = 20.4
	reportBytesPerSecond = 1300
)
