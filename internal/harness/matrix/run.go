package matrix

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/harness"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
)

const (
	// cellTimeout bounds one cell of the matrix.
	cellTimeout = 100 * time.Second
	// recoveryTimeout bounds the time from the end of the fault until every
	// daemon serves again and every accepted job has its outcome.
	recoveryTimeout = 30 * time.Second
	// warmUp is how long the load runs before the step is brought about.
	warmUp = 500 * time.Millisecond
)

// PromiseRecovery is the row on whether a cell serves again once a fault has
// ended. It is no promise of its own, but no other row counts without it.
const PromiseRecovery = "recovery"

// RunCell runs one cell and returns its rows and the violations found.
func RunCell(t testing.TB, cell Row) ([]Row, []history.Violation) {
	ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
	defer cancel()
	opts := harness.DefaultOptions()
	opts.Dir = os.Getenv("BLUEBELLSTILE_MATRIX_DIR")
	if opts.Dir != "" {
		opts.Dir = filepath.Join(opts.Dir, fileName(cell))
	}
	w, err := newWorld(ctx, t, cell.Seed, opts)
	if err != nil {
		return withRecovery(notRun(cell, "not reached: "+err.Error()), cell, err), nil
	}
	w.startLoad()
	harness.Pause(ctx, warmUp)
	if err := w.strikeAt(cell); err != nil {
		w.endLoad()
		return withRecovery(notRun(cell, "not reached: "+err.Error()), cell, nil), nil
	}
	recovery := w.awaitServing(recoveryTimeout)
	w.endLoad()
	w.awaitJobs(harness.Within(ctx, recoveryTimeout))
	events, err := w.History()
	if err != nil {
		return withRecovery(notRun(cell, err.Error()), cell, err), nil
	}
	keep(opts.Dir, events)
	log, err := w.Records(ctx)
	if err != nil {
		return withRecovery(notRun(cell, err.Error()), cell, err), nil
	}
	keepLog(opts.Dir, log)
	rows, found := judge(cell, events, checkOptions(recovery == nil))
	rows = append(rows, judgeObjects(cell, events, log)...)
	return withRecovery(rows, cell, recovery), found
}

// strikeAt withdraws a key, brings the step about, strikes, holds and heals.
func (w *world) strikeAt(cell Row) error {
	if cell.Step != Publishing {
		w.publish(withdrawOld)
	}
	release, err := steps[cell.Step](w)
	if err != nil {
		return err
	}
	heal, err := strikes[cell.Fault](w)
	if err != nil {
		return err
	}
	harness.Pause(w.ctx, hold)
	if err := heal(); err != nil {
		return err
	}
	return release()
}

// withRecovery adds the row on recovery.
func withRecovery(rows []Row, cell Row, err error) []Row {
	row := cell
	row.Promise = PromiseRecovery
	row.Verdict = Passed
	switch {
	case err != nil:
		row.Verdict = Failed
		row.Detail = err.Error()
	case len(rows) > 0 && rows[0].Verdict == NotRun && rows[0].Detail != "":
		row.Verdict = NotRun
		row.Detail = rows[0].Detail
	}
	return append(rows, row)
}

// keep writes the merged history beside the logs of a cell, if there is a
// folder for it.
func keep(dir string, events []history.Event) {
	writeLines(dir, "merged.history", events)
}

// keptRecord is a record of the platform's log in readable form.
type keptRecord struct {
	Offset uint64           `json:"offset"`
	ID     string           `json:"id"`
	Record *record.Envelope `json:"record"`
}

// keepLog writes the platform's log beside the logs of a cell.
func keepLog(dir string, records []loglist.Record) {
	var out []keptRecord
	for _, r := range records {
		e, _ := record.Decode(r.Data)
		out = append(out, keptRecord{r.Offset, r.ID, e})
	}
	writeLines(dir, "platform.log", out)
}

// writeLines writes a list as JSON lines, if there is a folder for it.
func writeLines[T any](dir, name string, list []T) {
	if dir == "" {
		return
	}
	file, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	out := json.NewEncoder(file)
	for _, e := range list {
		_ = out.Encode(e)
	}
}
