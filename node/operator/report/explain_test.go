package report

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
)

// TestMeanings guards against a code that operators cannot look up, and against a page that says something else than /explain.
func TestMeanings(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators.md")
	require.NoError(t, err)
	text := strings.ReplaceAll(string(page), "`", "")
	for _, code := range []answer.Code{
		answer.Path, answer.Route, answer.Key, answer.Scope, answer.Rate, answer.Stale, answer.Empty,
		answer.Busy, answer.Domain, answer.Late, answer.Lost, answer.Large, answer.Leaving,
	} {
		m, known := MeaningOf(code)
		require.True(t, known, code)
		status := answer.NotRun(code, "").Status()
		require.Contains(t, text, fmt.Sprintf("| %s | %d | %s | %s |\n", code, status, m.Cause, m.Action))
	}
}
