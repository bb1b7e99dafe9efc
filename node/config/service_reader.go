package config

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"verbenapin.dev/node/watch"
)

// ServiceReader reads manifests and parts from the configuration service.
type ServiceReader struct {
	URL    string // base URL of the service
	Client *http.Client
}

// Manifest returns the manifest and its etag; with an etag it waits up to wait for a change, and reports false if there was none.
func (r ServiceReader) Manifest(ctx context.Context, etag string, wait time.Duration) (Manifest, string, bool, error) {
	v, err := r.get(ctx, "manifest", etag, wait, MaxManifest)
	if err != nil || !v.Changed {
		return Manifest{}, etag, false, err
	}
	m, err := ParseManifest(v.Data)
	if err != nil {
		return Manifest{}, "", false, err
	}
	return m, v.Etag, true, nil
}

// Part returns the part with the digest; the caller must verify it.
func (r ServiceReader) Part(ctx context.Context, d Digest) ([]byte, error) {
	v, err := r.get(ctx, "part-"+d.String(), "", 0, MaxPart)
	return v.Data, err
}

func (r ServiceReader) get(ctx context.Context, name, etag string, wait time.Duration, limit int64) (watch.Value, error) {
	endpoint, err := url.JoinPath(r.URL, "/v1/values", name)
	if err != nil {
		return watch.Value{}, fmt.Errorf("config: joining the service URL: %w", err)
	}
	return watch.Reader{URL: endpoint, Client: r.Client, Limit: limit}.Get(ctx, etag, wait)
}
