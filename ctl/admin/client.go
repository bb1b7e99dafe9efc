// Package admin is a client of the nodes' admin listeners.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"verbenapin.dev/node/http1"
	"verbenapin.dev/node/operator/report"
	"verbenapin.dev/node/tcp"
)

const (
	// timeout is longer than a busy node takes, and short enough to notice an unreachable one.
	timeout = 2 * time.Second
	// maxBodyBytes bounds the size of a response; the state of a node with 1,200 peers is about 150 KB.
	maxBodyBytes = 4 << 20
)

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
	Reason string
}

func (e StatusError) Error() string { return fmt.Sprintf("admin: status %d: %s", e.Status, e.Reason) }

// Client queries nodes; the URL of a node is the base URL of its admin listener.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	transport := http1.NewTransport(&http.Transport{IdleConnTimeout: time.Minute}, tcp.NewDial(timeout))
	return &Client{http: &http.Client{Transport: transport, Timeout: timeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NodeState is the state of one node, or the error that prevented reading it.
type NodeState struct {
	Node  string // URL
	State report.State
	Err   error
}

// States queries all nodes concurrently and returns their states in the order of the URLs.
func (c *Client) States(ctx context.Context, nodes []string) []NodeState {
	states := make([]NodeState, len(nodes))
	var wg sync.WaitGroup
	for i, node := range nodes {
		wg.Go(func() {
			s := NodeState{Node: node}
			s.Err = c.get(ctx, node, "state", nil, &s.State)
			states[i] = s
		})
	}
	wg.Wait()
	return states
}

// Explain asks one node why it refuses the requests that match the query.
func (c *Client) Explain(ctx context.Context, node string, q report.Query) (report.Explanation, error) {
	query := url.Values{}
	for name, value := range map[string]string{"account": q.Account, "route": q.Route, "code": string(q.Code)} {
		if value != "" {
			query.Set(name, value)
		}
	}
	var e report.Explanation
	err := c.get(ctx, node, "explain", query, &e)
	return e, err
}

// Where asks one node where it would send a request now.
func (c *Client) Where(ctx context.Context, node string, q report.WhereQuery) (report.Where, error) {
	query := url.Values{}
	for name, value := range map[string]string{"host": q.Host, "path": q.Path, "method": q.Method, "account": q.Account, "digest": q.Digest} {
		if value != "" {
			query.Set(name, value)
		}
	}
	var out report.Where
	err := c.get(ctx, node, "where", query, &out)
	return out, err
}

func (c *Client) get(ctx context.Context, node, path string, query url.Values, out any) error {
	u, err := url.Parse(node)
	if err != nil {
		return fmt.Errorf("admin: reading the URL of a node: %w", err)
	}
	u = u.JoinPath(path)
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return fmt.Errorf("admin: asking a node: %w", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("admin: asking a node: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("admin: reading a response: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		var failed struct{ Reason string }
		_ = json.Unmarshal(body, &failed)
		return StatusError{Status: res.StatusCode, Reason: failed.Reason}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("admin: decoding a response: %w", err)
	}
	return nil
}
