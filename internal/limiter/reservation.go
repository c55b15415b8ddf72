package limiter

import (
	"context"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/pricer"
)

// Reservation is spend that is reserved for one request. The zero value reserves
// nothing.
type Reservation struct {
	resource *resource
	amount   int64
}

// Reserve reserves the maximum cost of a request. If this daemon's allocation
// does not cover it, the request waits up to maxSpendWait for more: when a small
// spend limit is split among many daemons, the allocation of one of them seldom
// covers a whole request. If the wait fails, Reserve returns a *classifier.Error
// of kind SpendExceeded.
func (l *Limiter) Reserve(ctx context.Context, account *compiler.Account, maxCost pricer.Money) (Reservation, error) {
	if account.Policy.DailySpend <= 0 {
		return Reservation{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxSpendWait)
	defer cancel()
	for {
		reservation, allocationAdded, ok := l.tryReserve(account, int64(maxCost))
		if ok {
			return reservation, nil
		}
		select {
		case <-allocationAdded:
		case <-ctx.Done():
			l.mu.Lock()
			l.counts.Refused++
			l.mu.Unlock()
			return Reservation{}, classifier.New(classifier.SpendExceeded, "the remaining daily spend limit of the account does not cover this request").WithRetryAfter(time.Second)
		}
	}
}

// tryReserve reserves the maximum cost if the allocation covers it. If not, it
// triggers a request for more and returns a channel that is closed when an
// allocation is added.
func (l *Limiter) tryReserve(account *compiler.Account, maxCost int64) (Reservation, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.ensureResource(spendResourceName(account, now), spendResource, int64(account.Policy.DailySpend), now)
	if r.allocation.Reserve(maxCost, now) {
		return Reservation{resource: r, amount: maxCost}, nil, true
	}
	r.insufficient = true
	r.missingAmount = max(r.missingAmount, maxCost-r.allocation.Available(now))
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
	return Reservation{}, l.allocationAdded, false
}

// Settle ends a reservation and deducts the actual cost of the request.
func (l *Limiter) Settle(reservation Reservation, cost pricer.Money) {
	if reservation.resource == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reservation.resource.allocation.Settle(reservation.amount, int64(cost))
}
