package record

// kindNames are the names used in metrics and logs.
var kindNames = map[Kind]string{
	KindConfig:   "config",
	KindClaim:    "claim",
	KindRoster:   "roster",
	KindTransfer: "transfer",
	KindJobs:     "jobs",
	KindOutcomes: "outcomes",
	KindSnapshot: "snapshot",
	KindAudit:    "audit",
	KindReport:   "report",
	KindProbe:    "probe",
}

// String returns the name of k, "unknown" if it has none.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}
