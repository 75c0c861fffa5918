package ctl

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/iter"

	"github.com/bilberrywell/bilberrywell/internal/whereapi"
)

// whereInput holds the flags of the command where.
type whereInput struct {
	method, headerFile, bodyFile string
	headers                      []string
	all                          bool
}

// whereFlags registers the flags of the command where.
func (c *invocation) whereFlags(fs *flag.FlagSet) {
	c.engineFlags(fs)
	in := &c.whereInput
	fs.StringVar(&in.method, "method", "", "`method` of the request (default POST)")
	fs.Func("H", "`header` of the request, \"Name: value\"; may be repeated", func(line string) error {
		in.headers = append(in.headers, line)
		return nil
	})
	fs.StringVar(&in.headerFile, "headers", "", "`file` with headers, a line each; - is standard input")
	fs.StringVar(&in.bodyFile, "body", "", "`file` with the body; - is standard input")
	fs.BoolVar(&in.all, "all", false, "print all engines, not only the first ones")
}

// whereSource is what one gateway answered.
type whereSource struct {
	Addr string `json:"addr"`
	// Answer is nil if the gateway gave none; Error says why.
	Answer *whereapi.Answer `json:"answer,omitempty"`
	Error  string           `json:"error,omitempty"`
}

type whereOutput struct {
	Sources []whereSource `json:"instances"`
	// Differing lists what the instances that answered differ about: "request", "result", and "engine" with its name. Loads
	// and what an instance observes itself differ by nature.
	Differing []string `json:"differing"`
}

// where prints what would become of a request at the gateways with the metrics addresses.
func (c *invocation) where(ctx context.Context, args []string) error {
	q, err := c.whereRequest(args[0])
	if err != nil {
		return err
	}
	mapper := iter.Mapper[string, whereSource]{MaxGoroutines: maxParallelCalls}
	sources := mapper.Map(unique(args[1:]), func(addr *string) whereSource {
		bounded, cancel := context.WithTimeout(ctx, instanceTimeout)
		defer cancel()
		answer, err := whereapi.Ask(bounded, *addr, q)
		if err != nil {
			return whereSource{Addr: *addr, Error: err.Error()}
		}
		return whereSource{Addr: *addr, Answer: &answer}
	})
	view := newWhereView(sources, c.whereInput.all)
	if err := c.print(whereOutput{Sources: sources, Differing: view.differing()}, view.text()); err != nil {
		return err
	}
	var unanswered []string
	for _, s := range sources {
		if s.Answer == nil {
			unanswered = append(unanswered, s.Addr+": "+s.Error)
		}
	}
	return noAnswerError(unanswered, len(sources))
}

// whereRequest describes the request of the command line. Errors name no value of a header.
func (c *invocation) whereRequest(target string) (whereapi.Request, error) {
	in := &c.whereInput
	absolute := target
	if !strings.Contains(target, "://") {
		absolute = "http://" + target
	}
	u, err := url.Parse(absolute)
	if err != nil || u.Host == "" || u.User != nil {
		return whereapi.Request{}, usageError("the first argument is not a URL of the form HOST/PATH")
	}
	q := whereapi.Request{Method: in.method, Host: u.Host, Path: cmp.Or(u.EscapedPath(), "/"), Headers: map[string]string{}}
	if u.RawQuery != "" {
		q.Path += "?" + u.RawQuery
	}
	if in.headerFile == "-" && in.bodyFile == "-" {
		return q, usageError("-headers and -body can't both be standard input")
	}
	for i, line := range in.headers {
		if err := addHeader(q.Headers, line, fmt.Sprintf("-H number %d", i+1)); err != nil {
			return q, err
		}
	}
	lines, err := c.readInput(in.headerFile)
	if err != nil {
		return q, err
	}
	for i, line := range strings.Split(lines, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		if err := addHeader(q.Headers, line, fmt.Sprintf("%s:%d", in.headerFile, i+1)); err != nil {
			return q, err
		}
	}
	if q.Body, err = c.readInput(in.bodyFile); err != nil {
		return q, err
	}
	if err := q.Check(); err != nil {
		return q, usageError(err.Error())
	}
	return q, nil
}

func addHeader(headers map[string]string, line, place string) error {
	name, value, ok := strings.Cut(line, ":")
	name = strings.TrimSpace(name)
	if !ok || name == "" {
		return usageError(place + ": not a header of the form \"Name: value\"")
	}
	for known := range headers {
		if strings.EqualFold(known, name) {
			return usageError(fmt.Sprintf("%s: the header %s is named twice", place, known))
		}
	}
	headers[name] = strings.TrimSpace(value)
	return nil
}

// readInput returns the content of a file, of standard input if its name is "-", or an empty string without a name.
func (c *invocation) readInput(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	from := c.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return "", err
		}
		defer func() { _ = file.Close() }()
		from = file
	}
	data, err := io.ReadAll(io.LimitReader(from, whereapi.MaxRequestBytes+1))
	if err == nil && len(data) > whereapi.MaxRequestBytes {
		return "", oops.In("ctl").Errorf("%s: longer than %d bytes", name, whereapi.MaxRequestBytes)
	}
	return string(data), err
}
