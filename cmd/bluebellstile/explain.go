package main

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/explain"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

func newExplain(env *environment) *command {
	c := &command{
		env:       env,
		path:      "explain",
		synopsis:  "print the timeline of one job from the daemons' log lines",
		arguments: "ID [FILE ...]",
		details: "Reads log files, or standard input if none is named, and prints the lines about the job in causal order.\n" +
			"Other lines of the same time that may explain it are marked with a bar. What the lines don't tell is listed as gaps.",
		examples: []string{
			"bluebellstile explain cc4c63d6af57a56b front-1.log front-2.log",
			"cat *.log | bluebellstile explain cc4c63d6af57a56b",
		},
	}
	c.run = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return usageError("the id of a job is required")
		}
		id, ok := workload.ParseID(args[0])
		if !ok {
			return usageError("%q is not a job id; a job id has 16 hexadecimal digits", args[0])
		}
		timeline := explain.New(string(id))
		if err := readLogs(timeline, env.stdin, args[1:]); err != nil {
			return readOnlyError(err)
		}
		if err := timeline.Write(env.stdout); err != nil {
			return readOnlyError(err)
		}
		if timeline.Empty() {
			return &exitCodeError{code: exitError}
		}
		return nil
	}
	return c
}

// readLogs adds the lines of log files to a timeline, or those of stdin if there
// are no files.
func readLogs(timeline *explain.Timeline, stdin io.Reader, files []string) error {
	if len(files) == 0 {
		return timeline.Read(stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.WithStack(err)
		}
		err = timeline.Read(f)
		_ = f.Close()
		if err != nil {
			return errors.WithMessage(err, name)
		}
	}
	return nil
}
