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
		synopsis:  "tell the story of one job from the daemons' log lines",
		arguments: "ID [FILE ...]",
		details: "Reads log files, or standard input if none is named, and prints what concerns the job in order of\n" +
			"cause, with what else happened meanwhile behind a bar. What the lines leave open is listed as gaps.",
		examples: []string{
			"bluebellstile explain cc4c63d6af57a56b front-1.log front-2.log",
			"cat *.log | bluebellstile explain cc4c63d6af57a56b",
		},
	}
	c.run = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return usageError("name the id of a job")
		}
		id, ok := workload.ParseID(args[0])
		if !ok {
			return usageError("%q is not a job id; it has 16 hexadecimal digits", args[0])
		}
		story := explain.New(string(id))
		if err := readLogs(story, env.stdin, args[1:]); err != nil {
			return readError(err)
		}
		if err := story.Write(env.stdout); err != nil {
			return readError(err)
		}
		if story.Empty() {
			return &codeError{code: exitError}
		}
		return nil
	}
	return c
}

// readLogs takes in files, or stdin if there are none.
func readLogs(story *explain.Timeline, stdin io.Reader, files []string) error {
	if len(files) == 0 {
		return story.Read(stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.WithStack(err)
		}
		err = story.Read(f)
		_ = f.Close()
		if err != nil {
			return errors.WithMessage(err, name)
		}
	}
	return nil
}
