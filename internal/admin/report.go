package admin

import (
	"net/http"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/report"
	"github.com/uptrace/bunrouter"
)

// Formats of the report.
const (
	formatHTML = "html"
	formatJSON = "json"
)

// getReport answers with the service-level report as JSON, or as an HTML page if
// the query has format=html, or has no format and the client accepts HTML.
func (a *Admin) getReport(w http.ResponseWriter, r bunrouter.Request) error {
	if _, p := a.authenticate(r.Request, nil); p != nil {
		writeProblem(w, p)
		return nil
	}
	switch format := reportFormat(r.Request); format {
	case formatJSON:
		writeJSON(w, http.StatusOK, a.deps.Report())
	case formatHTML:
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		return report.WriteHTML(w, a.deps.Report())
	default:
		writeProblem(w, problem.Refuse(problem.BadRequest, "ask for format=json or format=html", "there is no format %q", format))
	}
	return nil
}

// reportFormat returns the format that the request asks for.
func reportFormat(r *http.Request) string {
	if format := r.URL.Query().Get("format"); format != "" {
		return format
	}
	if strings.Contains(r.Header.Get("Accept"), "text/html") {
		return formatHTML
	}
	return formatJSON
}
