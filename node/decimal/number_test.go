package decimal

import (
	"math"
	"math/big"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestParse guards against a number that is refused or misread because of its spelling.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		floor, ceil int64
		float       float64
		whole       bool
	}{
		"7":                             {floor: 7, ceil: 7, float: 7, whole: true},
		"7.0":                           {floor: 7, ceil: 7, float: 7, whole: true},
		"70e-1":                         {floor: 7, ceil: 7, float: 7, whole: true},
		"\t1e6":                         {floor: 1e6, ceil: 1e6, float: 1e6, whole: true},
		"0.0":                           {whole: true},
		"-0":                            {whole: true},
		"0e999999999":                   {whole: true},
		"99.5":                          {floor: 99, ceil: 100, float: 99.5},
		"-0.5":                          {floor: -1, ceil: 0, float: -0.5},
		"9223372036854775807":           {floor: math.MaxInt64, ceil: math.MaxInt64, float: math.MaxInt64, whole: true},
		"9223372036854775807.0":         {floor: math.MaxInt64, ceil: math.MaxInt64, float: math.MaxInt64, whole: true},
		"9007199254740993.0":            {floor: 9007199254740993, ceil: 9007199254740993, float: 9007199254740992, whole: true},
		"9223372036854775808":           {floor: math.MaxInt64, ceil: math.MaxInt64, float: math.MaxInt64},
		"-1e30":                         {floor: math.MinInt64, ceil: math.MinInt64, float: -1e30},
		"1e308":                         {floor: math.MaxInt64, ceil: math.MaxInt64, float: 1e308},
		"1e-999999999":                  {floor: 0, ceil: 1, float: math.SmallestNonzeroFloat64},
		"-1e-400":                       {floor: -1, ceil: 0, float: -math.SmallestNonzeroFloat64},
		"1.776419438133e12":             {floor: 1776419438133, ceil: 1776419438133, float: 1776419438133, whole: true},
		"0." + strings.Repeat("0", 330): {whole: true},
		"+5":                            {floor: 5, ceil: 5, float: 5, whole: true},
		"1" + strings.Repeat("0", 300):  {floor: math.MaxInt64, ceil: math.MaxInt64, float: 1e300},
	}
	for text, tc := range cases {
		t.Run(text, func(t *testing.T) {
			n, err := Parse(text)
			require.NoError(t, err)
			_, whole := n.Whole()
			require.Equal(t, tc.whole, whole)
			require.Equal(t, tc.floor, n.Floor())
			require.Equal(t, tc.ceil, n.Ceil())
			require.Equal(t, tc.float, n.Float64())
		})
	}
}

// TestParseFaults guards against a text that is taken for a number, and against one that takes long to read.
func TestParseFaults(t *testing.T) {
	cases := map[string]string{
		"empty": "", "text": "soon", "no number": "NaN", "infinite": "Inf", "hexadecimal": "0x10", "underscore": "1_000", "two points": "1.2.3",
		"only a point": ".", "only an exponent": "e5", "too large": "1e309", "far too large": "1e999999999", "quoted": `"7"`, "two numbers": "1 2",
		"too long": strings.Repeat("1", 1<<20),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(text)
			require.ErrorAs(t, err, &SyntaxError{})
		})
	}
}

// TestSpellings guards against two spellings of a number that are two numbers.
func TestSpellings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := rapid.Float64Range(-1e300, 1e300).Draw(t, "number")
		exact, ok := new(big.Rat).SetString(strconv.FormatFloat(f, 'g', -1, 64))
		require.True(t, ok)
		for _, format := range []byte{'e', 'f', 'g'} {
			text := strconv.FormatFloat(f, format, -1, 64)
			n, err := Parse(text)
			require.NoError(t, err, text)
			require.Zero(t, exact.Cmp(n.Rat()), text)
			require.Equal(t, exact.Sign(), n.Sign(), text)
			if f != 0 {
				require.Equal(t, f, n.Float64(), text)
			}
		}
	})
}
