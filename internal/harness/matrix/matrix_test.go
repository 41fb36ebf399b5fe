package matrix

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/harness"
)

// defaultSeed is the seed if BLUEBELLSTILE_SEED is not set.
const defaultSeed = 20261204

// defaultCells are the cells that run if BLUEBELLSTILE_MATRIX is not set.
var defaultCells = []Row{
	{Fault: None, Step: Started},
	{Fault: None, Step: HandingOver},
	{Fault: Kill, Step: Started},
	{Fault: PauseFault, Step: Queued},
	{Fault: LogDown, Step: Publishing},
	{Fault: AnswerLost, Step: Answering},
	{Fault: WorkerDeath, Step: Reserved},
	{Fault: CutZones, Step: Transferring},
}

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// TestMatrix runs the cells that BLUEBELLSTILE_MATRIX selects: defaultCells if it
// is empty, all cells if it is "all", otherwise a comma-separated list of
// "fault/step", "fault/" for all steps of a fault or "/step" for all faults at a
// step. At most BLUEBELLSTILE_PARALLEL cells run at the same time.
func TestMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	selected := selectCells(os.Getenv("BLUEBELLSTILE_MATRIX"))
	seed := envInt(t, "BLUEBELLSTILE_SEED", defaultSeed)
	semaphore := make(chan struct{}, envInt(t, "BLUEBELLSTILE_PARALLEL", 2))
	var mu sync.Mutex
	results := make(map[int][]Row)
	t.Run("cells", func(t *testing.T) {
		for i, cell := range selected {
			cell.Seed = seed
			cell.Test = "TestMatrix"
			cell.Commit = os.Getenv("BLUEBELLSTILE_COMMIT")
			results[i] = appendRecoveryRow(notRunRows(cell, "the cell was broken off"), cell, nil)
			t.Run(fileName(cell), func(t *testing.T) {
				t.Parallel()
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				rows := runAndReport(t, cell)
				mu.Lock()
				defer mu.Unlock()
				results[i] = rows
			})
		}
	})
	report(t, results)
}

// runAndReport runs one cell and fails the test for every violation, for a cell
// that did not recover and for objects that are not linearizable.
func runAndReport(t *testing.T, cell Row) []Row {
	rows, found := RunCell(t, cell)
	for _, v := range found {
		events, err := json.MarshalIndent(v.Events, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		t.Errorf("%s: %s\n%s", v.Promise, v.Detail, events)
	}
	for _, r := range rows {
		switch r.Promise {
		case PromiseRecovery:
			if r.Verdict != Passed {
				t.Errorf("%s: %s", r.Promise, r.Detail)
			}
		case ObjectTicket, ObjectFence, ObjectClaim:
			if r.Verdict == Failed {
				t.Errorf("%s: %s", r.Promise, r.Detail)
			}
		}
	}
	return rows
}

// selectCells returns the cells for a value of BLUEBELLSTILE_MATRIX.
func selectCells(choice string) []Row {
	if choice == "" {
		return defaultCells
	}
	wanted := map[string]bool{}
	for _, name := range strings.Split(choice, ",") {
		wanted[name] = true
	}
	var out []Row
	for _, f := range Faults {
		for _, s := range Steps {
			name := string(f) + "/" + string(s)
			if choice == "all" || wanted[name] || wanted[string(f)+"/"] || wanted["/"+string(s)] {
				out = append(out, Row{Fault: f, Step: s})
			}
		}
	}
	return out
}

// report prints the rows and, if BLUEBELLSTILE_ROWS is set, merges them into that
// file.
func report(t *testing.T, results map[int][]Row) {
	var rows []Row
	for i := range len(results) {
		rows = append(rows, results[i]...)
	}
	if err := Print(os.Stdout, rows); err != nil {
		t.Error(err)
	}
	if path := os.Getenv("BLUEBELLSTILE_ROWS"); path != "" {
		updateReport(t, path, rows)
	}
}

// updateReport merges the rows with those of earlier runs in the file at path and
// writes the page BLUEBELLSTILE_FAULTS_PAGE from all of them.
func updateReport(t *testing.T, path string, rows []Row) {
	earlier, err := readRows(path)
	if err != nil {
		t.Fatal(err)
	}
	all := mergeRows(earlier, rows)
	if err := writeRows(path, all); err != nil {
		t.Fatal(err)
	}
	page, err := os.Create(os.Getenv("BLUEBELLSTILE_FAULTS_PAGE"))
	if err != nil {
		t.Fatal(err)
	}
	if err := WriteReport(page, all); err != nil {
		t.Error(err)
	}
	if err := page.Close(); err != nil {
		t.Error(err)
	}
}

// envInt returns the positive integer in an environment variable, or fallback if
// it is empty.
func envInt(t *testing.T, name string, fallback int64) int64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 {
		t.Fatalf("%s=%q is not a positive whole number", name, text)
	}
	return n
}
