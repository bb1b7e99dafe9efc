package registry

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCompression guards against values that change when they are compressed and decompressed, and against a large value that is sent
// uncompressed.
func TestCompression(t *testing.T) {
	cases := map[string]struct {
		value      []byte
		compressed bool
	}{
		"no value":      {},
		"a small value": {value: []byte("entry")},
		"a large value": {value: bytes.Repeat([]byte("route "), 4000), compressed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			i := Item{Key: "config", Value: tc.value, Revision: 3}
			compressed, err := i.WithCompressed()
			require.NoError(t, err)
			require.Equal(t, tc.compressed, len(compressed.Compressed) > 0)
			require.Less(t, len(compressed.Value)+len(compressed.Compressed), compressThreshold)
			again, err := compressed.WithCompressed()
			require.NoError(t, err)
			require.Equal(t, compressed, again)
			decompressed, err := compressed.WithValue()
			require.NoError(t, err)
			require.Equal(t, i, decompressed)
		})
	}
}

// TestInvalidCompression guards against accepting a damaged or too large value from another node.
func TestInvalidCompression(t *testing.T) {
	var oversized bytes.Buffer
	w := gzip.NewWriter(&oversized)
	_, err := w.Write(make([]byte, maxValueBytes+1))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	cases := map[string][]byte{
		"not compressed": []byte("route"),
		"truncated":      oversized.Bytes()[:100],
		"too large":      oversized.Bytes(),
	}
	for name, compressed := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Item{Key: "config", Compressed: compressed}.WithValue()
			require.Error(t, err)
		})
	}
}
