package command

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"verbenapin.dev/node/config"
)

const (
	keyBytes = 32
	// minSafeKeyLength is the length below which a key can be recovered from its digest by brute force.
	minSafeKeyLength = 20
	maxKeyLength     = 1024
)

type digestCommand struct {
	std    Streams
	Create bool `long:"create" description:"Create a random key and print it before its digest, instead of reading one"`
}

// Execute implements flags.Commander.
func (c *digestCommand) Execute([]string) error {
	if c.Create {
		var random [keyBytes]byte
		_, _ = rand.Read(random[:]) // documented never to fail
		key := base64.RawURLEncoding.EncodeToString(random[:])
		_, err := fmt.Fprintf(c.std.Out, "%s\nsha256:%s\n", key, config.KeyDigest(key))
		return err
	}
	data, err := io.ReadAll(io.LimitReader(c.std.In, maxKeyLength+2))
	if err != nil {
		return fmt.Errorf("command: reading the key: %w", err)
	}
	key := strings.TrimRight(string(data), "\r\n")
	switch {
	case key == "" || len(key) > maxKeyLength:
		return UsageError{Reason: fmt.Sprintf("standard input must be one key of 1 to %d characters", maxKeyLength)}
	case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
		return UsageError{Reason: "the key contains a character that cannot be in a header value, or a space"}
	case len(key) < minSafeKeyLength:
		_, _ = fmt.Fprintf(c.std.Err, "warning: a key below %d characters may be guessed from its digest\n", minSafeKeyLength)
	}
	_, err = fmt.Fprintf(c.std.Out, "sha256:%s\n", config.KeyDigest(key))
	return err
}
