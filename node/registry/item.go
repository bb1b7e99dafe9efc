// Package registry keeps a node's copy of what the platform publishes: the configuration, the targets and the failure
// domains that are taken out. A few nodes read it, and the others get the news from them.
package registry

import (
	"context"
	"fmt"
	"time"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
)

// Item is one published value, or the note that it was removed.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Gone     bool
}

// News are the changes after one revision up to another one.
type News struct {
	After    int64 // zero for a whole copy
	Revision int64
	Items    []Item
	// Age is the time since the registry was found to be at Revision, negative if nobody has asked it.
	Age time.Duration
}

// Unconfirmed is the age of news that nobody has confirmed.
const Unconfirmed time.Duration = -1

// Fact is what an item says in the node's own terms; exactly one field is set.
type Fact struct {
	Tree   *config.Tree
	Target *instance.Instance
	Out    string // failure domain that is taken out
}

// GoneError reports that the registry no longer has the history that a watch asked for.
type GoneError struct{ After int64 }

func (e GoneError) Error() string {
	return fmt.Sprintf("registry: changes after revision %d are no longer available", e.After)
}

// Source reads the registry.
type Source struct {
	// Read returns a whole copy; a cached one may be seconds old.
	Read func(ctx context.Context, cached bool) (News, error)
	// Watch returns the changes after a revision as soon as there are any, or none after the given time. Its error is a
	// GoneError if that history is no longer available.
	Watch func(ctx context.Context, after int64, wait time.Duration) (News, error)
}
