package intake

// Parts of the limits that make a crowd, and that say that it has gone.
const (
	crowdedPart = 2
	calmPart    = 8
)

// Relief tells when memory is to be given back to the machine: once after each
// crowd. The load: a crowd that has gone, whose memory the runtime would keep
// for minutes.
type Relief struct{ crowded bool }

// Due notes what is held and reports whether a crowd has gone since.
func (r *Relief) Due(l Limits, bytes int64, connections int) bool {
	if bytes >= l.Bytes/crowdedPart || connections >= l.Connections/crowdedPart {
		r.crowded = true
		return false
	}
	if !r.crowded || bytes > l.Bytes/calmPart || connections > l.Connections/calmPart {
		return false
	}
	r.crowded = false
	return true
}
