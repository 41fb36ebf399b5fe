package settings

// Reload returns a copy of s with the reloadable keys of next, and the names
// of other keys that differ and need a restart of the daemon.
func (s *Settings) Reload(next *Settings) (*Settings, []string) {
	out := *s
	var restart []string
	for i := range table {
		k := &table[i]
		value := k.format(next)
		if value == k.format(s) {
			continue
		}
		if !k.Reloadable {
			restart = append(restart, k.FullName())
			continue
		}
		if err := k.parse(&out, value); err != nil {
			restart = append(restart, k.FullName())
		}
	}
	return &out, restart
}
