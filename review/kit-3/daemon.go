package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// values are the platform's own settings, for the placeholders of the template. The
// bounds are those of the sheet of bluemahoe-ops.
func (s *site) values(name string, ports []int) map[string]string {
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	return map[string]string{
		"node": name, "zone": "kingston-a", "region": "kingston", "ip": "127.0.0.1",
		"listen.front": at(0), "listen.ready": at(1), "port_range.0": fmt.Sprint(ports[2]), "port_range.1": fmt.Sprint(ports[3]),
		"platform.addr": s.storeAddr, "advice": "",
		"limits.memory_mb": "284", "limits.max_fds": "4100", "limits.cpu_share": "0.4", "limits.cores": "1",
		"bounds.revoke_ms": "5000", "bounds.grace_s": "6", "bounds.hold_max_ms": "10000", "bounds.stop_grace_ms": "900",
		"bounds.gang_wait_ms": "3000", "bounds.status_s": "120", "bounds.quota_window_s": "5", "bounds.far_factor": "3",
	}
}

var (
	section     = regexp.MustCompile(`\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills in the template of the settings, as the platform does.
func fill(template string, values map[string]string) string {
	out := section.ReplaceAllStringFunc(template, func(m string) string {
		parts := section.FindStringSubmatch(m)
		if values[parts[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	return placeholder.ReplaceAllStringFunc(out, func(m string) string { return values[m[2:len(m)-2]] })
}

// daemon is a process of the project.
type daemon struct {
	name, front, ready, settings, log string
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

// newDaemon writes the settings of a daemon.
func (s *site) newDaemon(name string) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.ini.tmpl")
	if err != nil {
		return nil, err
	}
	values := s.values(name, ports)
	d := &daemon{name: name, front: values["listen.front"], ready: values["listen.ready"],
		settings: filepath.Join(s.dir, name+".ini"), log: filepath.Join(s.dir, name+".log")}
	return d, os.WriteFile(d.settings, []byte(fill(string(template), values)), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/bluebellstiled", "-site")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BLUEBELLSTILE_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	exited := d.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// end ends the process.
func (d *daemon) end(signal syscall.Signal) {
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(signal)
		<-d.exited
		d.cmd = nil
	}
}

// isReady asks as the platform does.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freePorts returns ports that nothing listens on, from below the range that the system
// takes for channels to others.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		if ports = append(ports, l.Addr().(*net.TCPAddr).Port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}
