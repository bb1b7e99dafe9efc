// Package account limits the rate and burst of client accounts over the whole fleet.
//
// The homes of an account refill its tokens and lend them to nodes; a request needs one token.
// Times are monotonic durations since the start of the process, so steps of the wall clock have no effect.
package account

import "time"

// Durations of the leasing protocol.
const (
	// LeaseTerm is the duration of a lease on the borrower's clock, counted from the sending of the LeaseRequest.
	LeaseTerm = 2 * time.Second
	// homeLeaseTerm is the duration of a lease on the home's clock; the margin of 2% covers clocks whose rates are each off by 1%.
	homeLeaseTerm = LeaseTerm + LeaseTerm/50
	// MaxHeartbeatAge is the maximum age of the heartbeats that allow a home to refill.
	MaxHeartbeatAge = 5 * time.Second
	// silentHomeTerm is how long tokens of an unreachable home may still be spent: it refills until its heartbeats are too old,
	// and its last leases expire LeaseTerm later. The margin of 2% is that of homeLeaseTerm.
	silentHomeTerm = (MaxHeartbeatAge + LeaseTerm) + (MaxHeartbeatAge+LeaseTerm)/50
	// RefundWindow bounds how long a spent token can be used or refunded, and how far ahead of demand a node borrows.
	RefundWindow = 250 * time.Millisecond
)

// LeaseRequestRow reports the tokens of one account at a borrower and asks for more.
type LeaseRequestRow struct {
	Account   string
	Held      int // tokens still at the borrower, including spent ones that may be refunded
	Returned  int // tokens returned; the borrower has already debited them
	Requested int // tokens to lend
	Waiting   int // part of Requested that requests already wait for
}

// LeaseRequest asks a home to lend tokens.
type LeaseRequest struct {
	Session uint64 // random number that identifies this run of the borrower
	Seq     uint64 // increases with each LeaseRequest of a session
	Rows    []LeaseRequestRow
}

// GrantRow lends tokens of one account.
type GrantRow struct {
	Account    string
	Tokens     int
	RetryAfter time.Duration // time until the next token is expected, if fewer were lent than requested
}

// Grant answers the LeaseRequest with the same Seq.
type Grant struct {
	Seq  uint64
	Rows []GrantRow
}
