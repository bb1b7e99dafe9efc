package http1

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of generated inputs, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// malformedLines begin with the bytes before the fault, which the bar marks and is left out.
var malformedLines = []string{"X| Run: 1", "X-Run| : 1", "X-Run|\t: 1", "| X-Run: 1", "|\tX-Run: 1", "|: 1", "X-|\x01", "X|\xfc: 1", "X-Run|\r: 1", "X-Run|", "\r|X: 1"}

// TestHeadScan guards against a malformed line that passes, or a whole head that doesn't, because of where the reads of a connection divide
// it, because informational responses come first, or because a body follows that looks like a head.
func TestHeadScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		statuses := append(rapid.SliceOfN(rapid.SampledFrom([]string{"100", "  103", "199 x"}), 0, 2).Draw(t, "informational"),
			rapid.SampledFrom([]string{"200 OK", "101 x", "204", "1 x", "1000 x", "000"}).Draw(t, "final"))
		var response strings.Builder
		fault := -1
		for _, status := range statuses {
			response.WriteString("HTTP/1.1 " + status + end)
			for _, line := range rapid.SliceOfN(rapid.SampledFrom([]string{"X-Run: 1", "a:", "x_|~: a: b \tc"}), 0, 3).Draw(t, "fields") {
				response.WriteString(line + end)
			}
			if fault < 0 && rapid.IntRange(0, 3).Draw(t, "spoilt") == 0 {
				before, after, _ := strings.Cut(rapid.SampledFrom(malformedLines).Draw(t, "malformed"), "|")
				response.WriteString(before)
				fault = response.Len()
				response.WriteString(after + "\n")
			}
			response.WriteString(end)
		}
		response.WriteString("a body\r\n with: lines\r\n\r\n")
		scan, taken, err := NewHeadScan(), 0, error(nil)
		for rest := response.String(); rest != "" && err == nil; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "read")
			var n int
			scan, n, err = scan.WithBytes([]byte(rest[:size]))
			taken, rest = taken+n, rest[size:]
		}
		if fault >= 0 {
			require.ErrorAs(t, err, new(HeadError), "%q", response.String())
			require.Equal(t, fault, taken, "%q", response.String())
			return
		}
		require.NoError(t, err, "%q", response.String())
		require.Equal(t, HeadScan{}, scan)
	})
}
