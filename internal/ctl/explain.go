package ctl

import (
	"context"
	"io"
	"os"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/explain"
)

// explain prints what the given logs contain about a request.
func (c *invocation) explain(_ context.Context, args []string) error {
	var logs explain.Logs
	files := args[1:]
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if err := readLog(&logs, name, c.Stdin); err != nil {
			return oops.In("ctl").With("file", name).Wrapf(err, "read log")
		}
	}
	return logs.Request(args[0]).Write(c.Stdout)
}

func readLog(logs *explain.Logs, name string, stdin io.Reader) error {
	if name == "-" {
		return logs.Read(stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return logs.Read(f)
}
