package report

// Counts holds the numbers of events of one team and queue over some time.
type Counts struct {
	// Started counts first starts of tasks, late or not.
	Started uint32
	// NeverStarted counts requests that the system refused before they ran.
	NeverStarted uint32
	// Answered counts answers of any verdict.
	Answered uint32
	// Lost counts tasks of accepted durable jobs whose outcome will never be
	// known.
	Lost uint32
	// LateBy counts by cause the starts that were not within the objective,
	// including requests that never started.
	LateBy [causeCount]uint32
	// FailedBy counts by cause the requests that got no complete answer.
	FailedBy [causeCount]uint32
}

// countFields is the number of counters that Counts.fields returns.
const countFields = 4 + 2*int(causeCount)

// fields returns pointers to all fields in the order in which they are recorded.
func (c *Counts) fields() [countFields]*uint32 {
	out := [countFields]*uint32{&c.Started, &c.NeverStarted, &c.Answered, &c.Lost}
	for i := range causeCount {
		out[4+int(i)] = &c.LateBy[i]
		out[4+int(causeCount)+int(i)] = &c.FailedBy[i]
	}
	return out
}

// Add adds the events of o.
func (c *Counts) Add(o *Counts) {
	from := o.fields()
	for i, field := range c.fields() {
		*field += *from[i]
	}
}

// Ratio is the number of bad events among all events of an indicator.
type Ratio struct {
	Bad   uint64 `json:"bad"`
	Total uint64 `json:"total"`
}

// add adds the events of o.
func (r *Ratio) add(o Ratio) {
	r.Bad += o.Bad
	r.Total += o.Total
}

// Start returns the indicator for starts within the objective:
//
//	total = first starts + requests that never started
//	bad   = late first starts + requests that never started
func (c *Counts) Start() Ratio {
	return Ratio{Bad: sumCauses(c.LateBy), Total: uint64(c.Started) + uint64(c.NeverStarted)}
}

// Answer returns the indicator for complete answers:
//
//	total = answers of any verdict
//	bad   = answers "not run" or "unknown" for which the system is responsible
func (c *Counts) Answer() Ratio {
	return Ratio{Bad: sumCauses(c.FailedBy), Total: uint64(c.Answered)}
}

// bad returns the number of bad events of all indicators.
func (c *Counts) bad() uint64 {
	return sumCauses(c.LateBy) + sumCauses(c.FailedBy) + uint64(c.Lost)
}

// total returns the number of events of all indicators.
func (c *Counts) total() uint64 {
	return uint64(c.Started) + uint64(c.NeverStarted) + uint64(c.Answered) + uint64(c.Lost)
}

// sumCauses adds up counts by cause.
func sumCauses(by [causeCount]uint32) uint64 {
	var n uint64
	for _, v := range by {
		n += uint64(v)
	}
	return n
}
