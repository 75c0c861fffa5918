package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
)

const (
	// controlTimeout bounds a probe, an order or a read of cache events.
	controlTimeout = time.Second
	// cacheMoveTimeout bounds the export and import of one chat's KV cache.
	cacheMoveTimeout = 10 * time.Second
	// maxControlBytes bounds the response to a probe or a read of cache events.
	maxControlBytes = 1 << 20
	// maxCacheBytes bounds an exported KV cache, which the instance buffers to import it.
	maxCacheBytes = 64 << 20
)

// errStaleFence reports an order that an engine refused because it has received a higher fencing
// number.
var errStaleFence = errors.New("daemon: the engine refused the fencing number")

// errLeaseExpired reports an order that was not sent because the lease of its sender had expired.
var errLeaseExpired = errors.New("daemon: the lease expired before the order was sent")

// engineClient calls the control interface of engines: load, cache events, orders, and export and
// import of KV caches.
type engineClient struct {
	http *http.Client
}

// newControlClient returns an HTTP client whose sent and received bytes are counted under a kind.
func newControlClient(set *metrics.Set, kind string) *http.Client {
	transport := newTransport()
	transport.DialContext = countingDial(set, kind)
	return &http.Client{Transport: transport}
}

// countingDial returns a dial function that counts the bytes of its connections under a kind.
func countingDial(set *metrics.Set, kind string) DialFunc {
	sent := set.NewCounter(`bilberry_control_bytes_total{direction="sent",kind="` + kind + `"}`)
	received := set.NewCounter(`bilberry_control_bytes_total{direction="received",kind="` + kind + `"}`)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, sent: sent, received: received}, nil
	}
}

// countingConn counts the bytes that are sent and received on a connection.
type countingConn struct {
	net.Conn
	sent, received *metrics.Counter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(n)
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(n)
	return n, err
}

// loadReport is the body of an engine's response to GET /load.
type loadReport struct {
	InFlight    int      `json:"in_flight"`
	Queued      int      `json:"queued"`
	Slots       int      `json:"slots"`
	Incarnation uint64   `json:"incarnation"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
}

// fetchLoad probes an engine and returns its load. A failed probe is an event with an error.
func (e *engineClient) fetchLoad(ctx context.Context, t core.Target) core.EngineReport {
	var report loadReport
	err := e.getJSON(ctx, t, "/load", &report)
	return core.EngineReport{
		Engine:      t.Engine,
		InFlight:    report.InFlight,
		Queued:      report.Queued,
		Slots:       report.Slots,
		Incarnation: report.Incarnation,
		Model:       report.Model,
		Version:     report.Version,
		Adapters:    report.Adapters,
		Role:        report.Role,
		Err:         err,
	}
}

// cacheEvent is one element of an engine's response to GET /cache/events.
type cacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	Chat string `json:"chat"`
}

// fetchCacheEvents returns an engine's cache events that follow a sequence number.
func (e *engineClient) fetchCacheEvents(ctx context.Context, t core.Target, after uint64) core.CacheEvents {
	var rows []cacheEvent
	err := e.getJSON(ctx, t, "/cache/events?after="+strconv.FormatUint(after, 10)+"&wait=0", &rows)
	answer := core.CacheEvents{Engine: t.Engine, Err: err}
	for _, row := range rows {
		chat, err := strconv.ParseUint(row.Chat, 10, 64)
		if err != nil {
			// Engines also cache prefixes of callers that don't use the fleet. Those events have no
			// chat key.
			continue
		}
		answer.Events = append(answer.Events, core.CacheEvent{
			Sequence: row.Seq,
			Chat:     fleet.ChatKey(chat),
			Stored:   row.Kind == "stored",
		})
	}
	return answer
}

// engineOrder is the body of POST /admin/orders. It contains the complete desired state of the
// engine and the sender's fencing number, by which the engine can refuse orders of earlier senders.
type engineOrder struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// sendOrder sends an order to an engine. It returns errStaleFence if the engine refuses the
// fencing number.
func (e *engineClient) sendOrder(ctx context.Context, o core.SendOrder) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, err := json.Marshal(engineOrder{
		Fence: o.Fence, Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: o.Role,
	})
	if err != nil {
		return err
	}
	res, err := e.do(ctx, http.MethodPost, o.Target, "/admin/orders", body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	err = readToEnd(res.Body)
	switch {
	case res.StatusCode == http.StatusConflict:
		return errStaleFence
	case res.StatusCode != http.StatusOK:
		return fmt.Errorf("daemon: order to engine %s failed: %s", o.Target.Engine, res.Status)
	}
	return err
}

// readToEnd reads a response whose content is not used. Without its end the response may have broken off.
func readToEnd(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxControlBytes))
	if err == nil && n == maxControlBytes {
		return errors.New("daemon: the response of an engine's control interface exceeds 1 MiB")
	}
	return err
}

// moveChatCache exports a chat's KV cache from one engine and imports it into another.
func (e *engineClient) moveChatCache(ctx context.Context, m core.MoveChat) error {
	ctx, cancel := context.WithTimeout(ctx, cacheMoveTimeout)
	defer cancel()
	request := []byte(`{"chat":"` + strconv.FormatUint(uint64(m.Chat), 10) + `"}`)
	exported, err := e.do(ctx, http.MethodPost, m.From, "/cache/export", request)
	if err != nil {
		return err
	}
	defer exported.Body.Close()
	if exported.StatusCode != http.StatusOK {
		return fmt.Errorf("daemon: KV cache export from engine %s failed: %s", m.From.Engine, exported.Status)
	}
	blob, err := io.ReadAll(io.LimitReader(exported.Body, maxCacheBytes+1))
	if err != nil {
		return err
	}
	if len(blob) > maxCacheBytes {
		return fmt.Errorf("daemon: KV cache export from engine %s exceeds 64 MiB", m.From.Engine)
	}
	imported, err := e.do(ctx, http.MethodPost, m.To, "/cache/import", blob)
	if err != nil {
		return err
	}
	defer imported.Body.Close()
	if imported.StatusCode != http.StatusOK {
		return fmt.Errorf("daemon: KV cache import into engine %s failed: %s", m.To.Engine, imported.Status)
	}
	return readToEnd(imported.Body)
}

func (e *engineClient) getJSON(ctx context.Context, t core.Target, path string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	res, err := e.do(ctx, http.MethodGet, t, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("daemon: engine %s answered %s", t.Engine, res.Status)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxControlBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, value)
}

func (e *engineClient) do(ctx context.Context, method string, t core.Target, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	res, err := e.http.Do(req)
	if err == nil {
		confirmEnd(ctx, res, t.Addr)
	}
	return res, err
}
