package limiter

import (
	"context"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
)

// Reservation is spend set aside for one request.
type Reservation struct {
	resource *resource
	amount   int64
}

// Reserve sets aside the most that a request may cost. When this daemon's
// share does not cover it, the request waits for more: a share of a small
// spend among many daemons seldom covers a whole request.
func (l *Limiter) Reserve(ctx context.Context, account *compiler.Account, worst pricer.Money) (Reservation, error) {
	if account.Policy.Spend <= 0 {
		return Reservation{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxSpendWait)
	defer cancel()
	for {
		reservation, changed, ok := l.tryReserve(account, int64(worst))
		if ok {
			return reservation, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			l.mu.Lock()
			l.counts.Refused++
			l.mu.Unlock()
			return Reservation{}, classifier.New(classifier.SpendExceeded, "what is left of the account's spend of the day does not cover this request").WithRetryAfter(time.Second)
		}
	}
}

func (l *Limiter) tryReserve(account *compiler.Account, worst int64) (Reservation, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.ensure(spendName(account, now), sortSpend, int64(account.Policy.Spend), now)
	if r.wallet.Reserve(worst, now) {
		return Reservation{resource: r, amount: worst}, nil, true
	}
	r.short = true
	r.wanted = max(r.wanted, worst-r.wallet.Available(now))
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return Reservation{}, l.changed, false
}

// Settle ends a reservation with what the request cost.
func (l *Limiter) Settle(reservation Reservation, cost pricer.Money) {
	if reservation.resource == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reservation.resource.wallet.Settle(reservation.amount, int64(cost))
}
