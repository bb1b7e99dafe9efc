// Package account limits the rate and burst of client accounts over the whole fleet.
//
// Homes mint tokens and lend them to nodes; a request needs one token.
// All times are durations since the start of the process on its monotonic clock, so steps of the wall clock have no effect.
package account

import "time"

// Times of the lending scheme.
const (
	// Term is the life of a loan on the borrower's clock, from the moment it sent the Take.
	Term = 2 * time.Second
	// homeTerm is the life of a loan on the home's clock; 2% covers two clocks whose rates differ by 1%.
	homeTerm = Term + Term/50
	// Evidence is the greatest age of heartbeats that allow a home to mint.
	Evidence = 5 * time.Second
	// silentTerm is how long a home that cannot be heard may go on minting, with its loans and the 2% margin.
	silentTerm = (Evidence + Term) + (Evidence+Term)/50
	// Window is how long a token may be refunded, and how far ahead of demand a node borrows.
	Window = 250 * time.Millisecond
)

// TakeRow reports the state of one account at a borrower and asks for tokens.
type TakeRow struct {
	Account string
	Hold    int // tokens that the borrower still holds, including those that may be refunded
	Back    int // tokens returned; the borrower has already debited them
	Want    int // tokens asked for
	Need    int // part of Want for which requests wait
}

// Take asks a home for tokens.
type Take struct {
	Session uint64 // random for each start of the borrower
	Seq     uint64 // increases with each Take of a session
	Rows    []TakeRow
}

// GrantRow lends tokens of one account.
type GrantRow struct {
	Account string
	Tokens  int
	After   time.Duration // time until the next token is expected, if fewer than wanted were lent
}

// Grant answers the Take with the same number.
type Grant struct {
	Seq  uint64
	Rows []GrantRow
}
