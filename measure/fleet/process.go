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

// Process is a child process, which is signalled by its process ID only.
type Process struct {
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

// StartProcess starts a program whose output goes to <name>.log in dir.
// The kernel kills the child if this process dies first.
func StartProcess(dir, name, binary string, args, env []string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("fleet: opening the log of %s: %w", name, err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	// In its own process group the child doesn't get the terminal's SIGINT, so that this process decides when to stop it.
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

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("fleet: signalling process %d: %w", p.Pid(), err)
	}
	return nil
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Wait waits until the process has exited and returns its exit code, or an error after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-t.C:
		return 0, fmt.Errorf("fleet: process %d is still running after %s", p.Pid(), timeout)
	}
}

// Kill sends SIGKILL, which also ends a paused process, and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}
