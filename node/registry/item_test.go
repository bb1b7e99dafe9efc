package registry

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPacked guards against values that change on their way through the fleet, and against a large one that is passed on
// at its full size.
func TestPacked(t *testing.T) {
	cases := map[string]struct {
		value  []byte
		packed bool
	}{
		"no value":      {},
		"a small value": {value: []byte("entry")},
		"a large value": {value: bytes.Repeat([]byte("route "), 4000), packed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			i := Item{Key: "config", Value: tc.value, Revision: 3}
			packed, err := i.WithPacked()
			require.NoError(t, err)
			require.Equal(t, tc.packed, len(packed.Compressed) > 0)
			require.Less(t, len(packed.Value)+len(packed.Compressed), packFrom)
			again, err := packed.WithPacked()
			require.NoError(t, err)
			require.Equal(t, packed, again)
			open, err := packed.WithValue()
			require.NoError(t, err)
			require.Equal(t, i, open)
		})
	}
}

// TestPackedFaults guards against a node that takes a damaged or endless value from another one.
func TestPackedFaults(t *testing.T) {
	var endless bytes.Buffer
	w := gzip.NewWriter(&endless)
	_, err := w.Write(make([]byte, maxValue+1))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	cases := map[string][]byte{
		"not compressed": []byte("route"),
		"cut":            endless.Bytes()[:100],
		"too large":      endless.Bytes(),
	}
	for name, packed := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Item{Key: "config", Compressed: packed}.WithValue()
			require.Error(t, err)
		})
	}
}
