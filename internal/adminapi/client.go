package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/samber/oops"
)

// maxAnswerBytes bounds an answer; a full timeline ring has a few megabytes.
const maxAnswerBytes = 64 << 20

// Client calls admin listeners.
type Client struct {
	// HTTP is the client to use; nil stands for http.DefaultClient.
	HTTP *http.Client
	// Secret is the fleet's secret.
	Secret string
}

// Status returns the state of the instance at addr (IP:port).
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, addr, PathStatus, nil, &s)
	return s, err
}

// Timeline returns the events of the instance at addr with a sequence number above after.
func (c *Client) Timeline(ctx context.Context, addr string, after uint64) (Events, error) {
	var events Events
	err := c.call(ctx, http.MethodGet, addr, PathTimeline+"?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// Config hands a bundle to the instance at addr.
func (c *Client) Config(ctx context.Context, addr string, request ConfigRequest) (ConfigAnswer, error) {
	var answer ConfigAnswer
	err := c.call(ctx, http.MethodPost, addr, PathConfig, request, &answer)
	return answer, err
}

// Drain tells the instance at addr to drain and exit.
func (c *Client) Drain(ctx context.Context, addr string) error {
	return c.call(ctx, http.MethodPost, addr, PathDrain, nil, nil)
}

func (c *Client) call(ctx context.Context, method, addr, path string, body, answer any) error {
	fault := oops.In("adminapi").With("addr", addr)
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fault.Wrap(err)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, content)
	if err != nil {
		return fault.Wrapf(err, "bad admin address")
	}
	request.Header.Set("Authorization", "Bearer "+c.Secret)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return fault.Wrapf(err, "instance unreachable")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrapf(err, "answer broke off")
	}
	if response.StatusCode/100 != 2 {
		return fault.Errorf("instance answered %s: %.200s", response.Status, bytes.TrimSpace(data))
	}
	if answer == nil {
		return nil
	}
	return fault.Wrapf(json.Unmarshal(data, answer), "bad answer")
}
