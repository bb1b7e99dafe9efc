// Package declare reads, compares and packs declaration files.
package declare

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"verbenapin.dev/node/config"
)

// File names in a packed directory, which are also the names of the values in the configuration service.
const (
	manifestName = "manifest"
	partPrefix   = "part-"
)

// NoFilesError reports a directory without declarations.
type NoFilesError struct{ Path string }

func (e NoFilesError) Error() string {
	return fmt.Sprintf("declare: %s has no manifest and no .yaml or .yml file", e.Path)
}

// Read returns the declaration files at the paths. For a directory, these are its .yaml and .yml files, or the files of the
// version that was packed into it.
func Read(paths []string) ([]config.File, error) {
	var files []config.File
	for _, path := range paths {
		read, err := readPath(path)
		if err != nil {
			return nil, err
		}
		files = append(files, read...)
	}
	return files, nil
}

func readPath(path string) ([]config.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("declare: reading a declaration: %w", err)
	}
	if !info.IsDir() {
		return readFiles([]string{path})
	}
	if _, err := os.Stat(filepath.Join(path, manifestName)); err == nil {
		_, files, err := readPacked(path)
		return files, err
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("declare: reading a directory: %w", err)
	}
	var names []string
	for _, e := range entries {
		if ext := filepath.Ext(e.Name()); !e.IsDir() && (ext == ".yaml" || ext == ".yml") {
			names = append(names, filepath.Join(path, e.Name()))
		}
	}
	if len(names) == 0 {
		return nil, NoFilesError{Path: path}
	}
	return readFiles(names)
}

func readFiles(names []string) ([]config.File, error) {
	var files []config.File
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("declare: reading a declaration: %w", err)
		}
		files = append(files, config.File{Name: name, Data: data})
	}
	return files, nil
}

// readPacked reads the version that was packed into a directory.
func readPacked(dir string) (config.Manifest, []config.File, error) {
	data, err := os.ReadFile(filepath.Join(dir, manifestName))
	if err != nil {
		return config.Manifest{}, nil, fmt.Errorf("declare: reading a manifest: %w", err)
	}
	m, err := config.ParseManifest(data)
	if err != nil {
		return config.Manifest{}, nil, err
	}
	parts := map[config.Digest][]byte{}
	for _, d := range m.Digests() {
		part, err := os.ReadFile(filepath.Join(dir, partPrefix+d.String()))
		if err != nil {
			return config.Manifest{}, nil, fmt.Errorf("declare: reading a part: %w", err)
		}
		parts[d] = part
	}
	files, err := config.Unpack(m, parts)
	return m, files, err
}

// withBaseNames returns the files under their base names, since local paths mean nothing in a manifest.
func withBaseNames(files []config.File) []config.File {
	files = slices.Clone(files)
	for i, f := range files {
		files[i].Name = filepath.Base(strings.ReplaceAll(f.Name, `\`, "/"))
	}
	return files
}
