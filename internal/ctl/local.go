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

// apiKeyBytes is the number of random bytes in an API key. 256 bits cannot be guessed, so an
// unsalted SHA-256 digest is enough in the files.
const apiKeyBytes = 32

// apiKeyPrefix makes an API key recognisable to secret scanners.
const apiKeyPrefix = "bbw_"

func (c *invocation) keygen(context.Context, []string) error {
	var raw [apiKeyBytes]byte
	if _, err := io.ReadFull(c.Random, raw[:]); err != nil {
		return oops.Wrapf(err, "the random source cannot be read")
	}
	key := apiKeyPrefix + base64.RawURLEncoding.EncodeToString(raw[:])
	digest := revision.Digest([]byte(key))
	return c.print(map[string]string{"key": key, "digest": digest}, "key:    "+key+"\ndigest: "+digest)
}

func (c *invocation) version(context.Context, []string) error {
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

// stop prints the YAML entry of a planned stop.
func (c *invocation) stop(ctx context.Context, args []string) error {
	at, err := c.stopTime()
	if err != nil {
		return err
	}
	if c.stopLength < time.Second {
		return usageError("set -for to the length of the stop, at least 1s")
	}
	target := c.stopTarget
	if target == "" {
		if target, err = c.lookUpTarget(ctx, args[0]); err != nil {
			return err
		}
	}
	if target != "engine" && target != "instance" {
		return usageError("-target must be engine or instance")
	}
	text := fmt.Sprintf("stops:\n  - {%s: %s, at: %q, for: %s}", target, args[0], at.Format(time.RFC3339), c.stopLength)
	out := map[string]string{target: args[0], "at": at.Format(time.RFC3339), "for": c.stopLength.String(), "stanza": text, "next": stopInstructions}
	if err := c.print(out, text); err != nil {
		return err
	}
	if c.outputFormat == "text" {
		c.warn("%s", stopInstructions)
	}
	return nil
}

// stopInstructions tells the operator what to do with the printed entry.
const stopInstructions = "nothing is published yet: add the entry to the list \"stops\" of a file in your tree, " +
	"run \"bilberryctl check DIR...\", then \"bilberryctl publish -wait DIR...\" before the stop begins"

// stopTime returns the time given by -at, by default the next full minute.
func (c *invocation) stopTime() (time.Time, error) {
	if c.stopStart == "" {
		return c.Now().Truncate(time.Minute).Add(time.Minute), nil
	}
	at, err := time.Parse(time.RFC3339, c.stopStart)
	if err != nil {
		return at, usageError("-at must be a time such as 2027-01-10T02:00:00+09:00")
	}
	return at, nil
}

// lookUpTarget returns "engine" if a published engine has the name, or "instance" if a listed
// instance has it.
func (c *invocation) lookUpTarget(ctx context.Context, name string) (string, error) {
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
	list, err := c.listInstances(ctx)
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
