package ctl

import (
	"flag"
	"fmt"
	"io"
	"strings"
)

// commands lists all commands in the order of the help text.
func commands() []*command {
	return []*command{
		{
			name: "check", argSyntax: "DIR...", summary: "check files and report every finding", minArgs: 1, maxArgs: -1,
			detail: `Reads all *.yaml files below the directories and checks them together. Each finding is
one line file:line:column: message. References to files outside the directories are
findings, unless -published adds the published files of other directories.`,
			flags: func(c *invocation, fs *flag.FlagSet) {
				fs.BoolVar(&c.includePublished, "published", false, "check together with the published files of other directories")
			},
			run: (*invocation).check,
		},
		{
			name: "publish", argSyntax: "DIR...", summary: "publish the files of directories", minArgs: 1, maxArgs: -1,
			detail: `Replaces all published files below each directory's base name by the directory's files;
files of other directories stay. The result is checked as a whole before it is written.
A publish that raced with others is merged; files that both changed are a conflict.
After acceptance the bundle is handed to three instances, in different data centres where
possible, so that it spreads even while the key-value service is down and one of them dies.`,
			flags: func(c *invocation, fs *flag.FlagSet) {
				c.publishFlags(fs)
				fs.Uint64Var(&c.baseVersion, "base", 0, "`version` that the files were edited from: files that were published since by others and differ are a conflict")
			},
			run: (*invocation).publish,
		},
		{
			name: "diff", argSyntax: "DIR...", summary: "show what publish would change", minArgs: 1, maxArgs: -1,
			detail: "Prints one line a file: + added, - removed, ~ changed. Nothing is written.",
			run:    (*invocation).diff,
		},
		{
			name: "rollback", argSyntax: "VERSION", summary: "publish the files of an earlier version again", minArgs: 1, maxArgs: 1,
			detail: "Publishes a new version with all files of the earlier one. The version number rises.",
			flags:  (*invocation).publishFlags, run: (*invocation).rollback,
		},
		{
			name: "status", summary: "show every instance's state",
			detail: `Asks every instance in the platform's list, and says whether all live ones have the same
version. Exits with 1 if a live one cannot be reached.`,
			run: (*invocation).status,
		},
		{
			name: "timeline", summary: "print events of all instances",
			detail: `Reads the events of every instance in the platform's list, merges them into one order
that respects cause and effect, and prints those that pass all given flags, one a line, or
as one JSON array with -output json. Exits with 1 if the events of an instance are missing.`,
			flags: func(c *invocation, fs *flag.FlagSet) { c.timelineFlags.register(fs) },
			run:   (*invocation).timeline,
		},
		{
			name: "drain", argSyntax: "INSTANCE", summary: "stop an instance without cutting off requests", minArgs: 1, maxArgs: 1,
			detail: "The instance reports not ready, hands over, lets streams end and exits with 0.",
			run:    (*invocation).drain,
		},
		{
			name: "stop", argSyntax: "ENGINE|INSTANCE", summary: "print the stanza of a planned stop", minArgs: 1, maxArgs: 1,
			detail: `Prints the YAML stanza of a planned stop, and on standard error what to do with it: add it
to a file in your tree, check and publish. The command publishes nothing itself, because
the next publish of your tree would remove a stop that the tree lacks. The name is looked up among the published engines, then among the
platform's instances; -target skips the lookup.`,
			flags: func(c *invocation, fs *flag.FlagSet) {
				fs.StringVar(&c.stopStart, "at", "", "start as `time` 2027-01-10T02:00:00+09:00 (default: the next full minute)")
				fs.DurationVar(&c.stopLength, "for", 0, "length of the stop, such as 30m (required)")
				fs.StringVar(&c.stopTarget, "target", "", "engine or instance")
			},
			run: (*invocation).stop,
		},
		{
			name: "engines", argSyntax: "ADDR...", summary: "show the state of every engine at gateways", minArgs: 1, maxArgs: -1,
			detail: `Asks the gateways at the metrics addresses, IP:port, and prints every engine with its states:
usable, draining, evacuated, paused, quiet, limited. The first state decides; limited engines still get
requests. Lines on which the gateways differ begin with "!". Paused, quiet and limited are what a gateway observed itself
and are not compared. Times are UTC. Exits with 1 if a gateway gives no answer.`,
			flags: (*invocation).engineFlags, run: (*invocation).engines,
		},
		{
			name: "where", argSyntax: "URL ADDR...", summary: "tell where a request would go now, without sending it", minArgs: 2, maxArgs: -1,
			detail: `Asks the gateways at the metrics addresses, IP:port, what would become of a request for the URL,
host and path, that arrives now: its route, customer and prompt, the engines with their load and what
excludes them, and the choice, or the refusal and its Retry-After. Nothing is sent or counted.
Headers come from -H or, so that an API key is not seen among the processes, from -headers.
Lines on which the gateways differ begin with "!". Exits with 1 if a gateway gives no answer.`,
			flags: (*invocation).whereFlags, run: (*invocation).where,
		},
		{
			name: "explain", argSyntax: "ID [FILE...]", summary: "tell from logs what happened to a request", minArgs: 1, maxArgs: -1,
			detail: `Reads the logs of gateways from files, or from standard input, and prints every decision
about the request with the id over all instances, the decisions about its engines around
that time, which lines are missing, and the cause of its end in a sentence.`,
			run: (*invocation).explain,
		},
		{
			name: "keygen", summary: "make an API key and print its digest",
			detail: "The key goes to the customer, the digest into the customer's file. The key is not stored.",
			run:    (*invocation).keygen,
		},
		{name: "version", summary: "print the program's version", detail: "Prints module version, commit and Go version.", run: (*invocation).version},
	}
}

func (c *invocation) publishFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.wait, "wait", false, "wait until the version is in force on every live instance")
	fs.DurationVar(&c.waitTimeout, "wait-timeout", defaultWaitTimeout, "longest time that -wait waits; raise -timeout too if it is longer")
	fs.StringVar(&c.publisher, "as", c.Getenv("USER"), "`name` of the publisher (default $USER)")
}

// help prints the overview or a command's help.
func (a *App) help(args []string) int {
	if len(args) > 1 {
		cmd := findCommand(args[1])
		if cmd == nil {
			_, _ = fmt.Fprintf(a.Stderr, "bilberryctl: unknown command %q\n", args[1])
			return ExitUsage
		}
		_, _ = io.WriteString(a.Stdout, cmd.help())
		return ExitOK
	}
	var b strings.Builder
	b.WriteString("bilberryctl publishes configuration to a bilberrywell fleet and shows its state.\n\n" +
		"Usage: bilberryctl COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n")
	for _, cmd := range commands() {
		fmt.Fprintf(&b, "  %-9s %s\n", cmd.name, cmd.summary)
	}
	b.WriteString("\nSee \"bilberryctl help COMMAND\".\n\n" + exitHelp)
	if len(args) == 0 {
		_, _ = io.WriteString(a.Stderr, b.String())
		return ExitUsage
	}
	_, _ = io.WriteString(a.Stdout, b.String())
	return ExitOK
}

func (cmd *command) usage() string {
	return strings.Join(strings.Fields("bilberryctl "+cmd.name+" "+cmd.argSyntax+" [FLAGS]"), " ")
}

// help returns the command's help text with its flags.
func (cmd *command) help() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: %s\n\n%s\n\nFlags:\n", cmd.usage(), cmd.detail)
	c := &invocation{App: &App{Getenv: func(string) string { return "" }}}
	fs := c.flagSet(cmd)
	fs.SetOutput(&b)
	fs.PrintDefaults()
	b.WriteString("\n" + exitHelp)
	return b.String()
}
