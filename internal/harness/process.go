package harness

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// readyTimeout bounds the start of a process.
const readyTimeout = 20 * time.Second

// Process is a child process that the harness started.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}

	mu   sync.Mutex
	gone bool
	// stopping is set once the process was asked to stop.
	stopping bool
}

// readyFunc finds the address in the line by which a process says that it is
// ready.
type readyFunc func(line string) (address string, ok bool)

// startProcess starts a program, appends its output to logPath and waits for
// its ready line.
func startProcess(name, path string, args []string, logPath string, ready readyFunc) (*Process, string, error) {
	address := make(chan string, 1)
	p, err := spawn(name, path, args, logPath, ready, address)
	if err != nil {
		return nil, "", err
	}
	select {
	case a := <-address:
		return p, a, nil
	case <-p.done:
		return nil, "", errors.Errorf("%s ended before it was ready; see %s", name, logPath)
	case <-time.After(readyTimeout):
		p.Kill()
		return nil, "", errors.Errorf("%s not ready in %s; see %s", name, readyTimeout, logPath)
	}
}

// launch starts a program without waiting for a ready line.
func launch(name, path string, args []string, logPath string) (*Process, error) {
	never := func(string) (string, bool) { return "", false }
	return spawn(name, path, args, logPath, never, make(chan string, 1))
}

// spawn starts a program and sends what its first ready line says.
func spawn(name, path string, args []string, logPath string, ready readyFunc, address chan<- string) (*Process, error) {
	out, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open process log")
	}
	cmd := exec.Command(path, args...)
	cmd.Stderr = out
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open stdout")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go p.follow(stdout, out, ready, address)
	return p, nil
}

// follow copies the output, reports the ready line and reaps the process.
func (p *Process) follow(stdout io.Reader, out *os.File, ready readyFunc, address chan<- string) {
	lines := bufio.NewScanner(stdout)
	lines.Buffer(nil, 1<<20)
	found := false
	for lines.Scan() {
		_, _ = out.WriteString(lines.Text() + "\n")
		if a, ok := ready(lines.Text()); ok && !found {
			found = true
			address <- a
		}
	}
	_ = p.cmd.Wait()
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	_ = out.Close()
	close(p.done)
}

// signal sends sig unless the process has been reaped; its id might be in
// use again by then.
func (p *Process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.gone {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process in its tracks.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop.
func (p *Process) Terminate() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
}

// alive reports whether the process runs and hasn't been asked to stop.
func (p *Process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.gone && !p.stopping
}

// Wait reports whether the process ended within limit.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}
