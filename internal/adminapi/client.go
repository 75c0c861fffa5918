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

// maxResponseBytes bounds a response. The events of a full timeline ring take a few megabytes.
const maxResponseBytes = 64 << 20

// Client calls the admin interface of instances.
type Client struct {
	// HTTP is the client to use; nil means http.DefaultClient.
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

// SendConfig sends a published bundle to the instance at addr.
func (c *Client) SendConfig(ctx context.Context, addr string, request ConfigRequest) (ConfigResponse, error) {
	var answer ConfigResponse
	err := c.call(ctx, http.MethodPost, addr, PathConfig, request, &answer)
	return answer, err
}

// Drain tells the instance at addr to drain and exit.
func (c *Client) Drain(ctx context.Context, addr string) error {
	return c.call(ctx, http.MethodPost, addr, PathDrain, nil, nil)
}

// call sends a request with body as JSON and decodes the response into result. Both may be nil.
func (c *Client) call(ctx context.Context, method, addr, path string, body, result any) error {
	errBuilder := oops.In("adminapi").With("addr", addr)
	var requestBody io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errBuilder.Wrap(err)
		}
		requestBody = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, requestBody)
	if err != nil {
		return errBuilder.Wrapf(err, "bad admin address")
	}
	request.Header.Set("Authorization", "Bearer "+c.Secret)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return errBuilder.Wrapf(err, "instance unreachable")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errBuilder.Wrapf(err, "the response cannot be read")
	}
	if response.StatusCode/100 != 2 {
		return errBuilder.Errorf("instance answered %s: %.200s", response.Status, bytes.TrimSpace(data))
	}
	if result == nil {
		return nil
	}
	return errBuilder.Wrapf(json.Unmarshal(data, result), "the response is not the expected JSON")
}
