package standin

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"maps"
	"math/big"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

// command is a program that an endpoint runs on a task's input.
type command struct {
	run func(input []byte) ([]byte, error)
	// duration returns the run time that the input asks for; nil means none.
	duration func(input []byte) (time.Duration, error)
}

// commands are the programs that every endpoint has, by name.
var commands = map[string]command{
	"echo":  {run: echo},
	"sum":   {run: sum},
	"sleep": {run: slept, duration: sleepDuration},
	"cost":  {run: costLots},
	"sort":  {run: sortLots},
	"fail":  {run: fail},
}

func echo(input []byte) ([]byte, error) { return input, nil }

func sum(input []byte) ([]byte, error) { return []byte(history.Sum(input)), nil }

func fail([]byte) ([]byte, error) { return nil, errors.New("command fails always") }

func sleepDuration(input []byte) (time.Duration, error) {
	d, err := time.ParseDuration(string(bytes.TrimSpace(input)))
	return d, errors.Wrap(err, "sleep")
}

func slept(input []byte) ([]byte, error) {
	return append([]byte("slept "), bytes.TrimSpace(input)...), nil
}

// Columns of the input of "cost".
const (
	costPigment = iota
	costGrams
	costPricePerKg
	costColumns
)

// gramsPerKg converts prices per kilogram.
const gramsPerKg = 1000

// costLots prices lots of pigment. The input has lines of
// pigment,grams,price_per_kg and perhaps a header; the output has
// pigment,grams,cost for each lot and a last line "total". Costs are exact
// and rounded to two decimals.
func costLots(input []byte) ([]byte, error) {
	rows, err := readCSV(input, costColumns, "pigment")
	if err != nil {
		return nil, err
	}
	out := make([][]string, 0, len(rows)+1)
	totalGrams, totalCost := new(big.Rat), new(big.Rat)
	for i, row := range rows {
		grams, err := parseAmount(row[costGrams])
		if err != nil {
			return nil, errors.Wrapf(err, "lot %d grams", i+1)
		}
		price, err := parseAmount(row[costPricePerKg])
		if err != nil {
			return nil, errors.Wrapf(err, "lot %d price_per_kg", i+1)
		}
		cost := new(big.Rat).Mul(grams, price)
		cost.Quo(cost, big.NewRat(gramsPerKg, 1))
		totalGrams.Add(totalGrams, grams)
		totalCost.Add(totalCost, cost)
		out = append(out, []string{row[costPigment], row[costGrams], cost.FloatString(2)})
	}
	total := []string{"total", formatAmount(totalGrams), totalCost.FloatString(2)}
	return writeCSV(append(out, total))
}

// amountDecimals is the most decimals that an amount may have.
const amountDecimals = 6

// amountPattern bounds what parseAmount takes, so that no input is costly.
var amountPattern = regexp.MustCompile(`^[0-9]{1,15}(\.[0-9]{1,6})?$`)

// parseAmount parses a decimal number of 0 or more.
func parseAmount(text string) (*big.Rat, error) {
	if !amountPattern.MatchString(text) {
		return nil, errors.Errorf("%q is not a number of 0 or more with up to %d decimals", text, amountDecimals)
	}
	amount, ok := new(big.Rat).SetString(text)
	if !ok {
		return nil, errors.Errorf("%q is not a number", text)
	}
	return amount, nil
}

// formatAmount formats a sum of amounts without needless zeros.
func formatAmount(amount *big.Rat) string {
	text := strings.TrimRight(amount.FloatString(amountDecimals), "0")
	return strings.TrimSuffix(text, ".")
}

// Columns of the input of "sort".
const (
	sortClient = iota
	sortKind
	sortCount
	sortColumns
)

// linen is a group of pieces of one client and kind.
type linen struct{ client, kind string }

// sortLots groups soiled linen. The input has lines of client,kind,count and
// perhaps a header; the output has one such line for each client and kind, in
// that order, with the sum of the counts.
func sortLots(input []byte) ([]byte, error) {
	rows, err := readCSV(input, sortColumns, "client")
	if err != nil {
		return nil, err
	}
	totals := make(map[linen]int64)
	for i, row := range rows {
		count, err := strconv.ParseInt(row[sortCount], 10, 32)
		if err != nil || count < 0 {
			return nil, errors.Errorf("lot %d count %q is not a whole number of 0 or more", i+1, row[sortCount])
		}
		totals[linen{client: row[sortClient], kind: row[sortKind]}] += count
	}
	groups := slices.SortedFunc(maps.Keys(totals), func(a, b linen) int {
		return cmp.Or(cmp.Compare(a.client, b.client), cmp.Compare(a.kind, b.kind))
	})
	out := make([][]string, 0, len(groups))
	for _, group := range groups {
		out = append(out, []string{group.client, group.kind, strconv.FormatInt(totals[group], 10)})
	}
	return writeCSV(out)
}

// readCSV parses input into rows of a number of columns, without a header
// whose first column is named header.
func readCSV(input []byte, columns int, header string) ([][]string, error) {
	reader := csv.NewReader(bytes.NewReader(input))
	reader.FieldsPerRecord = columns
	reader.TrimLeadingSpace = true
	rows, err := reader.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read CSV")
	}
	if len(rows) > 0 && rows[0][0] == header {
		rows = rows[1:]
	}
	if len(rows) == 0 {
		return nil, errors.New("input has no lots")
	}
	return rows, nil
}

func writeCSV(rows [][]string) ([]byte, error) {
	var out bytes.Buffer
	writer := csv.NewWriter(&out)
	if err := writer.WriteAll(rows); err != nil {
		return nil, errors.Wrap(err, "write CSV")
	}
	return out.Bytes(), nil
}
