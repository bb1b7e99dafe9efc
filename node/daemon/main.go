// Package daemon assembles a node from its settings and runs it.
package daemon

// Main runs a node and returns its exit code.
func Main([]string) int {
	return 2
}
