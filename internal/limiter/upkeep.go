package limiter

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// Run asks for shares, renews them and gives back what is not used, until ctx
// ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, need := range l.maintain(time.Now()) {
			l.askPeers(ctx, need)
		}
	}
}

// need is a share that the log did not grant in time.
type need struct {
	name   string
	amount int64
}

func (l *Limiter) maintain(now time.Time) []need {
	l.mu.Lock()
	defer l.mu.Unlock()
	var needs []need
	for _, r := range l.resources {
		if r.sort == sortRate {
			l.renew(r, now)
			l.giveBack(r, now)
		}
		amount := l.shortfall(r, now)
		if amount <= 0 || now.Sub(r.asked) < askInterval {
			continue
		}
		if r.clipped || (r.asking != "" && now.Sub(r.asked) > peerAfter) {
			needs = append(needs, need{r.name, amount})
			r.clipped = false
			r.asked = now
			continue
		}
		if r.asking != "" {
			continue
		}
		r.asking = l.submit(r, amount, false)
		r.asked = now
		r.short, r.wanted = false, 0
		l.counts.Asked++
	}
	return needs
}

// baseline is the share that each daemon asks for before any demand. A part of
// the limit is left to move to where the demand is.
func (l *Limiter) baseline(r *resource) int64 {
	return max(1, 3*r.limit/int64(4*l.daemons))
}

// shortfall returns how much more of a resource to ask for.
func (l *Limiter) shortfall(r *resource, now time.Time) int64 {
	base := l.baseline(r)
	available := r.wallet.Available(now)
	if r.sort == sortRate {
		if available < base {
			return base - available
		}
		if r.short {
			return max(1, available/2)
		}
		return 0
	}
	if available < (base+1)/2 || r.short {
		return max(base, r.wanted)
	}
	return 0
}

// renew extends the shares that lapse soon.
func (l *Limiter) renew(r *resource, now time.Time) {
	lapsing := r.wallet.Lapsing(now.Add(renewBefore))
	if lapsing == 0 || r.asking != "" || now.Sub(r.asked) < askInterval {
		return
	}
	r.asking = l.submit(r, lapsing, true)
	r.asked = now
}

// giveBack returns what the last window did not use.
func (l *Limiter) giveBack(r *resource, now time.Time) {
	elapsed := now.Sub(r.windowStart)
	if elapsed < usageWindow {
		return
	}
	used := int64(float64(r.used) / elapsed.Seconds() * milli)
	r.used, r.windowStart = 0, now
	total := r.wallet.Total(now)
	keep := max(l.baseline(r), 2*used)
	if total <= keep+keep/4 {
		return
	}
	if given, _ := r.wallet.Give(total-keep, now); given > 0 {
		l.submit(r, -given, false)
	}
}

func (l *Limiter) submit(r *resource, amount int64, renew bool) string {
	life := shareLife
	switch r.sort {
	case sortSpend:
		life = spendLife
	case sortPeople:
		life = peopleLife
	case sortRate:
	}
	id := l.newID()
	l.appender.Submit(&schema.Record{Id: id, Body: &schema.Record_Grant{Grant: &schema.Grant{
		Resource: r.name,
		Holder:   l.holder,
		Amount:   amount,
		Limit:    r.limit,
		Time:     timestamppb.Now(),
		Life:     durationpb.New(life),
		Renew:    renew,
	}}}, amount > 0 && !renew)
	return id
}

func (l *Limiter) askPeers(ctx context.Context, need need) {
	amount, until := l.peers.Transfer(ctx, need.name, need.amount)
	if amount <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Transferred++
	if r := l.resources[need.name]; r != nil {
		r.wallet.Receive(amount, until)
		r.short, r.wanted = false, 0
		l.announce()
	}
}

// supplyTime bounds how long a daemon waits for its first shares.
const supplyTime = 4 * time.Second

// Supplied reports whether every limited resource has some share, which a
// daemon awaits for a while before it calls itself ready.
func (l *Limiter) Supplied() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, r := range l.resources {
		if r.wallet.Total(now) == 0 && now.Sub(r.created) < supplyTime {
			return false
		}
	}
	return true
}

// GiveAll returns all shares, for a daemon that stops.
func (l *Limiter) GiveAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, r := range l.resources {
		if given, _ := r.wallet.Give(r.wallet.Available(now), now); given > 0 {
			l.submit(r, -given, false)
		}
	}
}
