// Package registry keeps a node's copy of what the platform publishes: the configuration, the targets and the failure
// domains that are taken out. A few nodes read it and broadcast updates to the others.
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

// Item is one published value, or the record that it was deleted.
type Item struct {
	Key        string
	Value      []byte
	Compressed []byte // compressed form of a large value, in place of Value
	Revision   int64  // of its last change
	Deleted    bool
	// Restored is set on changed items of the first state of a higher era, which may be older than what they replace.
	Restored bool
}

const (
	// compressThreshold is the size from which values are kept and sent in compressed form: a configuration shrinks to a tenth, and
	// compressing it again for every node that it is sent to would take most of the time that a change costs.
	compressThreshold = 4 << 10
	// maxValueBytes bounds an item's value; the registry's answers have at most 16 MB.
	maxValueBytes = 16 << 20
)

// ValueError reports an item whose compressed value cannot be used.
type ValueError struct {
	Key    string
	Reason string
}

func (e ValueError) Error() string { return fmt.Sprintf("registry: item %q: %s", e.Key, e.Reason) }

// WithCompressed returns the item with its value compressed if it is large.
func (i Item) WithCompressed() (Item, error) {
	if len(i.Value) < compressThreshold {
		return i, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return i, fmt.Errorf("registry: compressing %q: %w", i.Key, err)
	}
	if _, err := w.Write(i.Value); err != nil {
		return i, fmt.Errorf("registry: compressing %q: %w", i.Key, err)
	}
	if err := w.Close(); err != nil {
		return i, fmt.Errorf("registry: compressing %q: %w", i.Key, err)
	}
	i.Value, i.Compressed = nil, b.Bytes()
	return i, nil
}

// WithValue returns the item with its value decompressed.
func (i Item) WithValue() (Item, error) {
	if len(i.Compressed) == 0 {
		return i, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(i.Compressed))
	if err != nil {
		return i, fmt.Errorf("registry: decompressing %q: %w", i.Key, err)
	}
	value, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	switch {
	case err != nil:
		return i, fmt.Errorf("registry: decompressing %q: %w", i.Key, err)
	case len(value) > maxValueBytes:
		return i, ValueError{Key: i.Key, Reason: fmt.Sprintf("its value is larger than %d bytes", maxValueBytes)}
	}
	i.Value, i.Compressed = value, nil
	return i, nil
}

// Update holds the changes after one revision up to another one of the same era.
type Update struct {
	Era      int64
	After    int64 // zero for a full update, which has all items
	Revision int64
	Items    []Item
	// Faults are the errors of items that are left out because their keys cannot be read.
	Faults []error
	// Age is the time since the registry was known to be at Revision, or Unconfirmed.
	Age time.Duration
}

// Point returns the state of the registry after the update.
func (u Update) Point() Point { return Point{Era: u.Era, Revision: u.Revision} }

// From returns the state of the registry after which the update has all changes.
func (u Update) From() Point { return Point{Era: u.Era, Revision: u.After} }

// WithCompressed returns the update with large values compressed.
func (u Update) WithCompressed() (Update, error) {
	items := make([]Item, 0, len(u.Items))
	for _, i := range u.Items {
		compressed, err := i.WithCompressed()
		if err != nil {
			return u, err
		}
		items = append(items, compressed)
	}
	u.Items = items
	return u, nil
}

// Unconfirmed is the age of a revision without a confirmation.
const Unconfirmed time.Duration = -1

// DecodedItem is the decoded form of an item; exactly one field is set.
type DecodedItem struct {
	Tree            *config.Tree
	Rejected        string // why nothing of a configuration can be put into force
	Target          *instance.Instance
	EvacuatedDomain string // failure domain that operators have taken out
}

// CompactedError reports that the registry has compacted the history that a watch asked for.
type CompactedError struct{ After int64 }

func (e CompactedError) Error() string {
	return fmt.Sprintf("registry: changes after revision %d are no longer available", e.After)
}

// Source reads the registry.
type Source struct {
	// Read returns all items; if cached is set, they may be seconds old.
	Read func(ctx context.Context, cached bool) (Update, error)
	// Watch returns the changes after a revision as soon as there are any, or none after the given time. The era of the result is
	// the one in which the registry answered. Its error is a CompactedError if that history is no longer available.
	Watch func(ctx context.Context, after int64, wait time.Duration) (Update, error)
}
