package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// reportsOf returns one report of each of a number of daemons.
func reportsOf(t *testing.T, daemons int) []subscriber.Record {
	t.Helper()
	var records []subscriber.Record
	for i := range daemons {
		value, err := proto.Marshal(&schema.RolloutReport{
			Service: "helper", Order: 7, Ttft: -1, At: durationpb.New(time.Second), Doubts: map[string]float64{fmt.Sprint("e", i%8): 0.001},
		})
		if err != nil {
			t.Fatalf("Marshal() got error %v, want nil", err)
		}
		records = append(records, subscriber.Record{Key: fmt.Sprint("entry-", i), Value: value})
	}
	return records
}

// TestWorkOnReportsGrowsWithTheirNumber guards against a large fleet whose daemons
// evaluate the reports of all others anew for each report of a page: the work would
// grow with the square of the fleet. It compares the bytes that are allocated, which
// hardly differ from run to run.
func TestWorkOnReportsGrowsWithTheirNumber(t *testing.T) {
	allocated := func(daemons int) uint64 {
		r := &Runner{logger: hclog.NewNullLogger()}
		r.deps.Clock = func() time.Duration { return time.Minute }
		r.tracker = tracker.New("ouse", rand.New(rand.NewPCG(1, 2)), time.Now, r.logger)
		m := &rolloutManager{Runner: r, statuses: map[string]promoter.Status{}, byService: map[string]*rolloutState{}, changed: make(chan struct{}, 1)}
		m.addOrder(promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Offset: 7})
		change := subscriber.Change{Records: reportsOf(t, daemons)}
		m.applyReports(change)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		m.applyReports(change)
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	const small, large = 30, 300
	if got, limit := allocated(large), 2*allocated(small)*large/small; got > limit {
		t.Errorf("bytes allocated for %d reports got %d, want at most %d, twice %d times those for %d", large, got, limit, large/small, small)
	}
}

// TestReportThatLogHasLost guards against evidence against a version that the other daemons never
// get, because the log has lost this daemon's report, and against reports of all daemons after a
// restore that has lost none.
func TestReportThatLogHasLost(t *testing.T) {
	rows := map[string]struct {
		// changes follow the report, whose record is own.
		changes func(own subscriber.Record) []subscriber.Change
		want    bool
	}{
		"nothing": {func(subscriber.Record) []subscriber.Change { return nil }, false},
		"kept by the log": {func(own subscriber.Record) []subscriber.Change {
			return []subscriber.Change{{Epoch: 1, Records: []subscriber.Record{own}}, {Epoch: 2}}
		}, false},
		"lost": {func(own subscriber.Record) []subscriber.Change {
			return []subscriber.Change{{Epoch: 1, Records: []subscriber.Record{own}}, {Epoch: 2, Lost: []string{own.Key}}}
		}, true},
		"lost before it was read": {func(subscriber.Record) []subscriber.Change { return []subscriber.Change{{Epoch: 2}} }, true},
		"lost, other reports are kept": {func(own subscriber.Record) []subscriber.Change {
			return []subscriber.Change{{Epoch: 1, Records: []subscriber.Record{own}}, {Epoch: 2, Lost: []string{"entry-2", own.Key}}}
		}, true},
		"reports of others are lost": {func(own subscriber.Record) []subscriber.Change {
			return []subscriber.Change{{Epoch: 1, Records: []subscriber.Record{own}}, {Epoch: 2, Lost: []string{"entry-2"}}}
		}, false},
		"lost, all keys are read again": {func(own subscriber.Record) []subscriber.Change {
			return []subscriber.Change{{Epoch: 1, Records: []subscriber.Record{own}}, {Epoch: 2, Complete: true}}
		}, true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			m := newTestManager(&now)
			orderStep{epoch: 1, order: promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: 1, Offset: 8}}.apply(m, &now)
			m.applyReports(subscriber.Change{Epoch: 1, Complete: true})
			rollout := m.byService["helper"]
			rollout.evidence.Add("e1", "chat", false)
			now += reportInterval
			if m.reportWrite(rollout, now) == nil {
				t.Fatal("reportWrite() got none after a bad result, want one")
			}
			for _, change := range row.changes(subscriber.Record{Key: m.reportKey, Value: []byte(rollout.lastReport), Epoch: 1}) {
				m.applyReports(change)
			}
			writes := 0
			for range 4 {
				now += reportInterval
				if m.reportWrite(rollout, now) != nil {
					writes++
				}
			}
			want := 0
			if row.want {
				want = 1
			}
			if writes != want {
				t.Errorf("reports after that got %d, want %d", writes, want)
			}
		})
	}
}

// appendTopic is a topic whose appends get a number of errors first. Those that are done keep their
// values, also one without a response.
type appendTopic struct {
	WritableTopic
	errors []error
	// done is set if an append with an error is done.
	done   bool
	values [][]byte
}

// Append implements WritableTopic.
func (a *appendTopic) Append(_ context.Context, _ string, value []byte) error {
	var err error
	if len(a.errors) > 0 {
		err, a.errors = a.errors[0], a.errors[1:]
	}
	if err == nil || a.done {
		a.values = append(a.values, value)
	}
	return err
}

// TestReportWhoseAppendFails guards against a report that is never written because its append
// failed: other daemons would move the sessions that it lists, and would lack its evidence.
func TestReportWhoseAppendFails(t *testing.T) {
	failed := errors.New("the log is away")
	rows := map[string]struct {
		errors []error
		done   bool
		// isBad is set if there is a bad result, and isOld if a session is on the old version.
		isBad, isOld bool
		want         int
	}{
		"nothing to report":                    {[]error{failed}, false, false, false, 0},
		"sessions, no error":                   {nil, false, false, true, 1},
		"sessions":                             {[]error{failed}, false, false, true, 1},
		"sessions, fails often":                {[]error{failed, failed, failed}, false, false, true, 1},
		"sessions, done without response":      {[]error{failed}, true, false, true, 2},
		"bad result, no error":                 {nil, false, true, false, 1},
		"bad result":                           {[]error{failed}, false, true, false, 1},
		"bad result and sessions, fails twice": {[]error{failed, failed}, false, true, true, 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			m := newTestManager(&now)
			topic := &appendTopic{errors: row.errors, done: row.done}
			m.deps.ResultsTopic = topic
			orderStep{epoch: 1, order: promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: 1, Offset: 8}}.apply(m, &now)
			rollout := m.byService["helper"]
			m.applyStatus(rollout, promoter.Status{Service: "helper", Target: "v2", OrderOffset: 8, State: promoter.Canary, Share: 1})
			if row.isOld {
				m.sessions.SetVersion("s1", "v1", time.Now())
			}
			if row.isBad {
				rollout.evidence.Add("e1", "chat", false)
			}
			for range 60 {
				now += decideInterval
				if write := m.reportWrite(rollout, now); write != nil {
					_ = write(t.Context())
				}
			}
			if len(topic.values) != row.want {
				t.Fatalf("reports in the log got %d, want %d", len(topic.values), row.want)
			}
			if row.want == 0 {
				return
			}
			report := &schema.RolloutReport{}
			if err := proto.Unmarshal(topic.values[len(topic.values)-1], report); err != nil {
				t.Fatalf("Unmarshal() got error %v, want nil", err)
			}
			if got := len(report.GetSessions()) == 1; got != row.isOld {
				t.Errorf("session listed: %t, want %t", got, row.isOld)
			}
			if got := len(report.GetDoubts()) == 1; got != row.isBad {
				t.Errorf("bad result reported: %t, want %t", got, row.isBad)
			}
		})
	}
}

// TestFailedReportIsNotRepeatedAtOnce guards against daemons that all write a report at each
// decision while the log is away.
func TestFailedReportIsNotRepeatedAtOnce(t *testing.T) {
	now := time.Hour
	m := newTestManager(&now)
	m.deps.ResultsTopic = &appendTopic{errors: slices.Repeat([]error{errors.New("the log is away")}, 100)}
	orderStep{epoch: 1, order: promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: 1, Offset: 8}}.apply(m, &now)
	rollout := m.byService["helper"]
	rollout.evidence.Add("e1", "chat", false)
	writes := 0
	for range 10 * reportInterval / decideInterval {
		now += decideInterval
		if write := m.reportWrite(rollout, now); write != nil {
			writes++
			_ = write(t.Context())
		}
	}
	if writes > 10 {
		t.Errorf("reports in 10 intervals got %d, want at most 10", writes)
	}
}

// TestReportsOnOrderThatMoved guards against evidence of other daemons that is dropped because they
// know the order at another offset, and against evidence on another version whose order got the
// offset of one that the log has lost.
func TestReportsOnOrderThatMoved(t *testing.T) {
	at := func(epoch uint64, offset int64) promoter.Order {
		return promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: epoch, Offset: offset}
	}
	lost := orderStep{epoch: 2, lost: true}
	rows := map[string]struct {
		steps  []orderStep
		target string
		order  int64
		want   bool
	}{
		"at the offset":                  {nil, "v2", 8, true},
		"at the offset, without target":  {nil, "", 8, true},
		"at the offset, another target":  {nil, "v3", 8, false},
		"at another offset":              {nil, "v2", 5, false},
		"lost, at the former offset":     {[]orderStep{lost}, "v2", 8, true},
		"lost, others have it again":     {[]orderStep{lost}, "v2", 5, true},
		"lost, another target":           {[]orderStep{lost}, "v3", 5, false},
		"written again, at its offset":   {[]orderStep{lost, {epoch: 2, order: at(2, 5)}}, "v2", 5, true},
		"written again, at the former":   {[]orderStep{lost, {epoch: 2, order: at(2, 5)}}, "v2", 8, true},
		"written again, another offset":  {[]orderStep{lost, {epoch: 2, order: at(2, 5)}}, "v2", 7, false},
		"written again, a newer one":     {[]orderStep{lost, {epoch: 2, order: at(2, 5)}, {epoch: 2, order: at(2, 9)}}, "v2", 5, false},
		"written again, another version": {[]orderStep{lost, {epoch: 2, order: at(2, 5)}}, "v3", 8, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			m := newTestManager(&now)
			orderStep{epoch: 1, order: at(1, 8)}.apply(m, &now)
			for _, step := range row.steps {
				step.apply(m, &now)
			}
			value, err := proto.Marshal(&schema.RolloutReport{Service: "helper", Order: row.order, Target: row.target, Doubts: map[string]float64{"e1": 1}})
			if err != nil {
				t.Fatalf("Marshal() got error %v, want nil", err)
			}
			m.applyReports(subscriber.Change{Records: []subscriber.Record{{Key: "entry-2", Value: value}}})
			if _, got := m.byService["helper"].peerEvidence["entry-2"]; got != row.want {
				t.Errorf("report applied: %t, want %t", got, row.want)
			}
		})
	}
}
