package standin

import (
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"
)

// SiteAdviser is a stand-in for the service of the users' platform that tells
// which runners are eligible for a step, and issues a ticket for each of them.
type SiteAdviser struct {
	faults *Faults
	link   *linkFaults
	// denied is the percentage of runners that are not eligible for a step.
	denied         *atomic.Int64
	calls          atomic.Int64
	ticketValidity time.Duration
}

// NewSiteAdviser returns an adviser whose tickets are valid for a duration.
func NewSiteAdviser(valid time.Duration) *SiteAdviser {
	a := &SiteAdviser{faults: newFaults(), ticketValidity: valid}
	a.link = newLinkFaults(a.faults)
	a.denied = a.faults.addInt("denied", "percentage of runners that may not run a step", 0)
	return a
}

// Faults implements Service.
func (a *SiteAdviser) Faults() *Faults { return a.faults }

// Calls returns the number of requests that the adviser has received.
func (a *SiteAdviser) Calls() int64 { return a.calls.Load() }

// Handler implements Service.
func (a *SiteAdviser) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", a.advise)
	return a.link.wrap(mux)
}

// advise responds with the eligible runners among those that the request names.
// The choice is a hash of the step and the runner, so that it is repeatable.
func (a *SiteAdviser) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if status, err := readJSON(w, r, maxSiteBodyBytes, &body); err != nil {
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
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": a.ticketValidity.Milliseconds()})
}
