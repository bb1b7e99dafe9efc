package report

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
)

// TestMeanings guards against a code that operators cannot look up, and against a page that differs from /explain.
func TestMeanings(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators.md")
	require.NoError(t, err)
	text := strings.ReplaceAll(string(page), "`", "")
	for _, code := range []answer.Code{
		answer.CodePath, answer.CodeRoute, answer.CodeKey, answer.CodeScope, answer.CodeRate, answer.CodeStale, answer.CodeEmpty, answer.CodeConfig,
		answer.CodeBusy, answer.CodeDomain, answer.CodeLate, answer.CodeLost, answer.CodeLarge, answer.CodeLeaving,
	} {
		m, known := MeaningOf(code)
		require.True(t, known, code)
		status := answer.NewNotExecuted(code, "").Status()
		require.Contains(t, text, fmt.Sprintf("| %s | %d | %s | %s |\n", code, status, m.Cause, m.Action))
	}
}
