package client

import (
	"encoding/json"
	"net/http"
	"reflect"
	"testing"
)

const jobsOperation = "POST /v1/queues/costing/jobs"

func TestSubmitJobSendsEveryInput(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies(jobsOperation, replyProblem(queueFullProblem), replyJSON(202, jobResponse{Job: "j1"}))
	no := false
	request := JobRequest{
		Command:    "cost",
		Inputs:     [][]byte{[]byte("a"), {0, 255}},
		Gang:       true,
		Idempotent: &no,
		Size:       Size{MilliCores: 500, MemoryMB: 256, Accelerators: 1},
		RunTimeMS:  1000,
	}
	id, err := newClient(t, d.URL).SubmitJob(t.Context(), "costing", request)
	if err != nil || id != "j1" {
		t.Fatalf("got %q, %v", id, err)
	}
	var sent JobRequest
	if err := json.Unmarshal([]byte(d.bodies[jobsOperation][1]), &sent); err != nil {
		t.Fatal(err)
	}
	request.Ticket = "t2"
	if !reflect.DeepEqual(sent, request) {
		t.Errorf("sent %+v, want %+v", sent, request)
	}
}

func TestLostAcceptanceIsUnknownAndNotRepeated(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies(jobsOperation, breakConnection)
	_, err := newClient(t, d.URL).SubmitJob(t.Context(), "costing", JobRequest{})
	if e := findError(t, err, KindBroken, VerdictUnknown); e.Ticket != "t1" {
		t.Errorf("the error names ticket %q", e.Ticket)
	}
	if n := d.count(jobsOperation); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestJobsOfATeam(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies("GET /v1/jobs", replyJSON(200, []Job{{ID: "a"}, {ID: "b"}}))
	jobs, err := newClient(t, d.URL).Jobs(t.Context(), "press")
	if err != nil || len(jobs) != 2 {
		t.Errorf("got %v, %v", jobs, err)
	}
	if team := d.requests["GET /v1/jobs"][0].URL.Query().Get("team"); team != "press" {
		t.Errorf("asked for team %q", team)
	}
}

// streamStates replies with states of a job and then breaks the connection.
func streamStates(states ...Job) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := range states {
			_ = json.NewEncoder(w).Encode(states[i])
		}
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestWatchReopensBrokenStreams(t *testing.T) {
	d := newFakeDaemon(t)
	running := Job{ID: "j", State: "running", Tasks: []Task{{Index: 0, State: StateDone}, {Index: 1, State: "running"}}}
	done := Job{ID: "j", State: StateDone, Tasks: []Task{{Index: 0, State: StateDone}, {Index: 1, State: StateDone, Output: []byte("x")}}}
	d.setReplies("GET /v1/jobs/j/watch", streamStates(running), breakConnection, streamStates(running), streamStates(done))
	var shown []State
	last, err := newClient(t, d.URL).Watch(t.Context(), "j", func(j *Job) { shown = append(shown, j.State) })
	if err != nil || !reflect.DeepEqual(*last, done) {
		t.Fatalf("got %+v, %v", last, err)
	}
	if !reflect.DeepEqual(shown, []State{"running", "running", StateDone}) {
		t.Errorf("shown %v", shown)
	}
}

func TestWatchOfAnUnknownJobFails(t *testing.T) {
	d := newFakeDaemon(t)
	d.setReplies("GET /v1/jobs/j/watch", replyProblem(problemDocument{Status: 404, Verdict: "not run"}))
	_, err := newClient(t, d.URL).Watch(t.Context(), "j", func(*Job) {})
	requireError(t, err, KindNotFound, VerdictNotRun)
}
