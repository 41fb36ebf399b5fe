package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the content type of problem documents (RFC 9457).
const ContentType = "application/problem+json"

// Document is the JSON form of a problem in the body of an HTTP response.
type Document struct {
	Type         string  `json:"type"`
	Title        string  `json:"title"`
	Status       int     `json:"status"`
	Code         Code    `json:"code"`
	Detail       string  `json:"detail"`
	Remedy       string  `json:"remedy"`
	Verdict      Verdict `json:"verdict"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	Ticket       string  `json:"ticket,omitempty"`
}

// Write answers an HTTP request with p and the given status. ticket may be
// empty.
func Write(w http.ResponseWriter, p *Problem, status int, ticket string) {
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((p.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Document{
		Type:         "urn:bluebellstile:problem:" + string(p.Code),
		Title:        http.StatusText(status),
		Status:       status,
		Code:         p.Code,
		Detail:       p.Detail,
		Remedy:       p.Remedy,
		Verdict:      p.Verdict,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
		Ticket:       ticket,
	})
}
