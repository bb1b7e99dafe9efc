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

// maxList bounds the instance list; 1,200 rows take about 200 KB.
const maxList = 1 << 20

// ListError reports a list that cannot be used.
type ListError struct{ Reason string }

func (e ListError) Error() string { return "instance: bad list: " + e.Reason }

// ListReader reads the platform's instance list.
type ListReader struct {
	URL    string // of the service, without path
	Client *http.Client
}

// Read returns the list and its etag; with an etag it waits for a change, and returns the same etag if there was none.
func (r ListReader) Read(ctx context.Context, etag string, wait time.Duration) ([]Instance, string, error) {
	at, err := url.JoinPath(r.URL, "/v1/instances")
	if err != nil {
		return nil, "", fmt.Errorf("instance: address of the list: %w", err)
	}
	v, err := watch.Reader{URL: at, Client: r.Client, Limit: maxList}.Get(ctx, etag, wait)
	if err != nil || !v.Changed {
		return nil, etag, err
	}
	list, err := ParseList(v.Data)
	if err != nil {
		return nil, "", err
	}
	return list, v.Etag, nil
}

// ParseList reads the JSON form of the list; a list with any bad row is refused, so that the last good one stays.
func ParseList(data []byte) ([]Instance, error) {
	var list []Instance
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("instance: reading the list: %w", err)
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
