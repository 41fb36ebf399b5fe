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
	// cellTimeout bounds the run of one cell of the matrix.
	cellTimeout = 100 * time.Second
	// recoveryTimeout bounds the time from the end of the fault until every
	// daemon serves again, and the time from then until every accepted job
	// is in a final state.
	recoveryTimeout = 30 * time.Second
	// warmUpDuration is the time between the start of the load and the step.
	warmUpDuration = 500 * time.Millisecond
)

// PromiseRecovery names the row that reports whether all daemons of a cell serve
// again after the fault has ended. It is not a promise of package history, but
// the other rows of a cell are meaningful only if it passes.
const PromiseRecovery = "recovery"

// RunCell runs one cell of the matrix and returns its rows and all violations.
func RunCell(t testing.TB, cell Row) ([]Row, []history.Violation) {
	ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
	defer cancel()
	opts := harness.DefaultOptions()
	opts.Dir = os.Getenv("BLUEBELLSTILE_MATRIX_DIR")
	if opts.Dir != "" {
		opts.Dir = filepath.Join(opts.Dir, fileName(cell))
	}
	tc, err := newTestCell(ctx, t, cell.Seed, opts)
	if err != nil {
		return appendRecoveryRow(notRunRows(cell, "not reached: "+err.Error()), cell, err), nil
	}
	tc.startLoad()
	harness.Sleep(ctx, warmUpDuration)
	if err := tc.injectAtStep(cell); err != nil {
		tc.endLoad()
		return appendRecoveryRow(notRunRows(cell, "not reached: "+err.Error()), cell, nil), nil
	}
	recovery := tc.awaitServing(recoveryTimeout)
	tc.endLoad()
	tc.awaitJobs(harness.WithTimeout(ctx, recoveryTimeout))
	events, err := tc.History()
	if err != nil {
		return appendRecoveryRow(notRunRows(cell, err.Error()), cell, err), nil
	}
	writeHistory(opts.Dir, events)
	log, err := tc.Records(ctx)
	if err != nil {
		return appendRecoveryRow(notRunRows(cell, err.Error()), cell, err), nil
	}
	writeLogRecords(opts.Dir, log)
	rows, found := checkPromises(cell, events, checkOptions(recovery == nil))
	rows = append(rows, checkObjects(cell, events, log)...)
	return appendRecoveryRow(rows, cell, recovery), found
}

// injectAtStep withdraws a key, brings the cell to the step, injects the fault for
// faultDuration, heals it and ends the step. The step Publishing withdraws the
// key itself.
func (tc *testCell) injectAtStep(cell Row) error {
	if cell.Step != Publishing {
		tc.publishInBackground(withdrawOldKey)
	}
	cleanup, err := reachFuncs[cell.Step](tc)
	if err != nil {
		return err
	}
	heal, err := injectFuncs[cell.Fault](tc)
	if err != nil {
		return err
	}
	harness.Sleep(tc.ctx, faultDuration)
	if err := heal(); err != nil {
		return err
	}
	return cleanup()
}

// appendRecoveryRow appends the row on recovery: Failed if err is set, NotRun if
// the first row is NotRun with a reason, otherwise Passed.
func appendRecoveryRow(rows []Row, cell Row, err error) []Row {
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

// writeHistory writes the merged history to the directory of a cell, unless dir is
// empty.
func writeHistory(dir string, events []history.Event) {
	writeLines(dir, "merged.history", events)
}

// decodedRecord is a record of the platform's log in decoded form.
type decodedRecord struct {
	Offset uint64           `json:"offset"`
	ID     string           `json:"id"`
	Record *record.Envelope `json:"record"`
}

// writeLogRecords writes the decoded log of the platform to the directory of a
// cell, unless dir is empty.
func writeLogRecords(dir string, records []loglist.Record) {
	var out []decodedRecord
	for _, r := range records {
		e, _ := record.Decode(r.Data)
		out = append(out, decodedRecord{r.Offset, r.ID, e})
	}
	writeLines(dir, "platform.log", out)
}

// writeLines writes a list as JSON lines to a file, unless dir is empty. It ignores
// errors because the files serve only for diagnosis.
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
