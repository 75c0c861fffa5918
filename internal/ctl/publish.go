package ctl

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/revision"
)

type checkOutput struct {
	Files     int `json:"files"`
	Services  int `json:"services"`
	Customers int `json:"customers"`
}

func (c *invocation) check(ctx context.Context, dirs []string) error {
	bundle, err := loadBundle(dirs)
	if err != nil {
		return err
	}
	files := bundle.Files
	if c.includePublished {
		if files, err = c.withPublished(ctx, bundle); err != nil {
			return err
		}
	}
	snapshot, findings := config.Compile(files)
	if len(findings) > 0 {
		return &findingsError{findings}
	}
	out := checkOutput{len(files), len(snapshot.Services), len(snapshot.Customers)}
	return c.print(out, fmt.Sprintf("%d files, %d services, %d customers: no findings", out.Files, out.Services, out.Customers))
}

func loadBundle(dirs []string) (*config.Bundle, error) {
	bundle, findings := config.Load(dirs...)
	if len(findings) > 0 {
		return nil, &findingsError{findings}
	}
	return bundle, nil
}

// withPublished returns the bundle's files and the published files of other directories.
func (c *invocation) withPublished(ctx context.Context, bundle *config.Bundle) (map[string][]byte, error) {
	head, err := c.readHead(ctx)
	if err != nil {
		return nil, err
	}
	d := c.newDriver()
	d.cacheContents(bundle)
	return d.contents(ctx, revision.Manifest{Files: newEdit(bundle).Apply(head.Files)})
}

// cacheContents adds the bundle's contents to blobs, so that they are not read from the platform.
func (d *driver) cacheContents(bundle *config.Bundle) {
	for _, content := range bundle.Files {
		d.blobs[revision.Digest(content)] = content
	}
}

// newEdit returns the edit that replaces the published files of the bundle's directories.
func newEdit(bundle *config.Bundle) revision.Edit {
	return revision.Edit{Prefixes: bundle.Prefixes, Files: revision.Digests(bundle.Files)}
}

// readHead returns the published manifest, or one with version zero if nothing was published yet.
func (c *invocation) readHead(ctx context.Context) (revision.Manifest, error) {
	if err := c.connectStore(); err != nil {
		return revision.Manifest{}, err
	}
	return c.readManifest(ctx, revision.HeadKey)
}

// readManifest returns the manifest stored under a key, or one with version zero if there is none.
func (c *invocation) readManifest(ctx context.Context, key string) (revision.Manifest, error) {
	entry, err := c.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return revision.Manifest{}, nil
	}
	if err != nil {
		return revision.Manifest{}, oops.In("ctl").Wrapf(err, "%s cannot be read", key)
	}
	return revision.Decode(entry.Value)
}

// readVersion returns the manifest of the published version or of an earlier one.
func (c *invocation) readVersion(ctx context.Context, version uint64) (revision.Manifest, error) {
	head, err := c.readHead(ctx)
	if err != nil || head.Version == version {
		return head, err
	}
	m, err := c.readManifest(ctx, revision.VersionKey(version))
	if err != nil {
		return m, err
	}
	if version == 0 || m.Version != version {
		return m, oops.In("ctl").Errorf("version %d was never in force, the newest is %d", version, head.Version)
	}
	return m, nil
}

type diffOutput struct {
	// Version is the published version.
	Version uint64 `json:"version"`
	revision.Difference
}

func (c *invocation) diff(ctx context.Context, dirs []string) error {
	bundle, err := loadBundle(dirs)
	if err != nil {
		return err
	}
	head, err := c.readHead(ctx)
	if err != nil {
		return err
	}
	difference := revision.Diff(head, revision.Manifest{Files: newEdit(bundle).Apply(head.Files)})
	text := difference.String()
	if difference.Empty() {
		text = fmt.Sprintf("no difference from version %d", head.Version)
	}
	return c.print(diffOutput{head.Version, difference}, text)
}

func (c *invocation) publish(ctx context.Context, dirs []string) error {
	bundle, err := loadBundle(dirs)
	if err != nil {
		return err
	}
	if err := c.connectStore(); err != nil {
		return err
	}
	request := revision.Request{Edit: newEdit(bundle), Blobs: map[string][]byte{}}
	for _, content := range bundle.Files {
		request.Blobs[revision.Digest(content)] = content
	}
	if c.baseVersion != 0 {
		base, err := c.readVersion(ctx, c.baseVersion)
		if err != nil {
			return err
		}
		request.Base = &base
	}
	d := c.newDriver()
	d.cacheContents(bundle)
	return d.publishAndReport(ctx, request)
}

func (c *invocation) rollback(ctx context.Context, args []string) error {
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || version == 0 {
		return usageError("VERSION must be a number from 1")
	}
	if err := c.connectStore(); err != nil {
		return err
	}
	old, err := c.readVersion(ctx, version)
	if err != nil {
		return err
	}
	return c.newDriver().publishAndReport(ctx, revision.Request{Edit: revision.Rollback(old)})
}

type publishOutput struct {
	Version   uint64              `json:"version"`
	PublishID string              `json:"publish_id"`
	Unchanged bool                `json:"unchanged"`
	Diff      revision.Difference `json:"diff"`
	// HandedTo lists the instances that adopted the bundle when it was handed to them.
	HandedTo []fleet.InstanceID `json:"handed_to"`
	// InForce is the number of live instances that have the version. It is set with -wait.
	InForce int `json:"in_force"`
	// Lagging lists the live instances that did not have the version when -wait ended.
	Lagging []string `json:"lagging,omitempty"`
}

// publishAndReport publishes the request, hands the bundle over and prints the result.
func (d *driver) publishAndReport(ctx context.Context, request revision.Request) error {
	if d.publisher == "" {
		return usageError("set -as to the publisher's name")
	}
	if d.wait && d.waitTimeout <= 0 {
		return usageError("-wait-timeout must be above zero")
	}
	if d.wait {
		// A missing secret must be reported before anything is published.
		if _, err := d.adminClient(); err != nil {
			return err
		}
	}
	id, err := d.publishID()
	if err != nil {
		return err
	}
	request.PublishID, request.Publisher = id, d.publisher
	request.PublishedUnixMilli = d.Now().UnixMilli()
	// If the list cannot be read, the hand-over reports it.
	list, _ := d.listInstances(ctx)
	effect, err := d.runPublisher(ctx, request)
	if err != nil {
		return err
	}
	out := publishOutput{Version: effect.Manifest.Version, PublishID: effect.Manifest.PublishID, Unchanged: effect.Unchanged}
	if !effect.Unchanged {
		out.Diff = revision.Diff(d.checkedHead, effect.Manifest)
	}
	out.HandedTo = d.handOver(ctx, effect.Manifest, list)
	if d.wait {
		out.InForce, out.Lagging, err = d.waitInForce(ctx, effect.Manifest.Version)
	}
	if printErr := d.print(out, out.text(d.wait)); printErr != nil {
		return printErr
	}
	if len(out.Lagging) > 0 {
		return &printedError{&notInForceError{out.Version, out.Lagging}}
	}
	return err
}

func (o publishOutput) text(waited bool) string {
	var lines []string
	if !o.Diff.Empty() {
		lines = append(lines, o.Diff.String())
	}
	if o.Unchanged {
		lines = append(lines, fmt.Sprintf("no difference, version %d stays in force", o.Version))
	} else {
		lines = append(lines, fmt.Sprintf("accepted as version %d, publish id %s", o.Version, o.PublishID))
	}
	if len(o.HandedTo) > 0 {
		lines = append(lines, "handed to "+joinNames(o.HandedTo))
	}
	if waited {
		lines = append(lines, fmt.Sprintf("in force on %d instances", o.InForce))
	}
	return strings.Join(lines, "\n")
}
