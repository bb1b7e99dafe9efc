package answer

import (
	"fmt"
	"net/http"
	"net/textproto"
)

// MaxStatus is the highest status that a response may have.
const MaxStatus = 599

// StatusError reports a response whose status it cannot have.
type StatusError struct {
	Status int
	Reason string
}

func (e StatusError) Error() string {
	return fmt.Sprintf("answer: response with status %d: %s", e.Status, e.Reason)
}

// CheckFinal returns a StatusError if res cannot be a final response. net/http returns 101 as one and accepts any three digits, and its
// servers write 101 as an informational response, which a 200 of their own follows. A node never asks to switch protocols.
func CheckFinal(res *http.Response) error {
	if res.StatusCode < http.StatusOK || res.StatusCode > MaxStatus {
		return StatusError{Status: res.StatusCode, Reason: "not the status of a final response"}
	}
	if res.StatusCode == http.StatusNoContent && (announcesBody(res.Header) || len(res.TransferEncoding) > 0) {
		return StatusError{Status: res.StatusCode, Reason: "it announces a body"}
	}
	return nil
}

// MaxInformational is how many informational responses one request may get. Uploads and page loads use a few.
const MaxInformational = 16

// CheckInformational returns a StatusError if a response with these headers, from which net/http has removed Transfer-Encoding, cannot
// be an informational one.
func CheckInformational(status int, h textproto.MIMEHeader) error {
	if announcesBody(http.Header(h)) {
		return StatusError{Status: status, Reason: "it announces a body"}
	}
	return nil
}

// announcesBody reports whether the headers give a length other than zero.
func announcesBody(h http.Header) bool {
	length := h.Get("Content-Length")
	return length != "" && length != "0"
}
