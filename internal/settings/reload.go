package settings

// Reload returns a copy of s with the reloadable keys of next, and the full
// names of the other keys that differ, which need a restart of the daemon.
func (s *Settings) Reload(next *Settings) (*Settings, []string) {
	return cellSchema.reload(s, next)
}
