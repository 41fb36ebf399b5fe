package metrics

import (
	"expvar"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/METRICS.md")

const (
	metricsPage    = "../../docs/METRICS.md"
	operationsPage = "../../docs/OPERATIONS.md"
)

// render returns the page of all metrics.
func render() string {
	var b strings.Builder
	b.WriteString("# Metrics of bluebellstiled\n\n")
	b.WriteString("<!-- Generated from internal/metrics by: go test ./internal/metrics -update -->\n\n")
	b.WriteString("Every daemon serves these by expvar as JSON at `GET /debug/vars` of its admin address. Totals count from the\n")
	b.WriteString("start of the process. A metric of type map has one value per label.\n\n")
	b.WriteString("| metric | type | meaning |\n| --- | --- | --- |\n")
	for _, d := range Descriptions() {
		kind := "integer"
		if _, ok := expvar.Get(d.Name).(*expvar.Map); ok {
			kind = "map"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", d.Name, kind, d.Help)
	}
	return b.String()
}

func TestPageIsUpToDate(t *testing.T) {
	if *update {
		if err := os.WriteFile(metricsPage, []byte(render()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if read(t, metricsPage) != render() {
		t.Error("docs/METRICS.md is out of date; run: go test ./internal/metrics -update")
	}
}

// TestOperationsPageNamesExist requires that each name with an underscore on the
// operators' page is a metric, a problem code, a setting or a key of the
// configuration.
func TestOperationsPageNamesExist(t *testing.T) {
	known := make(map[string]bool)
	for _, d := range Descriptions() {
		known[d.Name] = true
	}
	quoted := regexp.MustCompile(`"([a-z][a-z0-9]*(?:_[a-z0-9]+)+)"`)
	for _, path := range []string{"../problem/problem.go", "../settings/table.go", "../settings/site.go", "../../operator/fields.go", "../../operator/config.go"} {
		for _, m := range quoted.FindAllStringSubmatch(read(t, path), -1) {
			known[m[1]] = true
		}
	}
	code := regexp.MustCompile("`([^`\n]+)`")
	name := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`)
	checked := 0
	for _, m := range code.FindAllStringSubmatch(read(t, operationsPage), -1) {
		word := m[1][strings.LastIndexByte(m[1], '.')+1:]
		word = word[strings.LastIndexByte(word, ' ')+1:]
		if !name.MatchString(word) {
			continue
		}
		checked++
		if !known[word] {
			t.Errorf("docs/OPERATIONS.md names %q, which is no metric, problem code, setting or configuration key", m[1])
		}
	}
	if checked == 0 {
		t.Error("no name was found to check")
	}
}

// read returns the contents of a file of the repository.
func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
