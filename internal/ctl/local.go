package ctl

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/revision"
)

// keyBytes is the entropy of an API key: 256 bits leave no room for guessing, so a plain
// SHA-256 is enough in the files.
const keyBytes = 32

// keyPrefix lets secret scanners recognise a key.
const keyPrefix = "bbw_"

func (c *call) keygen(context.Context, []string) error {
	var raw [keyBytes]byte
	if _, err := io.ReadFull(c.Random, raw[:]); err != nil {
		return oops.Wrapf(err, "no random numbers")
	}
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(raw[:])
	digest := revision.Digest([]byte(key))
	return c.print(map[string]string{"key": key, "digest": digest}, "key:    "+key+"\ndigest: "+digest)
}

func (c *call) version(context.Context, []string) error {
	out := map[string]string{"version": "unknown", "commit": "unknown", "go": runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		out["version"] = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				out["commit"] = s.Value
			}
		}
	}
	return c.print(out, fmt.Sprintf("bilberryctl %s, commit %s, %s", out["version"], out["commit"], out["go"]))
}

// stop prints the stanza of a planned stop.
func (c *call) stop(ctx context.Context, args []string) error {
	at, err := c.stopTime()
	if err != nil {
		return err
	}
	if c.length < time.Second {
		return usageError("set -for to the length of the stop, at least 1s")
	}
	target := c.target
	if target == "" {
		if target, err = c.lookUp(ctx, args[0]); err != nil {
			return err
		}
	}
	if target != "engine" && target != "instance" {
		return usageError("-target must be engine or instance")
	}
	text := fmt.Sprintf("stops:\n  - {%s: %s, at: %q, for: %s}", target, args[0], at.Format(time.RFC3339), c.length)
	out := map[string]string{target: args[0], "at": at.Format(time.RFC3339), "for": c.length.String(), "stanza": text, "next": stopNext}
	if err := c.print(out, text); err != nil {
		return err
	}
	if c.output == "text" {
		c.warn("%s", stopNext)
	}
	return nil
}

// stopNext tells what to do with a printed stanza.
const stopNext = "nothing is published yet: add the entry to the list \"stops\" of a file in your tree, " +
	"run \"bilberryctl check DIR...\", then \"bilberryctl publish -wait DIR...\" before the stop begins"

func (c *call) stopTime() (time.Time, error) {
	if c.at == "" {
		return c.Now().Truncate(time.Minute).Add(time.Minute), nil
	}
	at, err := time.Parse(time.RFC3339, c.at)
	if err != nil {
		return at, usageError("-at must be a time such as 2027-01-10T02:00:00+09:00")
	}
	return at, nil
}

// lookUp tells whether a name is a published engine or an instance.
func (c *call) lookUp(ctx context.Context, name string) (string, error) {
	head, err := c.readHead(ctx)
	if err != nil {
		return "", err
	}
	files, err := c.newDriver().contents(ctx, head)
	if err != nil {
		return "", err
	}
	if snapshot, _ := config.Compile(files); snapshot != nil && hasEngine(snapshot, name) {
		return "engine", nil
	}
	list, err := c.instances(ctx)
	if err != nil {
		return "", err
	}
	for _, i := range list {
		if string(i.ID) == name {
			return "instance", nil
		}
	}
	return "", oops.In("ctl").Errorf("%q is neither a published engine in a service nor a listed instance, set -target", name)
}

func hasEngine(s *config.Snapshot, name string) bool {
	for _, service := range s.Services {
		for _, e := range service.Engines {
			if string(e.ID) == name {
				return true
			}
		}
	}
	return false
}
