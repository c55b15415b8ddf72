package runner

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
)

// statusTranslator decodes statuses that are written as JSON.
type statusTranslator struct{ Translator }

func (statusTranslator) DecodeStatus(record subscriber.Record) (promoter.Status, error) {
	service, found := strings.CutPrefix(record.Key, "rollout/")
	if !found {
		return promoter.Status{}, errors.Errorf("unknown key %q", record.Key)
	}
	status := promoter.Status{Service: service}
	if len(record.Value) == 0 {
		return status, nil
	}
	return status, json.Unmarshal(record.Value, &status)
}

// statusRecord returns the record of a status of the helper service's order at an offset.
func statusRecord(t *testing.T, epoch subscriber.Epoch, offset, order int64, state promoter.State) subscriber.Record {
	t.Helper()
	value, err := json.Marshal(promoter.Status{Service: "helper", Target: "v2", OrderOffset: order, OrderDuration: time.Minute, State: state, FirstSeen: time.Now()})
	if err != nil {
		t.Fatalf("Marshal() got error %v, want nil", err)
	}
	return subscriber.Record{Key: "rollout/helper", Value: value, Offset: offset, Epoch: epoch}
}

// TestStatusThatLogLacks guards against a state that nobody writes again although the log has lost
// it, or although a daemon that did not know it has written an earlier one, against one that is
// written without need, and against a completed rollout that is rolled back.
func TestStatusThatLogLacks(t *testing.T) {
	lostKey := []string{"rollout/helper"}
	order := func(epoch uint64, offset int64) promoter.Order {
		return promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: epoch, Offset: offset}
	}
	rows := map[string]struct {
		// state is the first state that the log shows, in epoch 1.
		state   promoter.State
		changes func(t *testing.T) []subscriber.Change
		// lostOrder is set if the log has lost the order, rewritten is the order at the end.
		lostOrder bool
		rewritten promoter.Order
		// then follows that.
		then      func(t *testing.T) subscriber.Change
		want      promoter.State
		wantLacks bool
	}{
		"in the log":      {state: promoter.RolledBack, want: promoter.RolledBack},
		"not begun":       {want: promoter.Waiting},
		"kept by the log": {state: promoter.Completed, changes: func(*testing.T) []subscriber.Change { return []subscriber.Change{{Epoch: 2, Next: 9}} }, want: promoter.Completed},
		"roll-back lost":  {state: promoter.RolledBack, changes: func(*testing.T) []subscriber.Change { return []subscriber.Change{{Epoch: 2, Next: 3, Lost: lostKey}} }, want: promoter.RolledBack, wantLacks: true},
		"canary lost":     {state: promoter.Canary, changes: func(*testing.T) []subscriber.Change { return []subscriber.Change{{Epoch: 2, Next: 3, Lost: lostKey}} }, want: promoter.Canary, wantLacks: true},
		"lost for good":   {state: promoter.Completed, changes: func(*testing.T) []subscriber.Change { return []subscriber.Change{{Epoch: 2, Complete: true}} }, want: promoter.Completed, wantLacks: true},
		"lost, older in log": {state: promoter.Completed, changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Complete: true, Records: []subscriber.Record{statusRecord(t, 2, 1, 8, promoter.Canary)}}}
		}, want: promoter.Completed, wantLacks: true},
		"lost, written again": {state: promoter.Full, changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Lost: lostKey}, {Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 8, promoter.Full)}}}
		}, want: promoter.Full},
		"lost, gone on": {state: promoter.Full, changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Lost: lostKey}, {Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 8, promoter.Completed)}}}
		}, want: promoter.Completed},
		"lost, a daemon that did not know began anew": {state: promoter.RolledBack, changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Lost: lostKey}, {Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 8, promoter.Canary)}}}
		}, want: promoter.RolledBack, wantLacks: true},
		"lost, a daemon that did not know rolled back": {state: promoter.Completed, changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Lost: lostKey}, {Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 8, promoter.RolledBack)}}}
		}, want: promoter.Completed, wantLacks: true},
		"rolled back without knowing": {state: promoter.RolledBack, changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 1, Records: []subscriber.Record{statusRecord(t, 1, 9, 8, promoter.Completed)}}}
		}, want: promoter.Completed},
		"another order follows": {state: promoter.RolledBack, changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 1, Records: []subscriber.Record{statusRecord(t, 1, 9, 11, promoter.Canary)}}}
		}, want: promoter.RolledBack},
		"only a peer knows": {changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Complete: true, Records: []subscriber.Record{statusRecord(t, 1, 9, 8, promoter.Full)}}, {Epoch: 2, Lost: lostKey}}
		}, want: promoter.Full, wantLacks: true},
		"only a peer knows, at once": {changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Complete: true, Records: []subscriber.Record{statusRecord(t, 1, 9, 8, promoter.Full)}}}
		}, want: promoter.Full, wantLacks: true},
		"order lost, too": {state: promoter.RolledBack, lostOrder: true, changes: func(*testing.T) []subscriber.Change { return []subscriber.Change{{Epoch: 2, Lost: lostKey}} }, want: promoter.RolledBack},
		"order lost, others have it again": {state: promoter.RolledBack, lostOrder: true, changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Lost: lostKey}, {Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 6, promoter.RolledBack)}}}
		}, want: promoter.RolledBack},
		"order written again": {state: promoter.RolledBack, lostOrder: true, rewritten: order(2, 6), changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Lost: lostKey}, {Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 8, promoter.RolledBack)}}}
		}, want: promoter.RolledBack, wantLacks: true},
		"order and status written again": {state: promoter.RolledBack, lostOrder: true, rewritten: order(2, 6), changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Lost: lostKey}, {Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 6, promoter.RolledBack)}}}
		}, want: promoter.RolledBack},
		"order written again, a daemon goes on at the former": {state: promoter.Canary, lostOrder: true, rewritten: order(2, 6), then: func(t *testing.T) subscriber.Change {
			return subscriber.Change{Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 8, promoter.Full)}}
		}, want: promoter.Full, wantLacks: true},
		"order written again after its next state": {state: promoter.Full, lostOrder: true, rewritten: order(2, 6), changes: func(t *testing.T) []subscriber.Change {
			return []subscriber.Change{{Epoch: 2, Lost: lostKey}, {Epoch: 2, Records: []subscriber.Record{statusRecord(t, 2, 4, 6, promoter.Completed)}}}
		}, want: promoter.Completed},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			m := newTestManager(&now)
			m.deps.Translator = statusTranslator{}
			orderStep{epoch: 1, order: order(1, 8)}.apply(m, &now)
			first := subscriber.Change{Epoch: 1, Complete: true}
			if row.state != promoter.Waiting {
				first.Records = []subscriber.Record{statusRecord(t, 1, 5, 8, row.state)}
			}
			m.applyStatuses(first)
			if row.lostOrder {
				orderStep{epoch: 2, lost: true}.apply(m, &now)
			}
			if row.changes != nil {
				for _, change := range row.changes(t) {
					m.applyStatuses(change)
				}
			}
			if row.rewritten.Service != "" {
				orderStep{epoch: 2, order: row.rewritten}.apply(m, &now)
			}
			if row.then != nil {
				m.applyStatuses(row.then(t))
			}
			rollout := m.byService["helper"]
			if got := m.logLacks(rollout); rollout.state != row.want || got != row.wantLacks {
				t.Errorf("rollout got %v, the log lacks it: %t, want %v, %t", rollout.state, got, row.want, row.wantLacks)
			}
		})
	}
}

// TestDaemonsAgreeOnStatusAfterRestore guards against daemons that write different states of a
// rollout over each other without end after the log has lost some: whatever each of them knows, and
// in whatever order they read and write, the latest state prevails, after few writes.
func TestDaemonsAgreeOnStatusAfterRestore(t *testing.T) {
	const (
		maxDaemons = 5
		before     = 8
		after      = 5
	)
	lost := promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: 1, Offset: before}
	again := lost
	again.Epoch, again.Offset = 2, after
	rapid.Check(t, func(r *rapid.T) {
		now := time.Hour
		states := rapid.SliceOfN(rapid.SampledFrom([]promoter.State{promoter.Waiting, promoter.Canary, promoter.Full, promoter.Completed, promoter.RolledBack}), 1, maxDaemons).Draw(r, "states")
		latest := promoter.Waiting
		var daemons []*rolloutManager
		for _, state := range states {
			m := newTestManager(&now)
			m.deps.Translator = statusTranslator{}
			orderStep{epoch: 1, order: lost}.apply(m, &now)
			if state != promoter.Waiting {
				m.applyStatuses(subscriber.Change{Epoch: 1, Records: []subscriber.Record{statusRecord(t, 1, 5, before, state)}})
			}
			orderStep{epoch: 2, lost: true}.apply(m, &now)
			m.applyStatuses(subscriber.Change{Epoch: 2, Lost: []string{"rollout/helper"}})
			if state.Supersedes(latest) {
				latest = state
			}
			daemons = append(daemons, m)
		}
		var log []subscriber.Record
		read := make([]int, len(daemons))
		catchUp := func(i int) {
			daemons[i].applyStatuses(subscriber.Change{Epoch: 2, Records: log[read[i]:]})
			read[i] = len(log)
		}
		// act lets a daemon write what the log lacks by what it has read. The log refuses the write
		// if it has grown since.
		act := func(i int) {
			rollout := daemons[i].byService["helper"]
			if daemons[i].logLacks(rollout) && read[i] == len(log) {
				log = append(log, statusRecord(t, 2, int64(len(log)), rollout.order.Offset, rollout.state))
			}
		}
		for range rapid.IntRange(0, 40).Draw(r, "steps") {
			i := rapid.IntRange(0, len(daemons)-1).Draw(r, "daemon")
			switch rapid.IntRange(0, 2).Draw(r, "action") {
			case 0:
				catchUp(i)
			case 1:
				act(i)
			default:
				orderStep{epoch: 2, order: again}.apply(daemons[i], &now)
			}
		}
		for range daemons {
			for i := range daemons {
				orderStep{epoch: 2, order: again}.apply(daemons[i], &now)
				catchUp(i)
				act(i)
			}
		}
		for i, m := range daemons {
			catchUp(i)
			if got := m.byService["helper"].state; got != latest || m.logLacks(m.byService["helper"]) {
				r.Errorf("daemon %d: state got %v, the log lacks it: %t, want %v and false", i, got, m.logLacks(m.byService["helper"]), latest)
			}
		}
		// Each daemon may write what it knows before and after it reads the order again.
		if got, limit := len(log), 2*len(daemons); got > limit {
			r.Errorf("writes got %d of %d daemons, want at most %d", got, len(daemons), limit)
		}
	})
}

// TestActiveWhileLogLacksState guards against a final state that nobody writes again because the
// daemon does not follow the status topic any more.
func TestActiveWhileLogLacksState(t *testing.T) {
	inLog := subscriber.Change{Epoch: 1, Complete: true, Records: []subscriber.Record{statusRecord(t, 1, 5, 8, promoter.Completed)}}
	rows := map[string]struct {
		changes []subscriber.Change
		want    bool
	}{
		"not begun":            {nil, true},
		"final, in the log":    {[]subscriber.Change{inLog}, false},
		"final, lost":          {[]subscriber.Change{inLog, {Epoch: 2, Lost: []string{"rollout/helper"}}}, true},
		"final, lost for good": {[]subscriber.Change{inLog, {Epoch: 2, Complete: true}}, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			m := newTestManager(&now)
			m.deps.Translator = statusTranslator{}
			orderStep{epoch: 1, order: promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: 1, Offset: 8}}.apply(m, &now)
			for _, change := range row.changes {
				m.applyStatuses(change)
			}
			// The restore was long ago.
			now += time.Hour
			if got := m.hasActive(); got != row.want {
				t.Errorf("hasActive() got %t, want %t", got, row.want)
			}
		})
	}
}
