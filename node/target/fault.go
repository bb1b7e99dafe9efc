package target

import (
	"errors"
	"syscall"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/http1"
)

// Fault is why a response of the target cannot be used, or is not whole.
type Fault string

// Faults of responses.
const (
	FaultHead    Fault = "head"    // its head or trailer is malformed
	FaultStatus  Fault = "status"  // no response, or not this one, may have its status
	FaultForeign Fault = "foreign" // it belongs to another request
	FaultReset   Fault = "reset"   // the connection was reset
	FaultCut     Fault = "cut"     // the connection ended, or what came was no HTTP
)

// FaultOf returns the fault that an error of a response states.
func FaultOf(err error) Fault {
	switch {
	case errors.As(err, &http1.HeadError{}):
		return FaultHead
	case errors.As(err, &answer.StatusError{}):
		return FaultStatus
	case errors.As(err, &MismatchError{}):
		return FaultForeign
	case errors.Is(err, syscall.ECONNRESET):
		return FaultReset
	}
	return FaultCut
}
