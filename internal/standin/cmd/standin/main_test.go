package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/endpoint"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
)

// runMainVariable is the environment variable that makes the test binary run as
// the command.
const runMainVariable = "STANDIN_TEST_RUN_MAIN"

// waitTimeout limits waits for a condition.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// process is a stand-in that runs as a child process.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	ready
}

func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(os.Args[0], args...)}
	p.cmd.Env = append(os.Environ(), runMainVariable+"=1")
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(line, &p.ready); err != nil {
		t.Fatal(err)
	}
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// stop ends the process by SIGTERM and requires exit status 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		p.t.Fatal(err)
	}
}

// admin sends a request to the admin address and requires status 200.
func (p *process) admin(method, path, body string) {
	p.t.Helper()
	req, err := http.NewRequest(method, "http://"+p.Admin+path, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		p.t.Fatalf("%s %s: status %d", method, path, resp.StatusCode)
	}
}

// eventually polls a condition until it holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition never held")
		}
	}
}

func TestLogProcess(t *testing.T) {
	p := start(t, "log", "-retention", "2")
	client := loglist.NewClient("http://"+p.Address, "")
	defer client.Close()
	for range 3 {
		if _, err := client.Append(context.Background(), "a", []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	page, err := client.Read(context.Background(), 0, 10, 0)
	if err != nil || page.First != 2 || len(page.Records) != 2 {
		t.Fatalf("page %+v, %v", page, err)
	}
	p.admin(http.MethodPost, "/fault", `{"name":"down","value":true}`)
	if _, err := client.Append(context.Background(), "a", nil); loglist.KindOf(err) != loglist.KindAppendUnknown {
		t.Fatalf("append to a log that is down: %v", err)
	}
	p.stop()
}

func TestListProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "instances.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`[{"id":"a","state":"live"}]`)
	p := start(t, "list", "-file", file, "-lag", "0s")
	client := loglist.NewClient("", "http://"+p.Address)
	defer client.Close()
	shows := func(id string) func() bool {
		return func() bool {
			list, err := client.Instances(context.Background(), loglist.Filter{})
			return err == nil && len(list.Instances) == 1 && list.Instances[0].ID == id
		}
	}
	eventually(t, shows("a"))
	write(`[{"id":"another","state":"leaving"}]`)
	eventually(t, shows("another"))
	p.admin(http.MethodPut, "/instances", `[{"id":"third"}]`)
	eventually(t, shows("third"))
	p.stop()
}

// TestEndpointPause stops the process by SIGSTOP until its lease has lapsed. A
// task whose run time ends during the stop must not end as done when the process
// continues: its end must be recorded as stopped, before the process continued.
func TestEndpointPause(t *testing.T) {
	const lease, runTime = 2 * time.Second, "1s"
	file := filepath.Join(t.TempDir(), "history.jsonl")
	p := start(t, "endpoint", "-id", "w1", "-kind", "worker", "-zone", "z", "-cores", "4", "-memory", "64", "-history", file)
	client := endpoint.NewClient(p.Address)
	ctx := context.Background()
	attached, err := client.Attach(ctx, &endpoint.AttachRequest{AvailabilityZone: "z", Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	heartbeat := &endpoint.HeartbeatRequest{Session: attached.Session, Epoch: 1, LeaseToken: attached.LeaseToken, LeaseMS: lease.Milliseconds()}
	if _, err := client.Heartbeat(ctx, heartbeat); err != nil {
		t.Fatal(err)
	}
	granted := time.Now()
	task := endpoint.TaskSpec{ID: "a", Job: "j", Size: endpoint.Resources{MilliCores: 1}, Command: "sleep", Input: []byte(runTime)}
	if _, err := client.Start(ctx, &endpoint.StartRequest{Session: attached.Session, Epoch: 1, Tasks: []endpoint.TaskSpec{task}}); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(granted.Add(lease)))
	resumed := time.Now().UnixNano()
	p.signal(syscall.SIGCONT)
	again, err := client.Attach(ctx, &endpoint.AttachRequest{AvailabilityZone: "z", Epoch: 1})
	if err != nil || len(again.Tasks) != 1 || again.Tasks[0].State != endpoint.TaskStopped {
		t.Fatalf("inventory %+v, %v", again, err)
	}
	p.stop()
	read, err := history.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	var kinds []string
	for _, event := range read {
		kinds = append(kinds, string(event.Kind))
	}
	if got := strings.Join(kinds, " "); got != "endpoint_up task_started task_ended endpoint_down" {
		t.Fatalf("history %s", got)
	}
	if ended := read[2]; ended.UnixNano > resumed || ended.Work != "j/0" {
		t.Fatalf("end %+v, process resumed at %d", ended, resumed)
	}
}

func TestEndpointProcessDies(t *testing.T) {
	p := start(t, "endpoint", "-id", "r1", "-kind", "runner", "-zone", "z", "-slots", "8")
	p.admin(http.MethodPost, "/fault", `{"name":"die","value":true}`)
	err := p.cmd.Wait()
	if p.cmd.ProcessState.ExitCode() != int(exitDied) {
		t.Fatalf("exit %v", err)
	}
}

func TestBadFlags(t *testing.T) {
	for _, args := range []string{
		"endpoint -kind worker -cores 1",
		"endpoint -id w -zone z -kind printer -cores 1",
		"endpoint -id w -zone z",
		"list -file /does/not/exist",
		"log -listen nowhere",
	} {
		cmd := exec.Command(os.Args[0], strings.Fields(args)...)
		cmd.Env = append(os.Environ(), runMainVariable+"=1")
		if out, err := cmd.CombinedOutput(); err == nil || !strings.HasPrefix(string(out), "standin:") {
			t.Errorf("standin %s: %s, %v", args, out, err)
		}
	}
}
