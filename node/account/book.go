package account

import (
	"slices"
	"time"
)

// maxWaiting bounds the requests of one account that wait for a Grant at one node.
const maxWaiting = 1024

// Verdict tells what happens to a request.
type Verdict int

// Verdicts of Spend.
const (
	Refuse Verdict = iota
	Admit
	Wait
)

// Decision is the outcome of Spend: a token, or a time after which to retry.
type Decision struct {
	Verdict Verdict
	Token   Token
	After   time.Duration
}

// Order is a LeaseRequest to send to a home.
type Order struct {
	Home string
	Take LeaseRequest
}

// Book is a borrower's side: its stock of every account in use. The control goroutine owns it.
type Book struct {
	loose    bool // homes need not be told of spent tokens
	session  uint64
	seq      uint64
	homes    map[string][]string
	stocks   map[string]Stock
	waiting  map[string]int
	accounts map[uint64][]string // accounts of each LeaseRequest in flight
}

// NewBook returns the book of a borrower session; the number must differ for each start of the process.
func NewBook(session uint64) *Book {
	return &Book{
		session: session, homes: map[string][]string{}, stocks: map[string]Stock{},
		waiting: map[string]int{}, accounts: map[uint64][]string{},
	}
}

// NewLooseBook returns the book of a borrower whose homes lend loosely.
func NewLooseBook(session uint64) *Book {
	b := NewBook(session)
	b.loose = true
	return b
}

// SetHomes adopts the homes of a new version. The stock of an account that it lacks is returned and dropped by Tick.
func (b *Book) SetHomes(homes map[string][]string) {
	b.homes = homes
	for name, s := range b.stocks {
		if !slices.Equal(s.homes, homes[name]) {
			b.stocks[name] = s.WithHomes(homes[name])
		}
	}
}

func (b *Book) stock(now time.Duration, account string) Stock {
	s, ok := b.stocks[account]
	if !ok {
		return NewStock(b.homes[account], int(b.session%1024))
	}
	return s.WithoutExpired(now)
}

// Spend decides on one request: it is admitted on a token, or waits for a Grant, or is refused because every home is empty.
func (b *Book) Spend(now time.Duration, account string) (Decision, []Order) {
	s := b.stock(now, account).WithDemand(now)
	s, token, ok := s.WithSpend(now)
	b.stocks[account] = s
	if ok {
		return Decision{Verdict: Admit, Token: token}, b.ask(now, account)
	}
	if b.waiting[account] >= maxWaiting {
		return Decision{After: s.After(now)}, nil
	}
	b.waiting[account]++
	orders := b.ask(now, account)
	if !b.stocks[account].Pending() {
		b.Leave(account)
		return Decision{After: s.After(now)}, nil
	}
	return Decision{Verdict: Wait}, orders
}

// Resume decides again on a request that waits. It stays waiting while a LeaseRequest is in flight that may serve it.
func (b *Book) Resume(now time.Duration, account string) Decision {
	s := b.stock(now, account)
	s, token, ok := s.WithSpend(now)
	b.stocks[account] = s
	switch {
	case ok:
		b.Leave(account)
		return Decision{Verdict: Admit, Token: token}
	case s.Pending():
		return Decision{Verdict: Wait}
	}
	b.Leave(account)
	return Decision{After: s.After(now)}
}

// Leave ends the waiting of one request.
func (b *Book) Leave(account string) {
	if b.waiting[account] <= 1 {
		delete(b.waiting, account)
		return
	}
	b.waiting[account]--
}

// Refund returns the token of a request that did not run.
func (b *Book) Refund(now time.Duration, account string, t Token) {
	b.stocks[account] = b.stock(now, account).WithRefund(now, t)
}

// Settle uses up the token of a request that ran.
func (b *Book) Settle(now time.Duration, account string, t Token) {
	b.stocks[account], _ = b.stock(now, account).WithSettled(now, t)
}

// Grant credits a Grant and returns the LeaseRequests to send next.
func (b *Book) Grant(now time.Duration, home string, g Grant) []Order {
	var orders []Order
	names := b.accounts[g.Seq]
	delete(b.accounts, g.Seq)
	for _, row := range g.Rows {
		if slices.Contains(names, row.Account) {
			b.stocks[row.Account] = b.stock(now, row.Account).WithGrant(now, home, g.Seq, row)
		}
	}
	for _, name := range names {
		// A row that the Grant lacks counts as not answered.
		b.stocks[name] = b.stocks[name].WithFailure(now, home, g.Seq)
		orders = append(orders, b.ask(now, name)...)
	}
	return orders
}

// Fail notes that a LeaseRequest was not answered and returns the LeaseRequests to send next.
func (b *Book) Fail(now time.Duration, home string, seq uint64) []Order {
	return b.Grant(now, home, Grant{Seq: seq})
}

// ask returns the LeaseRequests that the account needs now.
func (b *Book) ask(now time.Duration, account string) []Order {
	var orders []Order
	for {
		s := b.stocks[account]
		waiting := b.waiting[account]
		home, want := s.Ask(now, waiting)
		if home == "" {
			return orders
		}
		b.seq++
		s, row := s.WithTake(now, home, b.seq, 0, want, waiting)
		row.Account = account
		b.stocks[account] = s
		b.accounts[b.seq] = []string{account}
		orders = append(orders, Order{Home: home, Take: LeaseRequest{Session: b.session, Seq: b.seq, Rows: []LeaseRow{row}}})
	}
}

// Tick returns unused tokens, renews those that expire soon, and drops stocks out of use.
// One LeaseRequest for each home carries the rows of all accounts.
func (b *Book) Tick(now time.Duration) []Order {
	takes := map[string]Order{}
	var homes []string
	for account := range b.stocks {
		s := b.stock(now, account)
		if s.IsIdle(now) && b.waiting[account] == 0 {
			delete(b.stocks, account)
			continue
		}
		for {
			home, back := s.Return(now, b.loose)
			if home == "" {
				break
			}
			o, ok := takes[home]
			if !ok {
				b.seq++
				o = Order{Home: home, Take: LeaseRequest{Session: b.session, Seq: b.seq}}
				homes = append(homes, home)
			}
			var row LeaseRow
			s, row = s.WithTake(now, home, o.Take.Seq, back, max(0, s.ahead(now)-s.Tokens(now)-s.wanted(now)+back), 0)
			row.Account = account
			o.Take.Rows = append(o.Take.Rows, row)
			takes[home] = o
			b.accounts[o.Take.Seq] = append(b.accounts[o.Take.Seq], account)
		}
		b.stocks[account] = s
	}
	slices.Sort(homes)
	var orders []Order
	for account := range b.waiting {
		orders = append(orders, b.ask(now, account)...)
	}
	for _, home := range homes {
		orders = append(orders, takes[home])
	}
	return orders
}
