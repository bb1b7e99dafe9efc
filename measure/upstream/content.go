package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"io"
	"math/rand/v2"
)

// Content returns the n bytes of an archive; they depend only on the ID, so that a client can verify them without a copy.
func Content(id string, n int64) io.Reader {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	var seed [32]byte
	copy(seed[:], h.Sum(nil))
	return io.LimitReader(rand.NewChaCha8(seed), n)
}

// Digest returns the hexadecimal SHA-256 digest of the archive that Content returns.
func Digest(id string, n int64) string {
	h := sha256.New()
	_, _ = io.Copy(h, Content(id, n))
	return hex.EncodeToString(h.Sum(nil))
}
