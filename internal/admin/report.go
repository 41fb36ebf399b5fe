package admin

import (
	"net/http"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/report"
	"github.com/uptrace/bunrouter"
)

// Forms in which the report is asked for.
const (
	formatHTML = "html"
	formatJSON = "json"
)

// getReport answers the service-level report as JSON, or as a page if the
// query has format=html or, without a format, the client accepts HTML.
func (a *Admin) getReport(w http.ResponseWriter, r bunrouter.Request) error {
	if _, p := a.author(r.Request, nil); p != nil {
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

// reportFormat is the form that the request asks for.
func reportFormat(r *http.Request) string {
	if format := r.URL.Query().Get("format"); format != "" {
		return format
	}
	if strings.Contains(r.Header.Get("Accept"), "text/html") {
		return formatHTML
	}
	return formatJSON
}
