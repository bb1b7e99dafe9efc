// Package fleet runs nodes as processes, with stand-ins for their targets and their platform, on loopback addresses.
package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a child process; it is ended by its id.
type Process struct {
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

// StartProcess starts a program whose output goes to <name>.log in dir.
// The kernel kills the child if this process dies without ending it.
func StartProcess(dir, name, binary string, args, env []string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("fleet: opening the log of %s: %w", name, err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	// A process group of its own keeps an interrupt from the terminal away from the child, which is ended in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("fleet: starting %s: %w", name, err)
	}
	p := &Process{cmd: cmd, log: log, exited: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("fleet: signalling process %d: %w", p.Pid(), err)
	}
	return nil
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Wait waits for the end of the process and returns its exit code, or an error after timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-t.C:
		return 0, fmt.Errorf("fleet: process %d still runs after %s", p.Pid(), timeout)
	}
}

// Kill ends the process at once, also while it is paused, and waits.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}
