package http1

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports a malformed head or trailer of a response.
type HeadError struct{ Reason string }

func (e HeadError) Error() string { return "http1: malformed head of a response: " + e.Reason }

// place is where the next byte of a head stands.
type place int

// Places in a head; the zero place is behind its end.
const (
	behindHead place = iota
	inProtocol
	beforeStatus
	inStatus
	inReason
	atLineStart
	behindReturn // of an empty line
	inName
	inValue
)

// HeadScan is how far the heads of a response have been checked: those of informational responses, if there are any, and that of the final
// one. It is immutable; its zero value expects no head and takes any byte.
type HeadScan struct {
	place  place
	status statusText
}

// statusText holds the first bytes of a status as they were sent.
type statusText struct {
	text [3]byte
	n    int
}

// withByte returns the text with another byte.
func (s statusText) withByte(b byte) statusText {
	if s.n < len(s.text) {
		s.text[s.n] = b
	}
	s.n++
	return s
}

// isInformational reports whether another head follows. Nothing known follows 101, which ends the use of HTTP.
func (s statusText) isInformational() bool {
	return s.n == len(s.text) && s.text[0] == '1' && s.text != [3]byte{'1', '0', '1'}
}

// NewHeadScan returns a scan that expects a response.
func NewHeadScan() HeadScan { return HeadScan{place: inProtocol} }

// WithBytes returns the scan after the next bytes. If one of them makes the head malformed, it returns a HeadError with the number of bytes
// before it. Each line of a head must begin with a valid name and a colon: net/http lets blanks in names pass and joins a line that begins
// with a blank to the one before, so that a field such as Content-Length is lost.
func (s HeadScan) WithBytes(p []byte) (HeadScan, int, error) {
	for n := 0; n < len(p) && s.place != behindHead; n++ {
		if s.place == inReason || s.place == inValue {
			end := bytes.IndexByte(p[n:], '\n')
			if end < 0 {
				break
			}
			s.place, n = atLineStart, n+end
			continue
		}
		var err error
		if s, err = s.withByte(p[n]); err != nil {
			return s, n, err
		}
	}
	return s, len(p), nil
}

// withByte returns the scan after a byte that stands neither in the reason nor in a value.
func (s HeadScan) withByte(b byte) (HeadScan, error) {
	switch s.place {
	case inProtocol, beforeStatus, inStatus:
		return s.withStatusLine(b), nil
	case atLineStart:
		switch b {
		case ' ', '\t':
			return s, HeadError{Reason: "a line begins with a blank"}
		case '\r':
			s.place = behindReturn
			return s, nil
		case '\n':
			return s.withEnd(), nil
		case ':':
			return s, HeadError{Reason: "a field has no name"}
		}
		s.place = inName
	case behindReturn:
		if b == '\n' {
			return s.withEnd(), nil
		}
		return s, HeadError{Reason: "a line begins with a carriage return"}
	}
	switch {
	case b == ':':
		s.place = inValue
	case !isNameByte(b):
		return s, HeadError{Reason: fmt.Sprintf("the name of a field holds %q", b)}
	}
	return s, nil
}

// withStatusLine returns the scan after a byte of the status line up to the status, which net/http checks itself.
func (s HeadScan) withStatusLine(b byte) HeadScan {
	switch {
	case b == '\n':
		s.place = atLineStart
	case s.place == inProtocol && b != ' ', s.place == beforeStatus && b == ' ':
	case s.place == inProtocol:
		s.place = beforeStatus
	case b == ' ' || b == '\r':
		s.place = inReason
	default:
		s.place, s.status = inStatus, s.status.withByte(b)
	}
	return s
}

// withEnd returns the scan after the empty line that ends a head.
func (s HeadScan) withEnd() HeadScan {
	if s.status.isInformational() {
		return NewHeadScan()
	}
	return HeadScan{}
}

// isNameByte reports whether the name of a field may hold a byte.
func isNameByte(b byte) bool { return b < 0x80 && httpguts.IsTokenRune(rune(b)) }
