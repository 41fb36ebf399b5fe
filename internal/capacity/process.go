package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// ticksPerSecond is the rate of the clock ticks in which /proc counts
	// processor time.
	ticksPerSecond = 100
	// readTimeout bounds one request for a daemon's metrics.
	readTimeout = 5 * time.Second
	// bytesPerKB converts the sizes in /proc.
	bytesPerKB = 1024
)

// process is one daemon of a cell, run as a process of its own.
type process struct {
	id, zone, region string
	api, peer, admin string
	cmd              *exec.Cmd
	done             chan struct{}

	mu sync.Mutex
	// inForce maps configuration versions to the time at which the daemon
	// logged that they are in force.
	inForce map[uint64]time.Time
}

// start starts the daemon's program and copies its log lines to errorLog.
func (p *process) start(command []string, errorLog io.Writer) error {
	p.cmd = exec.Command(command[0], command[1:]...)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return errors.Wrap(err, "open the daemon's log")
	}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "start the daemon; build it with make build")
	}
	p.done = make(chan struct{})
	p.inForce = make(map[uint64]time.Time)
	go p.readLog(stderr, errorLog)
	return nil
}

// readLog records the configuration versions in the daemon's log, copies the log
// to errorLog and, at its end, waits for the process to exit.
func (p *process) readLog(stderr io.Reader, errorLog io.Writer) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.recordConfigInForce(lines.Text(), time.Now())
		_, _ = fmt.Fprintln(errorLog, lines.Text())
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// recordConfigInForce records the version if the line logs that a configuration
// is in force, and ignores other lines.
func (p *process) recordConfigInForce(line string, at time.Time) {
	if !strings.Contains(line, `msg="configuration in force"`) {
		return
	}
	_, text, _ := strings.Cut(line, " version=")
	version, err := strconv.ParseUint(strings.Fields(text + " ")[0], 10, 64)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inForce[version] = at
}

// inForceAt returns when the daemon logged that a version is in force, and false
// if it has not logged it.
func (p *process) inForceAt(version uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.inForce[version]
	return at, ok
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// cpu returns the processor time that the process has used, in seconds.
func (p *process) cpu() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return parseCPU(string(data))
}

// parseCPU returns the sum of user and system time, in seconds, of the text of
// /proc/PID/stat.
func parseCPU(stat string) (float64, error) {
	const user, system = 11, 12 // Fields after the command's name, which may contain spaces.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0, errors.New("/proc/PID/stat is too short")
	}
	total := 0.0
	for _, i := range []int{user, system} {
		n, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return 0, errors.Wrap(err, "read processor time")
		}
		total += n
	}
	return total / ticksPerSecond, nil
}

// rss returns the resident memory of the process in bytes.
func (p *process) rss() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	return parseRSS(string(data))
}

// parseRSS returns the resident memory, in bytes, of the text of
// /proc/PID/status.
func parseRSS(status string) (float64, error) {
	for _, l := range strings.Split(status, "\n") {
		if text, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(text)[0], 64)
			return kb * bytesPerKB, errors.Wrap(err, "read memory")
		}
	}
	return 0, errors.New("/proc/PID/status has no VmRSS")
}

// vars reads the daemon's metrics; nested metrics are named "group.label".
func (p *process) vars() (map[string]float64, error) {
	client := http.Client{Timeout: readTimeout}
	resp, err := client.Get("http://" + p.admin + "/debug/vars")
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	var all map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	out := make(map[string]float64)
	flatten("", all, out)
	return out, nil
}

// flatten copies the numbers of nested objects into out and joins the names of
// their levels with dots.
func flatten(prefix string, in map[string]any, out map[string]float64) {
	for name, v := range in {
		switch v := v.(type) {
		case float64:
			out[prefix+name] = v
		case map[string]any:
			flatten(prefix+name+".", v, out)
		}
	}
}
