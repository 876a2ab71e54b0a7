package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"celeryshelf/internal/settings"
)

// Binaries holds the paths of the built programs.
type Binaries struct {
	Node    string
	Standin string
}

// Build builds the node and the stand-ins into dir.
func Build(ctx context.Context, dir string) (Binaries, error) {
	p := Binaries{Node: filepath.Join(dir, "celeryshelf"), Standin: filepath.Join(dir, "standin")}
	for path, pkg := range map[string]string{p.Node: "celeryshelf/cmd/celeryshelf", p.Standin: "celeryshelf/cmd/standin"} {
		out, err := exec.CommandContext(ctx, "go", "build", "-o", path, pkg).CombinedOutput()
		if err != nil {
			return p, fmt.Errorf("build %s: %w\n%s", pkg, err, out)
		}
	}
	return p, nil
}

// Process is a child process.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// startProcess starts a program and appends its output to NAME.log in dir.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *Process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// clockTick is the unit of CPU times in /proc/PID/stat (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// Usage returns the CPU time that the process has used and its peak resident memory in bytes.
func (p *Process) Usage() (cpuTime time.Duration, peakRSS int64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, 0, fmt.Errorf("usage of %s: %w", p.name, err)
	}
	// The process name in parentheses may contain spaces. User and system time are the
	// 12th and 13th field after it.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, 0, fmt.Errorf("usage of %s: /proc stat has only %d fields", p.name, len(fields))
	}
	for _, f := range []string{fields[user], fields[system]} {
		ticks, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, 0, fmt.Errorf("usage of %s: %w", p.name, err)
		}
		cpuTime += time.Duration(ticks) * clockTick
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, 0, fmt.Errorf("usage of %s: %w", p.name, err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return cpuTime, kilobytes << 10, err
		}
	}
	return cpuTime, 0, nil
}

// Kill sends SIGKILL.
func (p *Process) Kill() error { return p.signal(syscall.SIGKILL) }

// Suspend stops the process until Resume is called.
func (p *Process) Suspend() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Wait waits for the process to exit and returns its error, or an error if it still runs
// after limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s still runs after %s", p.name, limit)
	}
}

// writeJSON writes v to NAME.json in dir and returns the path of the file.
func writeJSON(dir, name string, v any) (string, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("encode %s: %w", name, err)
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", fmt.Errorf("write %s: %w", name, err)
	}
	return file, nil
}

// StartStore starts the stand-in store.
func StartStore(p Binaries, dir string, at netip.AddrPort) (*Process, error) {
	return startProcess(dir, "store", p.Standin, "store", "--listen", at.String())
}

// StartTarget starts the stand-in target of a VM.
func StartTarget(p Binaries, dir string, v VM) (*Process, error) {
	file, err := writeJSON(dir, "target-"+v.Settings.Name, v.Target)
	if err != nil {
		return nil, err
	}
	return startProcess(dir, "target-"+v.Settings.Name, p.Standin, "target", "--config", file)
}

// StartNode starts the node of a VM.
func StartNode(p Binaries, dir string, v VM) (*Process, error) {
	file, err := writeJSON(dir, "node-"+v.Settings.Name, v.Settings)
	if err != nil {
		return nil, err
	}
	return startProcess(dir, "node-"+v.Settings.Name, p.Node, "node", "--settings", file)
}

// BuildSidecar builds celerynode, the node for the users' platform, into dir and returns its
// path.
func BuildSidecar(ctx context.Context, dir string) (string, error) {
	program := filepath.Join(dir, "celerynode")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "celeryshelf/cmd/celerynode").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build celerynode: %w\n%s", err, out)
	}
	return program, nil
}

// StartSidecar starts a celerynode process with the settings s.
func StartSidecar(program, dir string, s settings.Sidecar) (*Process, error) {
	file, err := writeJSON(dir, "node-"+s.Name, s)
	if err != nil {
		return nil, err
	}
	return startProcess(dir, "node-"+s.Name, program, "--settings", file)
}

// StartBaseline starts the stand-in baseline gateway in place of the node of a VM.
func StartBaseline(p Binaries, dir string, v VM, config any) (*Process, error) {
	file, err := writeJSON(dir, "node-"+v.Settings.Name, config)
	if err != nil {
		return nil, err
	}
	return startProcess(dir, "node-"+v.Settings.Name, p.Standin, "baseline", "--config", file)
}
