package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the project, started with the command of the deploy
// file and settings made as its template makes them.
type daemon struct {
	name, front, ready string
	config, logPath    string
	cmd                *exec.Cmd
	exited             chan struct{}
}

// freePorts returns loopback addresses that nothing listens on. They lie below the
// ports that the system gives to outgoing connections, which could take them before
// the daemons do.
func freePorts(n int) ([]string, error) {
	const first, count, attempts = 20000, 10000, 1000
	out := make([]string, 0, n)
	taken := make(map[int]bool)
	for range attempts {
		port := first + rand.IntN(count)
		if taken[port] {
			continue
		}
		taken[port] = true
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports from %d on", n, first)
}

const settings = `[instance]
name = %s
zone = z1
region = g1

[listen]
callers = %s
ready = %s
peer = %s
admin = %s

[reach]
store = %s

[limits]
memory_mb = 284
processor_share = 0.4
processor_speed = 1

[bounds]
revoke = 5000ms
grace = 6s
lease_max = 6000ms
stop_grace = 900ms
gang_wait = 3000ms
state_kept = 120s
rate_window = 5s
far_factor = 3

[log]
level = info

[end]
`

// newDaemon writes the settings of a daemon.
func newDaemon(dir, name, storeAddr string, a []string) (*daemon, error) {
	d := &daemon{name: name, front: a[0], ready: a[1], config: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log")}
	return d, os.WriteFile(d.config, fmt.Appendf(nil, settings, name, a[0], a[1], a[2], a[3], storeAddr), 0o600)
}

// start starts the process.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	d.cmd = exec.Command("target/bluebellstiled", "-site")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BLUEBELLSTILE_CONFIG=" + d.config}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	started.Lock()
	defer started.Unlock()
	if started.closed {
		return errors.New("the case has ended")
	}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(d.cmd, d.exited)
	started.all = append(started.all, d)
	return nil
}

// isReady reports whether the daemon calls itself ready.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process for good.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// started holds the processes that the case has started. Once it is closed, no more
// are.
var started struct {
	sync.Mutex
	closed bool
	all    []*daemon
}

// killAll ends all processes that the case has started.
func killAll() {
	started.Lock()
	defer started.Unlock()
	started.closed = true
	for _, d := range started.all {
		d.kill()
	}
	started.all = nil
}
