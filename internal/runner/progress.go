package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// step reports doubts and writes the states that are due.
func (o *rollouts) step(ctx context.Context) {
	for _, write := range o.writes() {
		if err := write(ctx); err != nil {
			o.logger.Info("progress of a roll-out could not be written", "error", err)
		}
	}
}

// writes returns what is to be written now.
func (o *rollouts) writes() []func(context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.process.Clock()
	var writes []func(context.Context) error
	for _, known := range o.services {
		if known.state.Final() {
			continue
		}
		if known.doubts.SettleConnectionFailures(now) {
			o.judge(known)
		}
		if report := o.report(known, now); report != nil {
			writes = append(writes, report)
		}
		if progress := o.progress(known, now); progress != nil {
			writes = append(writes, progress)
		}
	}
	return writes
}

// report returns a write of this daemon's doubts if they have grown, and of its
// sessions when they are to be told.
func (o *rollouts) report(known *rollout, now time.Duration) func(context.Context) error {
	list := !known.listed && promoter.ShouldListSessions(known.state, now-known.entered)
	if list {
		known.listed = true
		known.sessions = o.sessions.OldVersionDigests(known.order, known.status.Share, time.Now())
	}
	doubts := known.doubts.ByEndpoint()
	interval := int64((now - known.entered) / reportInterval)
	due := interval != known.intervals
	known.intervals = interval
	grown := due && known.doubts.Bad() != known.reported
	if !grown && (!list || len(known.sessions) == 0) {
		return nil
	}
	known.reported = known.doubts.Bad()
	report := &schema.RolloutReport{
		Service:  known.order.Service,
		Order:    known.order.Offset,
		Doubts:   doubts,
		Sessions: known.sessions,
	}
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		data, err := proto.Marshal(report)
		if err != nil {
			return err
		}
		return o.process.Results.Append(ctx, o.key, data)
	}
}

// progress returns a write of the next state if it is due.
func (o *rollouts) progress(known *rollout, now time.Duration) func(context.Context) error {
	versions := o.tracker.VersionCounts(known.order.Service)
	fresh := versions[known.order.Target]
	old := -fresh
	for _, count := range versions {
		old += count
	}
	if _, proven := o.status.VerifiedAge(); !proven {
		// What others have written is not known yet.
		return nil
	}
	next := promoter.Decide(promoter.View{
		Order:        known.order,
		State:        known.state,
		Elapsed:      now - known.began,
		TimeInState:  now - known.entered,
		Worse:        known.adverse,
		OldEndpoints: old,
		NewEndpoints: fresh,
		Results:      known.doubts.Results(),
	})
	if next == known.state {
		return nil
	}
	if known.due == 0 {
		known.due = now
		if next != promoter.RolledBack {
			known.due += time.Duration(rand.Int64N(int64(writeSpread)))
		}
	}
	if now < known.due {
		return nil
	}
	known.due = 0
	share := known.status.Share
	if known.state == promoter.Waiting {
		share = promoter.CanaryShare(old, o.settings.Load().Expose)
	}
	return o.write(known, next, share, now)
}

// write returns a write of a state on condition that nobody wrote before.
func (o *rollouts) write(known *rollout, next promoter.State, share float64, now time.Duration) func(context.Context) error {
	status := promoter.Status{
		Service:     known.order.Service,
		Target:      known.order.Target,
		OrderOffset: known.order.Offset,
		State:       next,
		Share:       share,
		FirstSeen:   time.Now().Add(known.began - now),
	}
	at := o.status.NextOffset()
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		key, value, err := o.process.Translator.EncodeStatus(status)
		if err != nil {
			return err
		}
		err = o.process.Status.AppendAt(ctx, key, value, at)
		if errors.Is(err, subscriber.ErrOffsetConflict) {
			return nil
		}
		if err == nil {
			o.logger.Info("progress of a roll-out written", "service", status.Service, "target", status.Target, "state", status.State.String(), "at", at)
		}
		return err
	}
}
