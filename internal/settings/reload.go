package settings

// Reload returns a copy of s with the reloadable keys of next, and the names
// of other keys that differ and need a restart of the daemon.
func (s *Settings) Reload(next *Settings) (*Settings, []string) {
	return cell.reload(s, next)
}
