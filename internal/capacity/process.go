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
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	// readTimeout bounds one read of a daemon's metrics.
	readTimeout = 5 * time.Second
	// bytesPerKB converts /proc sizes.
	bytesPerKB = 1024
)

// process is a running daemon.
type process struct {
	id, zone, region string
	api, peer, admin string
	cmd              *exec.Cmd
	done             chan struct{}

	mu sync.Mutex
	// inForce maps versions of the configuration to when the daemon said that
	// it has them in force.
	inForce map[uint64]time.Time
}

// launch starts a daemon's program; its log lines go to errors.
func (p *process) launch(command []string, errorLog io.Writer) error {
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
	go p.follow(stderr, errorLog)
	return nil
}

// follow notes what the log lines say and reaps the process.
func (p *process) follow(stderr io.Reader, errorLog io.Writer) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.note(lines.Text(), time.Now())
		_, _ = fmt.Fprintln(errorLog, lines.Text())
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// note reads the line by which a daemon says that a configuration is in force.
func (p *process) note(line string, at time.Time) {
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

// inForceAt is when a version was in force in the daemon.
func (p *process) inForceAt(version uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.inForce[version]
	return at, ok
}

// kill ends the process at once.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// cpu is the processor time that the process has used, in seconds.
func (p *process) cpu() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return parseCPU(string(data))
}

// parseCPU adds user and system time of a line of /proc/PID/stat.
func parseCPU(stat string) (float64, error) {
	const user, system = 11, 12 // Fields after the command's name.
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

// rss is the resident memory of the process in bytes.
func (p *process) rss() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	return parseRSS(string(data))
}

// parseRSS finds the resident memory in /proc/PID/status.
func parseRSS(status string) (float64, error) {
	for _, l := range strings.Split(status, "\n") {
		if text, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(text)[0], 64)
			return kb * bytesPerKB, errors.Wrap(err, "read memory")
		}
	}
	return 0, errors.New("/proc/PID/status has no VmRSS")
}

// vars reads the daemon's metrics; nested ones are named "group.label".
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

// flatten copies the numbers of nested objects.
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
