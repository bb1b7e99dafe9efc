// Package registry keeps a node's copy of what the platform publishes: the configuration, the targets and the failure
// domains that are taken out. A few nodes read it, and the others get the news from them.
package registry

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"time"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/instance"
)

// Item is one published value, or the note that it was removed.
type Item struct {
	Key        string
	Value      []byte
	Compressed []byte // compressed form of a large value, in place of Value
	Revision   int64  // of its last change
	Deleted    bool
}

const (
	// packFrom is the size from which values are kept and passed on in compressed form: a configuration shrinks to a tenth,
	// and compressing it anew for every node that it is passed on to would take most of what a change costs.
	packFrom = 4 << 10
	// maxValue bounds an item's value; the registry's answers have at most 16 MB.
	maxValue = 16 << 20
)

// ValueError reports an item whose packed value cannot be used.
type ValueError struct {
	Key    string
	Reason string
}

func (e ValueError) Error() string { return fmt.Sprintf("registry: item %q: %s", e.Key, e.Reason) }

// WithPacked returns the item as it is kept and passed on.
func (i Item) WithPacked() (Item, error) {
	if len(i.Value) < packFrom {
		return i, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return i, fmt.Errorf("registry: packing %q: %w", i.Key, err)
	}
	if _, err := w.Write(i.Value); err != nil {
		return i, fmt.Errorf("registry: packing %q: %w", i.Key, err)
	}
	if err := w.Close(); err != nil {
		return i, fmt.Errorf("registry: packing %q: %w", i.Key, err)
	}
	i.Value, i.Compressed = nil, b.Bytes()
	return i, nil
}

// WithValue returns the item with its value, which is not packed.
func (i Item) WithValue() (Item, error) {
	if len(i.Compressed) == 0 {
		return i, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(i.Compressed))
	if err != nil {
		return i, fmt.Errorf("registry: unpacking %q: %w", i.Key, err)
	}
	value, err := io.ReadAll(io.LimitReader(r, maxValue+1))
	switch {
	case err != nil:
		return i, fmt.Errorf("registry: unpacking %q: %w", i.Key, err)
	case len(value) > maxValue:
		return i, ValueError{Key: i.Key, Reason: fmt.Sprintf("its value is larger than %d bytes", maxValue)}
	}
	i.Value, i.Compressed = value, nil
	return i, nil
}

// Update are the changes after one revision up to another one.
type Update struct {
	After    int64 // zero for a whole copy
	Revision int64
	Items    []Item
	// Age is the time since the registry was found to be at Revision, negative if nobody has asked it.
	Age time.Duration
}

// WithPacked returns the news with their items as these are kept and passed on.
func (n Update) WithPacked() (Update, error) {
	items := make([]Item, 0, len(n.Items))
	for _, i := range n.Items {
		packed, err := i.WithPacked()
		if err != nil {
			return n, err
		}
		items = append(items, packed)
	}
	n.Items = items
	return n, nil
}

// Unconfirmed is the age of news that nobody has confirmed.
const Unconfirmed time.Duration = -1

// DecodedItem is what an item says in the node's own terms; exactly one field is set.
type DecodedItem struct {
	Tree            *config.Tree
	Target          *instance.Instance
	EvacuatedDomain string // failure domain that is taken out
}

// CompactedError reports that the registry no longer has the history that a watch asked for.
type CompactedError struct{ After int64 }

func (e CompactedError) Error() string {
	return fmt.Sprintf("registry: changes after revision %d are no longer available", e.After)
}

// Source reads the registry.
type Source struct {
	// Read returns a whole copy; a cached one may be seconds old.
	Read func(ctx context.Context, cached bool) (Update, error)
	// Watch returns the changes after a revision as soon as there are any, or none after the given time. Its error is a
	// GoneError if that history is no longer available.
	Watch func(ctx context.Context, after int64, wait time.Duration) (Update, error)
}
