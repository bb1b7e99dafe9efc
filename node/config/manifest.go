package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Limits of a manifest and its parts, in bytes and in parts.
const (
	MaxPart     = 512 << 10
	MaxManifest = 64 << 10
	maxParts    = 64
)

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Part identifies one part by its digest; consecutive parts with the same name form one file.
type Part struct {
	Name   string `json:"name"`
	Sha256 string `json:"sha256"`
}

// Manifest lists the parts of one version.
type Manifest struct {
	Version int64  `json:"version"`
	Parts   []Part `json:"parts"`
}

// ManifestError reports an invalid manifest, or parts that do not match it.
type ManifestError struct{ Reason string }

func (e ManifestError) Error() string { return "config: bad manifest: " + e.Reason }

// Bytes returns the canonical JSON form, which is used for the digest and in messages.
func (m Manifest) Bytes() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		return nil // unreachable: strings and integers always marshal
	}
	return b
}

// Digest returns the digest of the canonical form.
func (m Manifest) Digest() Digest { return sha256.Sum256(m.Bytes()) }

// Digests returns the distinct digests of the parts, in order.
func (m Manifest) Digests() []Digest {
	var out []Digest
	for _, p := range m.Parts {
		if d, ok := parseDigest(p.Sha256); ok && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// ParseManifest decodes and validates a manifest.
func ParseManifest(data []byte) (Manifest, error) {
	if len(data) > MaxManifest {
		return Manifest{}, ManifestError{Reason: fmt.Sprintf("larger than %d bytes", MaxManifest)}
	}
	var m Manifest
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return Manifest{}, fmt.Errorf("config: reading a manifest: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return Manifest{}, ManifestError{Reason: "bytes after its end"}
	}
	if m.Version < 1 {
		return Manifest{}, ManifestError{Reason: "the version is below 1"}
	}
	if len(m.Parts) == 0 || len(m.Parts) > maxParts {
		return Manifest{}, ManifestError{Reason: fmt.Sprintf("1 to %d parts are required", maxParts)}
	}
	for _, p := range m.Parts {
		if _, ok := parseDigest(p.Sha256); !ok {
			return Manifest{}, ManifestError{Reason: fmt.Sprintf("bad digest of part %q", p.Name)}
		}
	}
	return m, nil
}

// Pack validates files and splits them into parts of at most MaxPart bytes; its result is deterministic.
func Pack(version int64, files []File) (Manifest, map[Digest][]byte, error) {
	if _, err := Parse(version, files); err != nil {
		return Manifest{}, nil, err
	}
	m := Manifest{Version: version}
	parts := map[Digest][]byte{}
	for _, f := range files {
		for rest := f.Data; ; {
			piece := rest[:min(len(rest), MaxPart)]
			rest = rest[len(piece):]
			d := Digest(sha256.Sum256(piece))
			parts[d] = piece
			m.Parts = append(m.Parts, Part{Name: f.Name, Sha256: d.String()})
			if len(rest) == 0 {
				break
			}
		}
	}
	if _, err := ParseManifest(m.Bytes()); err != nil {
		return Manifest{}, nil, err
	}
	return m, parts, nil
}

// Unpack joins the parts of a manifest into files; every part must be present and match its digest.
func Unpack(m Manifest, parts map[Digest][]byte) ([]File, error) {
	var files []File
	for _, p := range m.Parts {
		d, _ := parseDigest(p.Sha256)
		data, ok := parts[d]
		switch {
		case !ok:
			return nil, ManifestError{Reason: fmt.Sprintf("part %q (%s) is missing", p.Name, p.Sha256)}
		case len(data) > MaxPart:
			return nil, ManifestError{Reason: fmt.Sprintf("part %q is larger than %d bytes", p.Name, MaxPart)}
		case Digest(sha256.Sum256(data)) != d:
			return nil, ManifestError{Reason: fmt.Sprintf("part %q does not match its digest", p.Name)}
		}
		if n := len(files); n > 0 && files[n-1].Name == p.Name {
			files[n-1].Data = append(slices.Clone(files[n-1].Data), data...)
			continue
		}
		files = append(files, File{Name: p.Name, Data: data})
	}
	return files, nil
}

// Build parses the files of a manifest into a tree.
func Build(m Manifest, parts map[Digest][]byte) (Tree, error) {
	files, err := Unpack(m, parts)
	if err != nil {
		return Tree{}, err
	}
	return Parse(m.Version, files)
}
