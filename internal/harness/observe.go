package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// observeTimeout bounds one request to an administration interface.
const observeTimeout = 2 * time.Second

// ObserveConfig reads the configuration that a daemon has in force from its
// administration interface, records it and returns its version. It returns 0
// and records nothing if the daemon did not return one. The event carries the
// time at which the request was sent.
func (c *Cell) ObserveConfig(ctx context.Context, id, operatorKey string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	asked := time.Now().UnixNano()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Daemons[id].admin+"/admin/v1/config", nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Version uint64 `json:"version"`
		Text    string `json:"text"`
		Stale   bool   `json:"stale"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&body) != nil {
		return 0
	}
	e := history.Event{
		UnixNano: asked, Kind: history.ConfigObserved, Source: harnessSource, Daemon: id,
		Version: body.Version, InputSum: history.Checksum([]byte(body.Text)),
	}
	if body.Stale {
		e.State = history.StateStale
	}
	c.Rec.Add(e)
	return body.Version
}
