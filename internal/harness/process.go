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

// readyTimeout bounds the time until a started process is ready.
const readyTimeout = 20 * time.Second

// Process is a child process that the harness started.
type Process struct {
	Name string

	cmd  *exec.Cmd
	done chan struct{}

	mu     sync.Mutex
	reaped bool
	// stopping is set by Terminate.
	stopping bool
}

// readyFunc reports whether a line of output says that the process is ready, and
// returns the address in it.
type readyFunc func(line string) (address string, ok bool)

// startAndAwaitReady starts a program, appends its output to logPath and waits
// until it prints its ready line. It returns the address in that line. A process
// that isn't ready within readyTimeout is killed.
func startAndAwaitReady(name, path string, args []string, logPath string, ready readyFunc) (*Process, string, error) {
	address := make(chan string, 1)
	p, err := spawn(name, path, args, logPath, ready, address)
	if err != nil {
		return nil, "", err
	}
	select {
	case a := <-address:
		return p, a, nil
	case <-p.done:
		return nil, "", errors.Errorf("%s exited before it was ready; see %s", name, logPath)
	case <-time.After(readyTimeout):
		p.Kill()
		return nil, "", errors.Errorf("%s not ready in %s; see %s", name, readyTimeout, logPath)
	}
}

// startNoWait starts a program, appends its output to logPath and does not wait
// until it is ready.
func startNoWait(name, path string, args []string, logPath string) (*Process, error) {
	never := func(string) (string, bool) { return "", false }
	return spawn(name, path, args, logPath, never, make(chan string, 1))
}

// spawn starts a program, appends its output to logPath and sends the address in
// its first ready line to the channel.
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
	go p.supervise(stdout, out, ready, address)
	return p, nil
}

// supervise copies the output to the log file, sends the address in the ready
// line and waits for the process to exit.
func (p *Process) supervise(stdout io.Reader, out *os.File, ready readyFunc, address chan<- string) {
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
	p.reaped = true
	p.mu.Unlock()
	_ = out.Close()
	close(p.done)
}

// signal sends sig unless the process has been reaped: the operating system may
// have reused its process id by then.
func (p *Process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reaped {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful stop with SIGTERM.
func (p *Process) Terminate() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
}

// alive reports whether the process is running and Terminate wasn't called.
func (p *Process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.reaped && !p.stopping
}

// Wait waits up to limit for the process to exit and reports whether it did.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}
