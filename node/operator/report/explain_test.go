package report

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
)

// TestMeanings guards against a code that operators cannot look up.
func TestMeanings(t *testing.T) {
	for _, code := range []answer.Code{
		answer.Path, answer.Route, answer.Key, answer.Scope, answer.Rate, answer.Stale, answer.Empty,
		answer.Busy, answer.Domain, answer.Late, answer.Lost, answer.Large, answer.Leaving,
	} {
		m, known := MeaningOf(code)
		require.True(t, known, code)
		require.NotEmpty(t, m.Cause)
		require.NotEmpty(t, m.Action)
	}
}
