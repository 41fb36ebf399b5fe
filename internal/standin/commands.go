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
	// duration returns the run time that the input requests; nil means no extra
	// run time.
	duration func(input []byte) (time.Duration, error)
}

// commands maps names to the programs that every endpoint offers.
var commands = map[string]command{
	"echo":  {run: echo},
	"sum":   {run: sum},
	"sleep": {run: sleepOutput, duration: sleepDuration},
	"cost":  {run: priceLots},
	"sort":  {run: groupLinen},
	"fail":  {run: fail},
}

func echo(input []byte) ([]byte, error) { return input, nil }

func sum(input []byte) ([]byte, error) { return []byte(history.Checksum(input)), nil }

func fail([]byte) ([]byte, error) { return nil, errors.New("command fails always") }

func sleepDuration(input []byte) (time.Duration, error) {
	d, err := time.ParseDuration(string(bytes.TrimSpace(input)))
	return d, errors.Wrap(err, "sleep")
}

func sleepOutput(input []byte) ([]byte, error) {
	return append([]byte("slept "), bytes.TrimSpace(input)...), nil
}

// Columns of the input of "cost".
const (
	costPigment = iota
	costGrams
	costPricePerKg
	costColumns
)

// gramsPerKg converts prices per kilogram to prices per gram.
const gramsPerKg = 1000

// priceLots computes the cost of lots of pigment. The input is CSV with the
// columns pigment,grams,price_per_kg and an optional header. The output has a
// line pigment,grams,cost for each lot and a last line "total". Costs are
// computed exactly and rounded to two decimals.
func priceLots(input []byte) ([]byte, error) {
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

// amountDecimals is the maximum number of decimals of an amount.
const amountDecimals = 6

// amountPattern limits the length of amounts and excludes exponents, so that no
// input makes the arithmetic expensive.
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

// formatAmount formats a sum of amounts without trailing zeros.
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

// linenGroup identifies the pieces of linen of the same client and kind.
type linenGroup struct{ client, kind string }

// groupLinen counts soiled linen per client and kind. The input is CSV with the
// columns client,kind,count and an optional header. The output has one line
// with the sum of the counts for each client and kind, sorted by both.
func groupLinen(input []byte) ([]byte, error) {
	rows, err := readCSV(input, sortColumns, "client")
	if err != nil {
		return nil, err
	}
	totals := make(map[linenGroup]int64)
	for i, row := range rows {
		count, err := strconv.ParseInt(row[sortCount], 10, 32)
		if err != nil || count < 0 {
			return nil, errors.Errorf("lot %d count %q is not a whole number of 0 or more", i+1, row[sortCount])
		}
		totals[linenGroup{client: row[sortClient], kind: row[sortKind]}] += count
	}
	groups := slices.SortedFunc(maps.Keys(totals), func(a, b linenGroup) int {
		return cmp.Or(cmp.Compare(a.client, b.client), cmp.Compare(a.kind, b.kind))
	})
	out := make([][]string, 0, len(groups))
	for _, group := range groups {
		out = append(out, []string{group.client, group.kind, strconv.FormatInt(totals[group], 10)})
	}
	return writeCSV(out)
}

// readCSV parses input into rows, each with the given number of columns. It
// drops the first row if its first column equals header.
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
