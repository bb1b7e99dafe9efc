// Package account limits the rate and burst of client accounts over the whole fleet.
//
// Homes mint tokens and lend them to nodes; a request needs one token.
// All times are durations since the start of the process on its monotonic clock, so steps of the wall clock have no effect.
package account

import "time"

// Times of the lending scheme.
const (
	// LeaseTerm is the life of a loan on the borrower's clock, from the moment it sent the LeaseRequest.
	LeaseTerm = 2 * time.Second
	// homeTerm is the life of a loan on the home's clock; 2% covers two clocks whose rates differ by 1%.
	homeTerm = LeaseTerm + LeaseTerm/50
	// MaxHeartbeatAge is the greatest age of heartbeats that allow a home to mint.
	MaxHeartbeatAge = 5 * time.Second
	// silentTerm is how long a home that cannot be heard may go on minting, with its loans and the 2% margin.
	silentTerm = (MaxHeartbeatAge + LeaseTerm) + (MaxHeartbeatAge+LeaseTerm)/50
	// Window is how long a token may be refunded, and how far ahead of demand a node borrows.
	Window = 250 * time.Millisecond
)

// LeaseRow reports the state of one account at a borrower and asks for tokens.
type LeaseRow struct {
	Account   string
	Held      int // tokens that the borrower still holds, including those that may be refunded
	Returned  int // tokens returned; the borrower has already debited them
	Requested int // tokens asked for
	Waiting   int // part of Requested for which requests wait
}

// LeaseRequest asks a home for tokens.
type LeaseRequest struct {
	Session uint64 // random for each start of the borrower
	Seq     uint64 // increases with each LeaseRequest of a session
	Rows    []LeaseRow
}

// GrantRow lends tokens of one account.
type GrantRow struct {
	Account    string
	Tokens     int
	RetryAfter time.Duration // time until the next token is expected, if fewer than wanted were lent
}

// Grant answers the LeaseRequest with the same number.
type Grant struct {
	Seq  uint64
	Rows []GrantRow
}
