// Package admin asks the admin listeners of nodes.
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

	"verbenapin.dev/node/operator/report"
)

const (
	// timeout is above the time that a busy node needs, and short enough to notice one that is cut off.
	timeout = 2 * time.Second
	// maxBody bounds an answer; the state of a node with 1,200 peers is about 150 KB.
	maxBody = 4 << 20
)

// StatusError reports an answer other than 200.
type StatusError struct {
	Status int
	Reason string
}

func (e StatusError) Error() string { return fmt.Sprintf("admin: status %d: %s", e.Status, e.Reason) }

// Client asks nodes; the URL of a node is the base URL of its admin listener.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute}, Timeout: timeout}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NodeState is the state of one node, or why there is none.
type NodeState struct {
	Node  string // URL
	State report.State
	Err   error
}

// States asks all nodes at the same time and returns their answers in the order of the URLs.
func (c *Client) States(ctx context.Context, nodes []string) []NodeState {
	answers := make([]NodeState, len(nodes))
	var asking sync.WaitGroup
	for i, node := range nodes {
		asking.Go(func() {
			a := NodeState{Node: node}
			a.Err = c.get(ctx, node, "state", nil, &a.State)
			answers[i] = a
		})
	}
	asking.Wait()
	return answers
}

// Explain asks one node.
func (c *Client) Explain(ctx context.Context, node string, q report.Query) (report.Explanation, error) {
	form := url.Values{}
	for name, value := range map[string]string{"account": q.Account, "route": q.Route, "code": string(q.Code)} {
		if value != "" {
			form.Set(name, value)
		}
	}
	var e report.Explanation
	err := c.get(ctx, node, "explain", form, &e)
	return e, err
}

func (c *Client) get(ctx context.Context, node, path string, form url.Values, into any) error {
	u, err := url.Parse(node)
	if err != nil {
		return fmt.Errorf("admin: reading the URL of a node: %w", err)
	}
	u = u.JoinPath(path)
	u.RawQuery = form.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return fmt.Errorf("admin: asking a node: %w", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("admin: asking a node: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		return fmt.Errorf("admin: reading an answer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		var failed struct{ Reason string }
		_ = json.Unmarshal(body, &failed)
		return StatusError{Status: res.StatusCode, Reason: failed.Reason}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("admin: reading an answer: %w", err)
	}
	return nil
}
