// Package decimal reads decimal numbers as JSON, headers and settings spell them.
package decimal

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/big"
	"regexp"
	"strconv"
	"strings"
)

// maxLength bounds the characters of a number, since exact arithmetic takes longer with each digit. Every float64 fits in plain notation.
const maxLength = 400

// syntax accepts the numbers of JSON, and besides a plus sign, leading zeros, and a point without digits on one side.
var syntax = regexp.MustCompile(`^[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][+-]?[0-9]+)?$`)

// SyntaxError reports a text that is not a decimal number, or one beyond the range of a float64.
type SyntaxError struct{ Text string }

func (e SyntaxError) Error() string {
	return fmt.Sprintf("decimal: %.40q is not a usable number", e.Text)
}

// Number is a finite decimal number; the zero value is 0. Spellings of one value, such as 7, 7.0 and 70e-1, are the same number.
type Number struct {
	whole int64
	exact *big.Rat // the number if it is not an int64, else nil
}

// New returns a whole number.
func New(n int64) Number { return Number{whole: n} }

// Parse reads a number, with blanks around it if there are any. One that is closer to 0 than any other float64 becomes the closest of them.
// The error is a SyntaxError.
func Parse(text string) (Number, error) {
	text = strings.TrimSpace(text)
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return Number{whole: n}, nil
	}
	if len(text) > maxLength || !syntax.MatchString(text) {
		return Number{}, SyntaxError{Text: text}
	}
	near, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrRange) || math.IsInf(near, 0) {
		return Number{}, SyntaxError{Text: text}
	}
	if near == 0 { // the exponent may be too large for exact arithmetic
		return fromRat(closeToZero(text)), nil
	}
	exact, ok := new(big.Rat).SetString(text)
	if !ok {
		return Number{}, SyntaxError{Text: text}
	}
	return fromRat(exact), nil
}

// UnmarshalJSON implements json.Unmarshaler. A string is not a number, and null leaves n as it is.
func (n *Number) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	parsed, err := Parse(string(data))
	*n = parsed
	return err
}

// closeToZero returns 0 if all digits of the text are zeros, else the float64 next to it.
func closeToZero(text string) *big.Rat {
	mantissa, _, _ := strings.Cut(strings.ToLower(text), "e")
	exact := new(big.Rat)
	if strings.ContainsAny(mantissa, "123456789") {
		exact.SetFloat64(math.SmallestNonzeroFloat64)
	}
	if strings.HasPrefix(mantissa, "-") {
		exact.Neg(exact)
	}
	return exact
}

func fromRat(exact *big.Rat) Number {
	if exact.IsInt() && exact.Num().IsInt64() {
		return Number{whole: exact.Num().Int64()}
	}
	return Number{exact: exact}
}

// Sign returns -1, 0 or 1.
func (n Number) Sign() int {
	if n.exact != nil {
		return n.exact.Sign()
	}
	return cmp.Compare(n.whole, 0)
}

// Rat returns the exact number, which the caller may change.
func (n Number) Rat() *big.Rat {
	if n.exact != nil {
		return new(big.Rat).Set(n.exact)
	}
	return big.NewRat(n.whole, 1)
}

// Float64 returns the closest float64.
func (n Number) Float64() float64 {
	if n.exact == nil {
		return float64(n.whole)
	}
	f, _ := n.exact.Float64()
	return f
}

// Whole returns the number, and false if it is not a whole number that fits.
func (n Number) Whole() (int64, bool) { return n.whole, n.exact == nil }

// Floor returns the largest whole number that is not above n, or the closest int64 if that does not fit.
func (n Number) Floor() int64 {
	if n.exact == nil {
		return n.whole
	}
	floor := new(big.Int).Div(n.exact.Num(), n.exact.Denom()) // rounds down, since the denominator is positive
	switch {
	case floor.IsInt64():
		return floor.Int64()
	case floor.Sign() < 0:
		return math.MinInt64
	default:
		return math.MaxInt64
	}
}

// Ceil returns the smallest whole number that is not below n, or the closest int64 if that does not fit.
func (n Number) Ceil() int64 {
	floor := n.Floor()
	if n.exact == nil || n.exact.IsInt() || floor == math.MaxInt64 {
		return floor
	}
	return floor + 1
}
