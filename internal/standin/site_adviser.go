package standin

import (
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"
)

// SiteAdviser is the service of the users' platform that knows which runners
// may run a step.
type SiteAdviser struct {
	faults *Faults
	link   *linkFaults
	// denied is how many runners in a hundred may not run a step.
	denied *atomic.Int64
	calls  atomic.Int64
	valid  time.Duration
}

// NewSiteAdviser returns an adviser whose tickets are good for valid.
func NewSiteAdviser(valid time.Duration) *SiteAdviser {
	a := &SiteAdviser{faults: newFaults(), valid: valid}
	a.link = newLinkFaults(a.faults)
	a.denied = a.faults.integer("denied", "how many runners in a hundred may not run a step", 0)
	return a
}

// Faults implements Service.
func (a *SiteAdviser) Faults() *Faults { return a.faults }

// Calls returns how often the adviser was asked.
func (a *SiteAdviser) Calls() int64 { return a.calls.Load() }

// Handler implements Service.
func (a *SiteAdviser) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", a.advise)
	return a.link.wrap(mux)
}

func (a *SiteAdviser) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if status, err := readJSON(w, r, maxSiteCallBytes, &body); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	a.calls.Add(1)
	good := [][]string{}
	for _, id := range body.Workers {
		h := fnv.New32a()
		_, _ = h.Write([]byte(body.Step + id))
		if int64(h.Sum32()%100) >= a.denied.Load() {
			good = append(good, []string{id, "ticket-" + id})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": a.valid.Milliseconds()})
}
