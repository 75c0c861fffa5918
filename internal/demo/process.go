package demo

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"syscall"

	"github.com/samber/oops"
)

// childProcesses are the child processes of the driver. start and run must be called from a goroutine
// that is locked to its thread, because the kernel kills a child when the thread that started it ends.
type childProcesses struct {
	children []*exec.Cmd
}

// start starts a child that writes its output to logFile.
func (p *childProcesses) start(name string, args []string, logFile string) error {
	log, err := os.Create(logFile)
	if err != nil {
		return oops.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	child := exec.Command(name, args...)
	child.Stdout, child.Stderr = log, log
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := child.Start(); err != nil {
		return oops.Wrapf(err, "start %s", name)
	}
	p.children = append(p.children, child)
	return nil
}

// run runs a child and waits for its end. Its error contains the child's output.
func (p *childProcesses) run(ctx context.Context, name string, args []string) error {
	child := exec.CommandContext(ctx, name, args...)
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var output bytes.Buffer
	child.Stdout, child.Stderr = &output, &output
	if err := child.Run(); err != nil {
		return oops.Wrapf(err, "%s %v: %s", name, args, output.String())
	}
	return nil
}

// kill kills a child by its process id and waits for its end. It does nothing if the child has already
// been waited for.
func (p *childProcesses) kill(i int) error {
	child := p.children[i]
	if child.ProcessState != nil {
		return nil
	}
	if err := child.Process.Kill(); err != nil {
		return oops.Wrapf(err, "kill child %d", i)
	}
	// Wait returns the signal as an error although the child has ended.
	_ = child.Wait()
	return nil
}

// close kills all children.
func (p *childProcesses) close() {
	for i := range p.children {
		_ = p.kill(i)
	}
}
