package capacity

import "time"

// The size to design for.
const (
	designWorkers       = 4900
	designZones         = 19
	designRegions       = 5
	designTeams         = 220
	designDaemonsAZone  = 4
	designRunning       = 64000
	designJobsADay      = 36000
	designStartsASecond = 2800
	designConfigADay    = 9400
	designRestartsADay  = 1600
	designFailuresADay  = 80
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

// designDaemons is the number of daemons.
const designDaemons = designZones * designDaemonsAZone
