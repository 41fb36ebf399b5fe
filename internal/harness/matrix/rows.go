package matrix

import (
	"bufio"
	"cmp"
	"encoding/json"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// rowID identifies the same row in different runs.
type rowID struct {
	fault   Fault
	step    Step
	promise string
}

func (r Row) id() rowID { return rowID{r.Fault, r.Step, r.Promise} }

// mergeRows replaces earlier rows by those of a later run with the same id and
// returns all rows in the order of the report.
func mergeRows(earlier, later []Row) []Row {
	byID := map[rowID]Row{}
	for _, r := range slices.Concat(earlier, later) {
		byID[r.id()] = r
	}
	out := make([]Row, 0, len(byID))
	for _, r := range byID {
		out = append(out, r)
	}
	order := promiseNames()
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(slices.Index(Faults, a.Fault), slices.Index(Faults, b.Fault)),
			cmp.Compare(slices.Index(Steps, a.Step), slices.Index(Steps, b.Step)),
			cmp.Compare(slices.Index(order, a.Promise), slices.Index(order, b.Promise)),
		)
	})
	return out
}

// readRows reads the rows of earlier runs from a file of JSON lines. It returns
// no rows if the file doesn't exist.
func readRows(path string) ([]Row, error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read rows")
	}
	defer func() { _ = file.Close() }()
	var out []Row
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var r Row
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, errors.Wrap(err, "read rows")
		}
		out = append(out, r)
	}
	return out, nil
}

// writeRows replaces a file by the rows as JSON lines.
func writeRows(path string, rows []Row) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write rows")
	}
	defer func() { _ = file.Close() }()
	out := json.NewEncoder(file)
	for _, r := range rows {
		if err := out.Encode(r); err != nil {
			return errors.Wrap(err, "write rows")
		}
	}
	return nil
}
