package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxListBytes bounds the body of a new list.
	maxListBytes = 16 << 20
	// maxVersions bounds the past lists that are kept.
	maxVersions = 256
)

// List is a list of instances that answers what was true some time ago.
type List struct {
	faults *Faults
	link   *linkFaults
	lag    *durationSwitch
	now    func() time.Time

	mu sync.Mutex
	// versions are the last maxVersions in the order of time.
	versions []listVersion
	wrong    []loglist.Instance
	hidden   []string
}

// listVersion is the list from a moment on.
type listVersion struct {
	since     time.Time
	instances []loglist.Instance
}

// NewList returns a list that has held instances for ever and shows changes
// after lag.
func NewList(instances []loglist.Instance, lag time.Duration) *List {
	l := &List{faults: newFaults(), now: time.Now}
	l.link = newLinkFaults(l.faults)
	l.lag = l.faults.duration("lag", "answer what was true this long ago", lag)
	l.versions = []listVersion{{instances: instances}}
	l.faults.add("wrong", &fault{
		usage: "instances that are shown in place of, or beside, the true ones; a list of instances",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, l.setWrong) },
		get:   func() any { return l.wrongEntries() },
		clear: func() { l.setWrong(nil) },
	})
	l.faults.add("hide", &fault{
		usage: "ids of instances that are not shown; a list of strings",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, l.setHidden) },
		clear: func() { l.setHidden(nil) },
	})
	return l
}

// Faults returns the list's fault switches.
func (l *List) Faults() *Faults { return l.faults }

// Set replaces the true list.
func (l *List) Set(instances []loglist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listVersion{since: l.now(), instances: slices.Clone(instances)})
	if extra := len(l.versions) - maxVersions; extra > 0 {
		l.versions = slices.Delete(l.versions, 0, extra)
	}
}

func (l *List) setWrong(instances []loglist.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = instances
}

func (l *List) wrongEntries() []loglist.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.wrong)
}

func (l *List) setHidden(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hidden = ids
}

// Instances returns the lagging list with the wrong entries applied.
func (l *List) Instances() *loglist.InstanceList {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := l.now().Add(-l.lag.get())
	shown := make([]loglist.Instance, 0, len(l.wrong))
	for _, instance := range l.versionLocked(asOf).instances {
		if !l.maskedLocked(instance.ID) {
			shown = append(shown, instance)
		}
	}
	return &loglist.InstanceList{Instances: append(shown, l.wrong...), AsOf: asOf}
}

// versionLocked returns the version in force at a moment.
func (l *List) versionLocked(at time.Time) listVersion {
	current := l.versions[0]
	for _, version := range l.versions[1:] {
		if version.since.After(at) {
			break
		}
		current = version
	}
	return current
}

// maskedLocked reports whether a true entry is hidden or replaced.
func (l *List) maskedLocked(id string) bool {
	replaced := slices.ContainsFunc(l.wrong, func(i loglist.Instance) bool { return i.ID == id })
	return replaced || slices.Contains(l.hidden, id)
}

// Handler serves the list's interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+loglist.PathInstances, l.serveList)
	return l.link.wrap(mux)
}

// serveList answers the filtered list, or that it has not changed.
func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := loglist.Filter{
		Role:             loglist.Role(query.Get(loglist.ParamRole)),
		AvailabilityZone: query.Get(loglist.ParamAvailabilityZone),
	}
	list := l.Instances()
	list.Instances = slices.DeleteFunc(list.Instances, func(i loglist.Instance) bool { return !filter.Matches(i) })
	tag := entityTag(list.Instances)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// entityTag identifies the contents of a list.
func entityTag(instances []loglist.Instance) string {
	h := xxhash.New()
	for _, i := range instances {
		_, _ = fmt.Fprintf(h, "%q\n", i)
	}
	return fmt.Sprintf(`"%x"`, h.Sum64())
}

// PathTrueInstances takes PUT of a JSON list of instances on the admin address.
const PathTrueInstances = "/instances"

// AdminHandler serves PUT of the true list.
func (l *List) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathTrueInstances, func(w http.ResponseWriter, r *http.Request) {
		var instances []loglist.Instance
		if status, err := readJSON(w, r, maxListBytes, &instances); err != nil {
			http.Error(w, err.Error(), status)
			return
		}
		l.Set(instances)
		writeJSON(w, http.StatusOK, struct{}{})
	})
	return mux
}
