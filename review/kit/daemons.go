package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Daemon is one process of the project, started with the command of
// deploy/system.toml and the settings that deploy/settings.ini.tmpl yields.
type Daemon struct {
	Name   string
	Front  string
	Ready  string
	Peer   string
	record *Record
	root   string
	config string
	log    string
	cmd    *exec.Cmd
	done   chan struct{}
}

// freePorts returns ports of 127.0.0.1 on which nothing listens now. They lie
// below those that the system gives to outgoing connections.
func freePorts(n int) ([]int, error) {
	const lowest, number, tries = 12000, 18000, 1000
	var ports []int
	for range tries {
		port := lowest + rand.IntN(number)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("found no %d free ports", n)
}

// NewDaemon writes the settings of a daemon.
func NewDaemon(record *Record, root, dir, name, zone, region, store, adviser string) (*Daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	d := &Daemon{Name: name, Front: at(0), Ready: at(1), Peer: at(2), record: record, root: root,
		config: filepath.Join(dir, name+".ini"), log: filepath.Join(dir, name+".log")}
	text := fmt.Sprintf(`[instance]
name = %s
zone = %s
region = %s

[listen]
callers = %s
ready = %s
peer = %s
admin = %s

[reach]
store = %s
eligibility = %s

[limits]
memory_mb = 284
processor_share = 0.4
processor_speed = 1

[bounds]
revoke = 5000ms
grace = 6s
lease_max = 6000ms
stop_grace = 400ms
gang_wait = 3000ms
state_kept = 120s
rate_window = 5s
far_factor = 1.5

[log]
level = info

[end]
`, name, zone, region, at(0), at(1), at(2), at(3), store, adviser)
	return d, os.WriteFile(d.config, []byte(text), 0o600)
}

// Start starts the process.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.cmd = exec.Command(filepath.Join(d.root, "target", "bluebellstiled"), "-site")
	d.cmd.Dir = d.root
	d.cmd.Env = append(os.Environ(), "BLUEBELLSTILE_CONFIG="+d.config)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.record.Line(d.Name, "starts")
	cmd, done := d.cmd, make(chan struct{})
	d.done = done
	go func() {
		err := cmd.Wait()
		d.record.Line(d.Name, "has ended: %v", err)
		close(done)
	}()
	return nil
}

// Kill sends SIGKILL and waits for the end.
func (d *Daemon) Kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.done
}

// Ended reports whether the process has ended.
func (d *Daemon) Ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// IsReady reports whether the daemon says that it is ready.
func (d *Daemon) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + d.Ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// LogLines returns the lines of the log that contain a text.
func (d *Daemon) LogLines(text string) []string {
	data, _ := os.ReadFile(d.log)
	var out []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}
