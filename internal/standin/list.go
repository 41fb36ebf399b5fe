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
	// maxListBytes limits the body of a request that replaces the list.
	maxListBytes = 16 << 20
	// maxVersions limits the versions of the list that are kept.
	maxVersions = 256
)

// List is a list of instances whose answers lag behind the true list.
type List struct {
	faults *Faults
	link   *linkFaults
	lag    *durationSwitch
	now    func() time.Time

	mu sync.Mutex
	// versions holds the last maxVersions versions, oldest first.
	versions []listVersion
	wrong    []loglist.Instance
	hidden   []string
}

// listVersion holds the instances of the list from the time since on.
type listVersion struct {
	since     time.Time
	instances []loglist.Instance
}

// NewList returns a list that holds instances from the start and shows later
// changes after lag.
func NewList(instances []loglist.Instance, lag time.Duration) *List {
	l := &List{faults: newFaults(), now: time.Now}
	l.link = newLinkFaults(l.faults)
	l.lag = l.faults.addDuration("lag", "answer what was true this long ago", lag)
	l.versions = []listVersion{{instances: instances}}
	l.faults.add("wrong", &faultSwitch{
		usage: "instances that are shown in place of, or beside, the true ones; a list of instances",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, l.setWrong) },
		get:   func() any { return l.wrongEntries() },
		clear: func() { l.setWrong(nil) },
	})
	l.faults.add("hide", &faultSwitch{
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

// Instances returns the list as of lag ago, with the switches "wrong" and
// "hide" applied.
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

// versionLocked returns the version that was current at a time.
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

// maskedLocked reports whether a switch hides or replaces a true entry.
func (l *List) maskedLocked(id string) bool {
	replaced := slices.ContainsFunc(l.wrong, func(i loglist.Instance) bool { return i.ID == id })
	return replaced || slices.Contains(l.hidden, id)
}

// Handler returns the handler of the list's HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+loglist.PathInstances, l.serveList)
	return l.link.wrap(mux)
}

// serveList responds with the filtered list, or with status 304 if the client's
// entity tag still matches.
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

// entityTag returns an entity tag that is a hash of the list's contents.
func entityTag(instances []loglist.Instance) string {
	h := xxhash.New()
	for _, i := range instances {
		_, _ = fmt.Fprintf(h, "%q\n", i)
	}
	return fmt.Sprintf(`"%x"`, h.Sum64())
}

// PathTrueInstances is the path on the admin address that replaces the true
// list by PUT of a JSON list of instances.
const PathTrueInstances = "/instances"

// AdminHandler returns the handler of PathTrueInstances.
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
