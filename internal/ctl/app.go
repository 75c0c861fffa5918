// Package ctl implements the commands of bilberryctl, which publish a fleet's configuration and show
// the fleet's state. A command exits with one of the codes below, which tell in particular whether a
// publish was written. Results go to standard output, warnings and errors to standard error.
package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/revision"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the command failed or could not reach an instance or the platform.
	ExitFailed = 1
	// ExitUsage means a wrong command line.
	ExitUsage = 2
	// ExitFindings means that the files have faults; nothing was published.
	ExitFindings = 3
	// ExitConflict means that another publish changed the same files; nothing was published.
	ExitConflict = 4
	// ExitUnknown means that the publish may have been accepted; the command status shows whether it
	// was.
	ExitUnknown = 5
	// ExitNotInForce means that the publish was accepted but -wait ended before it was in force
	// on every live instance.
	ExitNotInForce = 6
)

const exitHelp = `Exit codes:
  0  success
  1  failure, or an instance or the platform cannot be reached
  2  wrong command line
  3  the files have faults; nothing was published
  4  another publish changed the same files; nothing was published
  5  the publish may have been accepted; see "bilberryctl status"
  6  accepted, but not yet in force on every live instance when -wait ended
`

// Environment variables that give defaults of common flags.
const (
	envStore      = "BILBERRY_STORE"
	envSecretFile = "BILBERRY_SECRET_FILE"
)

// App is the command line program with its inputs, outputs and clock.
type App struct {
	Stdout, Stderr io.Writer
	// Stdin is read by commands that take files if no file is given.
	Stdin  io.Reader
	Getenv func(string) string
	Now    func() time.Time
	Random io.Reader
	// Sleep waits for d or until ctx ends.
	Sleep func(ctx context.Context, d time.Duration)
	// Connect returns clients of the store at addr, IP:port.
	Connect func(addr string) (platform.RecordStore, platform.Directory)
}

// New returns an App that uses the process's clock and environment. connect returns a client of
// the store at addr, IP:port.
func New(stdout, stderr io.Writer, connect func(addr string) platform.Keyspace) *App {
	return &App{
		Stdout: stdout, Stderr: stderr, Stdin: os.Stdin, Getenv: os.Getenv, Now: time.Now, Random: rand.Reader, Sleep: sleep,
		Connect: func(addr string) (platform.RecordStore, platform.Directory) {
			records := platform.NewRecords(connect(addr))
			return records, records
		},
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// command describes one command of the program.
type command struct {
	name, argSyntax, summary, detail string
	// flags registers the command's own flags. run executes the command with the remaining arguments.
	flags func(c *invocation, fs *flag.FlagSet)
	run   func(c *invocation, ctx context.Context, args []string) error
	// minArgs and maxArgs limit the number of arguments; maxArgs < 0 means any number.
	minArgs, maxArgs int
}

// invocation is one run of a command with the values of its flags.
type invocation struct {
	*App
	// Flags of all commands.
	storeAddr, secretFile, outputFormat string
	timeout                             time.Duration

	// Flags of single commands.
	wait, includePublished           bool
	publisher, stopStart, stopTarget string
	stopLength                       time.Duration
	baseVersion                      uint64
	waitTimeout                      time.Duration
	timelineFlags                    timelineFlags
	whereInput                       whereInput
	// store and directory are set by connectStore.
	store     platform.RecordStore
	directory platform.Directory
}

// usageError reports a wrong command line.
type usageError string

func (e usageError) Error() string { return string(e) }

// notInForceError reports instances on which a published version is not in force.
type notInForceError struct {
	version uint64
	lagging []string
}

func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted but not in force on %s", e.version, strings.Join(e.lagging, ", "))
}

// findingsError reports the findings of a check.
type findingsError struct{ findings config.Findings }

func (e *findingsError) Error() string {
	return fmt.Sprintf("%d findings:\n%s", len(e.findings), e.findings)
}

// printedError is the error of a command that has already printed its result. With JSON output it
// is not printed as a second JSON value.
type printedError struct{ error }

// Unwrap returns the error, which determines the exit code.
func (e *printedError) Unwrap() error { return e.error }

// Run executes the command line args, which does not include the program's name, and returns the
// exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return a.help(args)
	}
	cmd := findCommand(args[0])
	if cmd == nil {
		_, _ = fmt.Fprintf(a.Stderr, "bilberryctl: unknown command %q, see \"bilberryctl help\"\n", args[0])
		return ExitUsage
	}
	c := &invocation{App: a}
	rest, err := c.parse(cmd, args[1:])
	if errors.Is(err, flag.ErrHelp) {
		_, _ = io.WriteString(a.Stdout, cmd.help())
		return ExitOK
	}
	if err == nil {
		bounded, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		err = cmd.run(c, bounded, rest)
	}
	if err != nil {
		c.reportError(cmd, err)
	}
	return exitCode(err)
}

func findCommand(name string) *command {
	for _, c := range commands() {
		if c.name == name {
			return c
		}
	}
	return nil
}

// parse reads the flags, which may stand before, between and after the arguments, and returns the
// arguments.
func (c *invocation) parse(cmd *command, args []string) ([]string, error) {
	fs := c.flagSet(cmd)
	var rest []string
	for {
		if err := fs.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usageError(err.Error())
		}
		if fs.NArg() == 0 {
			break
		}
		rest = append(rest, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if len(rest) < cmd.minArgs || cmd.maxArgs >= 0 && len(rest) > cmd.maxArgs {
		return nil, usageError("wrong number of arguments, usage: " + cmd.usage())
	}
	if c.outputFormat != "text" && c.outputFormat != "json" {
		return nil, usageError("-output must be text or json")
	}
	return rest, nil
}

func (c *invocation) flagSet(cmd *command) *flag.FlagSet {
	fs := flag.NewFlagSet(cmd.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.StringVar(&c.storeAddr, "store", c.Getenv(envStore), "`address` of the store, IP:port (default $"+envStore+")")
	fs.StringVar(&c.secretFile, "secret-file", c.Getenv(envSecretFile), "`file` with the fleet's secret (default $"+envSecretFile+")")
	fs.StringVar(&c.outputFormat, "output", "text", "text or json")
	fs.DurationVar(&c.timeout, "timeout", time.Minute, "longest time for the whole command")
	if cmd.flags != nil {
		cmd.flags(c, fs)
	}
	return fs
}

// connectStore sets store and directory unless they are set.
func (c *invocation) connectStore() error {
	if c.store != nil {
		return nil
	}
	if c.storeAddr == "" {
		return usageError("set -store or $" + envStore)
	}
	c.store, c.directory = c.Connect(c.storeAddr)
	return nil
}

// adminClient returns a client for the instances' admin listeners.
func (c *invocation) adminClient() (*adminapi.Client, error) {
	if c.secretFile == "" {
		return nil, usageError("set -secret-file or $" + envSecretFile)
	}
	secret, err := os.ReadFile(c.secretFile)
	if err != nil {
		return nil, fmt.Errorf("the secret cannot be read: %w", err)
	}
	return &adminapi.Client{Secret: string(bytes.TrimSpace(secret))}, nil
}

// print writes a result as text or as one JSON value, according to -output.
func (c *invocation) print(value any, text string) error {
	if c.outputFormat == "json" {
		encoder := json.NewEncoder(c.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	_, err := fmt.Fprintln(c.Stdout, strings.TrimRight(text, "\n"))
	return err
}

// warn writes a line to standard error. It does not change the exit code.
func (c *invocation) warn(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Stderr, "bilberryctl: "+format+"\n", args...)
}

type errorOutput struct {
	Error    string          `json:"error"`
	ExitCode int             `json:"exit_code"`
	Findings config.Findings `json:"findings,omitempty"`
}

// reportError prints a command's error: as JSON on standard output with -output json, unless the
// command has already printed its result, otherwise as text on standard error.
func (c *invocation) reportError(cmd *command, err error) {
	var findings *findingsError
	isFindings := errors.As(err, &findings)
	var printed *printedError
	if c.outputFormat == "json" && !errors.As(err, &printed) {
		out := errorOutput{Error: err.Error(), ExitCode: exitCode(err)}
		if isFindings {
			out.Findings = findings.findings
			out.Error = fmt.Sprintf("%d findings", len(findings.findings))
		}
		_ = c.print(out, "")
		return
	}
	if isFindings {
		_, _ = fmt.Fprintln(c.Stderr, findings.findings)
		return
	}
	c.warn("%s: %v", cmd.name, err)
}

func exitCode(err error) int {
	var usage usageError
	var findings *findingsError
	var conflict *revision.Conflict
	var lagging *notInForceError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, revision.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.As(err, &findings):
		return ExitFindings
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &lagging):
		return ExitNotInForce
	default:
		return ExitFailed
	}
}
