package api

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/router"
)

// FuzzJobBody checks that a job that passes validation has a size and run time
// that the scheduler can use, and that every refusal has a remedy.
func FuzzJobBody(f *testing.F) {
	for _, text := range []string{
		`{"command":"echo","inputs":["eA=="],"size":{"milli_cores":1,"memory_mb":1}}`,
		`{"command":"echo","inputs":["eA==",null],"size":{},"run_time_ms":1}`,
		`{"command":"echo","inputs":["eA=="],"size":{"milli_cores":-1}}`,
		`{"command":"echo","inputs":["eA=="],"size":{"milli_cores":1},"run_time_ms":9223372036854775807}`,
		`{"inputs":[]}`, `[]`, `{"size":null}`, `{`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var job jobBody
		if json.Unmarshal(text, &job) != nil {
			return
		}
		if p := job.validate(false); p != nil {
			if p.Verdict != problem.NotRun || p.Remedy == "" || p.Code != problem.BadRequest {
				t.Errorf("the refusal is %+v", p)
			}
			return
		}
		size := job.size(false)
		if size.MilliCores < 0 || size.MemoryMb < 0 || size.Accelerators < 0 || size.MilliCores+size.MemoryMb+size.Accelerators <= 0 {
			t.Errorf("a task of size %v passes", size)
		}
		if runTime := time.Duration(job.RunTimeMS) * time.Millisecond; runTime < 0 || runTime.Milliseconds() != job.RunTimeMS {
			t.Errorf("a run time of %d ms passes", job.RunTimeMS)
		}
		if job.Command == "" || len(job.Inputs) == 0 {
			t.Errorf("%+v passes", job)
		}
	})
}

// FuzzHeaders checks that accepted headers yield a positive deadline within the
// limit, a command, and the given ticket.
func FuzzHeaders(f *testing.F) {
	f.Add("true", "1s", "t1.a.1.1.n", "echo")
	f.Add("perhaps", "-1s", "x", "")
	f.Add("", "2562047h47m16.854775807s", "", "echo")
	f.Add("", "1e3ns", "", "echo")
	f.Fuzz(func(t *testing.T, idempotent, deadline, ticketText, command string) {
		a := &API{limits: Limits{RequestTimeout: time.Minute}}
		h := http.Header{}
		h.Set(HeaderIdempotent, idempotent)
		h.Set(HeaderDeadline, deadline)
		h.Set(HeaderTicket, ticketText)
		call := &router.Call{Command: command}
		p := a.readHeaders(call, h)
		switch {
		case p != nil && (p.Remedy == "" || p.Verdict == problem.Done):
			t.Errorf("the refusal is %+v", p)
		case p == nil && (call.Deadline <= 0 || call.Deadline > time.Minute || call.Command == ""):
			t.Errorf("the call is %+v", call)
		case p == nil && ticketText != "" && (call.Ticket == nil || call.Ticket.String() != ticketText):
			t.Errorf("ticket %q became %v", ticketText, call.Ticket)
		}
	})
}
