package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// environment holds the standard streams and the environment variables that
// commands use, so that tests can replace them.
type environment struct {
	stdin  io.Reader
	stdout io.Writer
	// stderr is for messages and progress, so that stdout has only results.
	stderr io.Writer
	getenv func(string) string
}

func systemEnvironment() *environment {
	return &environment{
		stdin:  os.Stdin,
		stdout: os.Stdout,
		stderr: os.Stderr,
		getenv: os.Getenv,
	}
}

// messagef writes a formatted line to stderr.
func (e *environment) messagef(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stderr, format+"\n", args...)
}

// print writes a result to stdout.
func (e *environment) print(text string) error {
	_, err := io.WriteString(e.stdout, text)
	return errors.Wrap(err, "write the result")
}

// printJSON writes a result to stdout as indented JSON.
func (e *environment) printJSON(value any) error {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write the result")
}

// printTable writes a result to stdout as a table with aligned columns.
func (e *environment) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	writeRow(w, header)
	for _, row := range rows {
		writeRow(w, row)
	}
	return errors.Wrap(w.Flush(), "write the result")
}

func writeRow(w io.Writer, cells []string) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = io.WriteString(w, "\t")
		}
		_, _ = io.WriteString(w, cell)
	}
	_, _ = io.WriteString(w, "\n")
}

// readInput reads a file, or stdin if name is "-" or empty.
func (e *environment) readInput(name string) ([]byte, error) {
	if name == "" || name == "-" {
		data, err := io.ReadAll(e.stdin)
		return data, errors.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	return data, errors.WithStack(err)
}
