package declare

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"verbenapin.dev/node/config"
)

// VersionError reports a version number that nodes would not adopt after the one already packed.
type VersionError struct{ Old, New int64 }

func (e VersionError) Error() string {
	return fmt.Sprintf("declare: version %d is already packed here, and %d is not above it: nodes adopt only higher versions", e.Old, e.New)
}

// Pack validates the files, also against the version that the directory holds, and writes their manifest and parts to it.
// The manifest is written last, so that it never names a part that is missing.
func Pack(version int64, files []config.File, dir string) (config.Manifest, error) {
	// Parsed under the paths that the operator gave, since faults are reported with them.
	tree, err := config.Parse(version, files)
	if err != nil {
		return config.Manifest{}, err
	}
	m, parts, err := config.Pack(version, withBaseNames(files))
	if err != nil {
		return config.Manifest{}, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return config.Manifest{}, fmt.Errorf("declare: making the directory: %w", err)
	}
	old, oldFiles, err := readPacked(dir)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return config.Manifest{}, fmt.Errorf("declare: checking the version packed before: %w", err)
	case version < old.Version, version == old.Version && !bytes.Equal(m.Bytes(), old.Bytes()):
		return config.Manifest{}, VersionError{Old: old.Version, New: version}
	default:
		before, err := config.Parse(old.Version, oldFiles)
		if err != nil {
			return config.Manifest{}, fmt.Errorf("declare: checking the version packed before: %w", err)
		}
		if err := checkHomes(before.Fleet(), tree.Fleet()); err != nil {
			return config.Manifest{}, err
		}
	}
	for d, data := range parts {
		if err := writeAtomically(filepath.Join(dir, partPrefix+d.String()), data); err != nil {
			return config.Manifest{}, err
		}
	}
	if err := writeAtomically(filepath.Join(dir, manifestName), m.Bytes()); err != nil {
		return config.Manifest{}, err
	}
	return m, nil
}

// writeAtomically replaces a file so that a reader sees the old or the new content, never a part of it.
func writeAtomically(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".verbctl-*")
	if err != nil {
		return fmt.Errorf("declare: writing: %w", err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(0o644), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("declare: writing %s: %w", path, err)
	}
	return nil
}
