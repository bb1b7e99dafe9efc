package account

import (
	"context"
	"fmt"
	"time"
)

// Tokens returns the number of unspent tokens of an account at this node, without borrowing or spending any.
func (l *Limiter) Tokens(ctx context.Context, account string) (int, error) {
	tokens := 0
	err := l.loop.Call(ctx, func(now time.Time) {
		elapsed := l.elapsed(now)
		tokens = l.borrower.pool(elapsed, account).Tokens(elapsed)
	})
	if err != nil {
		return 0, fmt.Errorf("account: counting tokens: %w", err)
	}
	return tokens, nil
}
