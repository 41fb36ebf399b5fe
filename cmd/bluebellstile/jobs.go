package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

func newStatus(env *environment) *command {
	conn := clientFlags{env: env}
	var team string
	c := &command{
		env:       env,
		path:      "status",
		synopsis:  "show a job and its tasks, or list jobs",
		arguments: "[JOB]",
		examples: []string{
			"bluebellstile status JOB",
			"bluebellstile status -team press -json",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.addForCallers(f)
		c.addJSONFlag(f)
		f.StringVar(&team, "team", "", "list only jobs of this team")
	}
	c.run = func(ctx context.Context, args []string) error {
		apiClient, err := conn.newClient()
		if err != nil {
			return err
		}
		if len(args) == 0 {
			return c.listJobs(ctx, apiClient, team)
		}
		id, err := singleArgument(args, "JOB")
		if err != nil {
			return err
		}
		job, err := apiClient.Job(ctx, id)
		if err != nil {
			return readOnlyError(err)
		}
		return c.printJob(job)
	}
	return c
}

func (c *command) listJobs(ctx context.Context, apiClient *client.Client, team string) error {
	jobs, err := apiClient.Jobs(ctx, team)
	if err != nil {
		return readOnlyError(err)
	}
	if c.json {
		return c.env.printJSON(append([]client.Job{}, jobs...))
	}
	rows := make([][]string, len(jobs))
	for i, j := range jobs {
		rows[i] = []string{j.ID, j.Team, j.Queue, string(j.State), strconv.Itoa(len(j.Tasks))}
	}
	return c.env.printTable([]string{"JOB", "TEAM", "QUEUE", "STATE", "TASKS"}, rows)
}

func (c *command) printJob(job *client.Job) error {
	if c.json {
		return c.env.printJSON(job)
	}
	rows := make([][]string, len(job.Tasks))
	for i, t := range job.Tasks {
		result := preview(t.Output)
		if t.Reason != "" {
			result = t.Reason
		}
		rows[i] = []string{strconv.Itoa(t.Index), string(t.State), orDash(t.Endpoint), orDash(result)}
	}
	return c.env.printTable([]string{"TASK", "STATE", "ENDPOINT", "RESULT"}, rows)
}

func newWatch(env *environment) *command {
	conn := clientFlags{env: env}
	var out string
	c := &command{
		env:       env,
		path:      "watch",
		synopsis:  "watch a job until it ends",
		arguments: "JOB",
		details:   "Ends with the same exit codes as run.",
		examples:  []string{"bluebellstile watch -out answers JOB"},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.addForCallers(f)
		c.addJSONFlag(f)
		f.StringVar(&out, "out", "", "write the output of each task to DIR/INDEX")
	}
	c.run = func(ctx context.Context, args []string) error {
		id, err := singleArgument(args, "JOB")
		if err != nil {
			return err
		}
		apiClient, err := conn.newClient()
		if err != nil {
			return err
		}
		return c.watchJob(ctx, apiClient, id, out)
	}
	return c
}

func newCancel(env *environment) *command {
	conn := clientFlags{env: env}
	var ticket string
	c := &command{
		env:       env,
		path:      "cancel",
		synopsis:  "cancel jobs, or a request that a caller is waiting for",
		arguments: "[JOB...]",
		details:   "Tasks that have finished keep their results; status shows them.",
		examples: []string{
			"bluebellstile cancel JOB",
			"bluebellstile cancel -ticket TICKET",
		},
	}
	c.flags = func(f *flag.FlagSet) {
		conn.addForCallers(f)
		c.addJSONFlag(f)
		f.StringVar(&ticket, "ticket", "", "cancel the request with this ticket")
	}
	c.run = func(ctx context.Context, args []string) error {
		if (ticket == "") == (len(args) == 0) {
			return usageError("either jobs or -ticket is required, and not both")
		}
		apiClient, err := conn.newClient()
		if err != nil {
			return err
		}
		if ticket != "" {
			return c.cancelAll(args, func(string) error { return apiClient.CancelRequest(ctx, ticket) }, ticket)
		}
		return c.cancelAll(args, func(id string) error { return apiClient.CancelJob(ctx, id) }, "")
	}
	return c
}

// cancelAll calls cancel with each of ids, or with ticket if it isn't empty. It
// continues after errors and returns the last one.
func (c *command) cancelAll(ids []string, cancel func(string) error, ticket string) error {
	if ticket != "" {
		ids = []string{ticket}
	}
	cancelled := []string{}
	var last error
	for _, id := range ids {
		if err := cancel(id); err != nil {
			c.env.messagef("%s: %v", id, err)
			last = err
			continue
		}
		cancelled = append(cancelled, id)
	}
	if last != nil {
		return last
	}
	if c.json {
		return c.env.printJSON(map[string][]string{"cancelled": cancelled})
	}
	for _, id := range cancelled {
		if err := c.env.print(id + " cancelled\n"); err != nil {
			return err
		}
	}
	return nil
}
