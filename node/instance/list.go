package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"verbenapin.dev/node/watch"
)

// maxListSize bounds the instance list in bytes; 1,200 rows take about 200 KB.
const maxListSize = 1 << 20

// ListError reports an invalid instance list.
type ListError struct{ Reason string }

func (e ListError) Error() string { return "instance: invalid list: " + e.Reason }

// ListReader reads the platform's instance list.
type ListReader struct {
	URL    string // base URL of the list service, without path
	Client *http.Client
}

// Read returns the list and its etag. If etag is not empty, it waits up to wait for a change, and returns no list and the
// same etag if there was none.
func (r ListReader) Read(ctx context.Context, etag string, wait time.Duration) ([]Instance, string, error) {
	endpoint, err := url.JoinPath(r.URL, "/v1/instances")
	if err != nil {
		return nil, "", fmt.Errorf("instance: list URL: %w", err)
	}
	v, err := watch.Reader{URL: endpoint, Client: r.Client, Limit: maxListSize}.Get(ctx, etag, wait)
	if err != nil || !v.Changed {
		return nil, etag, err
	}
	list, err := ParseList(v.Data)
	if err != nil {
		return nil, "", err
	}
	return list, v.Etag, nil
}

// ParseList decodes the JSON form of the list. One invalid row makes it fail, so that the last valid list stays in use.
func ParseList(data []byte) ([]Instance, error) {
	var list []Instance
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("instance: decoding the list: %w", err)
	}
	seen := map[string]bool{}
	for _, i := range list {
		switch {
		case i.Name == "":
			return nil, ListError{Reason: "a row has no name"}
		case seen[i.Name]:
			return nil, ListError{Reason: fmt.Sprintf("duplicate name %q", i.Name)}
		case i.State != StateLive && i.State != StateLeaving:
			return nil, ListError{Reason: fmt.Sprintf("instance %q has state %q", i.Name, i.State)}
		}
		seen[i.Name] = true
	}
	return list, nil
}
