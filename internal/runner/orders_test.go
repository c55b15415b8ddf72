package runner

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"quetzalgrade.example/quetzalgrade/internal/promoter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

// newTestManager returns a manager without a daemon, whose clock is at now.
func newTestManager(now *time.Duration) *rolloutManager {
	r := &Runner{logger: hclog.NewNullLogger()}
	r.settings.Store(&Settings{Name: "entry-1", ExposureShare: 0.15, SessionTimeout: time.Second})
	r.deps.Clock = func() time.Duration { return *now }
	r.tracker = tracker.New("ouse", rand.New(rand.NewPCG(1, 2)), time.Now, r.logger)
	return newRolloutManager(r)
}

// ordered returns a change of the operators' topic in an epoch, which has lost the orders of some
// services, as the manager gets it.
func ordered(epoch subscriber.Epoch, lost []string, orders ...promoter.Order) (subscriber.Change, []operatorRecord, []operatorRecord) {
	var records, withdrawals []operatorRecord
	for _, order := range orders {
		records = append(records, operatorRecord{OperatorRecord{Order: &order}, order.Offset, subscriber.Epoch(order.Epoch)})
	}
	for _, service := range lost {
		withdrawals = append(withdrawals, operatorRecord{OperatorRecord{WithdrawnService: service}, 0, 0})
	}
	return subscriber.Change{Epoch: epoch}, records, withdrawals
}

// orderStep is a step of a test: a change with an order, a withdrawal, or only the new epoch.
type orderStep struct {
	epoch    subscriber.Epoch
	order    promoter.Order
	lost     bool
	withdraw bool
	// after is the time since the last step.
	after time.Duration
}

func (s orderStep) apply(m *rolloutManager, now *time.Duration) {
	*now += s.after
	var lost []string
	if s.lost {
		lost = []string{"helper"}
	}
	var orders []promoter.Order
	if s.order.Service != "" {
		orders = append(orders, s.order)
	}
	change, records, withdrawals := ordered(s.epoch, lost, orders...)
	m.enterEpoch(change, records, withdrawals)
	switch {
	case s.withdraw:
		m.removeOrder("helper")
	case s.order.Service != "":
		m.addOrder(s.order)
	}
}

// TestOrderAfterRestoreOfLog guards against a rollout that starts anew, and exposes sessions to a
// version that was rolled back, because its order was written again at another offset, and against
// a new order that is ignored because it got the offset of one that the log has lost.
func TestOrderAfterRestoreOfLog(t *testing.T) {
	at := func(epoch uint64, offset int64) promoter.Order {
		return promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: epoch, Offset: offset}
	}
	changed := func(order promoter.Order, change func(*promoter.Order)) promoter.Order {
		change(&order)
		return order
	}
	toV3 := func(order *promoter.Order) { order.Target = "v3" }
	longer := func(order *promoter.Order) { order.Duration *= 2 }
	rows := map[string]struct {
		// steps follow the roll-back of the order at offset 8 of epoch 1.
		steps []orderStep
		want  promoter.State
		// wantOrder is the order at the end, or the zero value if there is none.
		wantOrder promoter.Order
	}{
		"read twice":                 {[]orderStep{{epoch: 1, order: at(1, 8)}}, promoter.RolledBack, at(1, 8)},
		"ordered again":              {[]orderStep{{epoch: 1, order: at(1, 9)}}, promoter.Waiting, at(1, 9)},
		"an older order":             {[]orderStep{{epoch: 1, order: changed(at(1, 3), toV3)}}, promoter.RolledBack, at(1, 8)},
		"lost":                       {[]orderStep{{epoch: 2, lost: true}}, promoter.RolledBack, at(1, 8)},
		"written again below":        {[]orderStep{{epoch: 2, lost: true}, {epoch: 2, order: at(2, 5)}}, promoter.RolledBack, at(2, 5)},
		"written again above":        {[]orderStep{{epoch: 2, lost: true}, {epoch: 2, order: at(2, 11)}}, promoter.RolledBack, at(2, 11)},
		"written again at the same":  {[]orderStep{{epoch: 2, lost: true}, {epoch: 2, order: at(2, 8)}}, promoter.RolledBack, at(2, 8)},
		"written again before":       {[]orderStep{{epoch: 2, order: at(2, 5)}}, promoter.RolledBack, at(2, 5)},
		"written again, then anew":   {[]orderStep{{epoch: 2, lost: true}, {epoch: 2, order: at(2, 5)}, {epoch: 2, order: at(2, 6)}}, promoter.Waiting, at(2, 6)},
		"lost twice":                 {[]orderStep{{epoch: 2, lost: true}, {epoch: 3, lost: true}, {epoch: 3, order: at(3, 4)}}, promoter.RolledBack, at(3, 4)},
		"another target, same place": {[]orderStep{{epoch: 2, lost: true}, {epoch: 2, order: changed(at(2, 8), toV3)}}, promoter.Waiting, changed(at(2, 8), toV3)},
		"another duration":           {[]orderStep{{epoch: 2, lost: true}, {epoch: 2, order: changed(at(2, 8), longer)}}, promoter.Waiting, changed(at(2, 8), longer)},
		"kept by the log":            {[]orderStep{{epoch: 2}, {epoch: 2, order: at(2, 8)}}, promoter.RolledBack, at(2, 8)},
		"kept, then ordered again":   {[]orderStep{{epoch: 2}, {epoch: 2, order: at(2, 9)}}, promoter.Waiting, at(2, 9)},
		"a record of before":         {[]orderStep{{epoch: 2, lost: true}, {epoch: 2, order: at(2, 5)}, {epoch: 2, order: at(1, 8)}}, promoter.RolledBack, at(2, 5)},
		"withdrawn":                  {[]orderStep{{epoch: 1, withdraw: true}}, promoter.Waiting, promoter.Order{}},
		"withdrawn and ordered":      {[]orderStep{{epoch: 1, withdraw: true}, {epoch: 1, order: at(1, 10)}}, promoter.Waiting, at(1, 10)},
		"withdrawal lost":            {[]orderStep{{epoch: 1, withdraw: true}, {epoch: 2}, {epoch: 2, order: at(2, 8)}}, promoter.RolledBack, at(2, 8)},
		"withdrawal lost for long":   {[]orderStep{{epoch: 1, withdraw: true}, {epoch: 2}, {epoch: 2, order: at(2, 8), after: time.Hour}}, promoter.RolledBack, at(2, 8)},
		"both written again":         {[]orderStep{{epoch: 1, withdraw: true}, {epoch: 2}, {epoch: 2, order: at(2, 5), after: time.Second}}, promoter.RolledBack, at(2, 5)},
		"withdrawn, ordered later":   {[]orderStep{{epoch: 1, withdraw: true}, {epoch: 2}, {epoch: 2, order: at(2, 12), after: time.Minute}}, promoter.Waiting, at(2, 12)},
		"replaced, the next is lost": {[]orderStep{{epoch: 1, order: changed(at(1, 9), toV3)}, {epoch: 2, lost: true}, {epoch: 2, order: at(2, 8), after: time.Minute}}, promoter.RolledBack, at(2, 8)},
		"replaced, both lost":        {[]orderStep{{epoch: 1, order: changed(at(1, 9), toV3)}, {epoch: 2, lost: true}, {epoch: 2, order: at(2, 5)}}, promoter.RolledBack, at(2, 5)},
		"shows for a while":          {[]orderStep{{epoch: 2, lost: true}, {epoch: 2, order: changed(at(2, 2), toV3)}, {epoch: 2, order: at(2, 4)}}, promoter.RolledBack, at(2, 4)},
		"replaced, ordered again":    {[]orderStep{{epoch: 1, order: changed(at(1, 9), toV3)}, {epoch: 1, order: at(1, 10)}}, promoter.Waiting, at(1, 10)},
		"replaced, ordered later":    {[]orderStep{{epoch: 1, order: changed(at(1, 9), toV3)}, {epoch: 2}, {epoch: 2, order: at(2, 12), after: time.Minute}}, promoter.Waiting, at(2, 12)},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			m := newTestManager(&now)
			orderStep{epoch: 1, order: at(1, 8)}.apply(m, &now)
			m.applyStatus(m.byService["helper"], promoter.Status{Service: "helper", Target: "v2", OrderOffset: 8, State: promoter.RolledBack})
			for _, step := range row.steps {
				step.apply(m, &now)
			}
			rollout := m.byService["helper"]
			if row.wantOrder == (promoter.Order{}) {
				if rollout != nil {
					t.Errorf("rollout got %+v, want none", rollout.order)
				}
				return
			}
			if rollout == nil {
				t.Fatalf("rollout got none, want one of %+v", row.wantOrder)
			}
			if rollout.state != row.want || rollout.order.Offset != row.wantOrder.Offset || rollout.order.Target != row.wantOrder.Target || rollout.order.Duration != row.wantOrder.Duration {
				t.Errorf("rollout got %v of %+v, want %v of %+v", rollout.state, rollout.order, row.want, row.wantOrder)
			}
		})
	}
}

// TestMissingOrders guards against a rollout that goes on although all records of the operators'
// topic hold no order of it, and against one that ends because a lagging peer has yet to read it.
func TestMissingOrders(t *testing.T) {
	at := func(epoch uint64, offset int64) promoter.Order {
		return promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: epoch, Offset: offset}
	}
	rows := map[string]struct {
		order promoter.Order
		// records are the orders of a change.
		records    []promoter.Order
		epoch      subscriber.Epoch
		next       int64
		incomplete bool
		want       []string
	}{
		"missing":                 {order: at(1, 8), epoch: 1, next: 9, want: []string{"helper"}},
		"missing after a restore": {order: at(1, 8), epoch: 2, next: 4, want: []string{"helper"}},
		// Nothing is compared.
		"missing, the log has no epochs": {order: at(0, 8), next: 9},
		"held":                           {order: at(1, 8), records: []promoter.Order{at(1, 8)}, epoch: 1, next: 9},
		"held by a peer as lost":         {order: at(1, 8), records: []promoter.Order{at(1, 8)}, epoch: 2, next: 4},
		"replaced":                       {order: at(1, 8), records: []promoter.Order{at(1, 9)}, epoch: 1, next: 10},
		"not reached":                    {order: at(1, 8), epoch: 1, next: 8},
		"of a later epoch":               {order: at(2, 3), epoch: 1, next: 9},
		"lost, the hold has not ended":   {order: at(1, 8), epoch: 2, next: 4, incomplete: true},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			m := newTestManager(&now)
			orderStep{epoch: subscriber.Epoch(row.order.Epoch), order: row.order}.apply(m, &now)
			_, records, _ := ordered(row.epoch, nil, row.records...)
			change := subscriber.Change{Complete: !row.incomplete, Epoch: row.epoch, Next: row.next}
			if got := m.missingOrders(change, records); !slices.Equal(got, row.want) {
				t.Errorf("missingOrders() got %v, want %v", got, row.want)
			}
		})
	}
}

// TestHoldOfOldOrders guards against a state that a daemon writes at once for an order that was
// withdrawn before it started and that the restored log shows again.
func TestHoldOfOldOrders(t *testing.T) {
	rows := map[string]struct {
		// changes come before the one with the order, which is the last.
		changes []subscriber.Change
		want    bool
	}{
		"all records":             {[]subscriber.Change{{Complete: true, Epoch: 1}}, true},
		"a page":                  {[]subscriber.Change{{Complete: true, Epoch: 1}, {Epoch: 1}}, false},
		"first after a restore":   {[]subscriber.Change{{Complete: true, Epoch: 1}, {Epoch: 2}}, true},
		"second after a restore":  {[]subscriber.Change{{Complete: true, Epoch: 1}, {Epoch: 2}, {Epoch: 2}}, false},
		"at the end of the hold":  {[]subscriber.Change{{Complete: true, Epoch: 1}, {Epoch: 2}, {Complete: true, Epoch: 2}}, true},
		"a page of before":        {[]subscriber.Change{{Complete: true, Epoch: 1}, {Epoch: 2}, {Epoch: 1}}, false},
		"the log names its epoch": {[]subscriber.Change{{Complete: true}, {Epoch: 1}}, false},
		"the log names no epoch":  {[]subscriber.Change{{Complete: true}, {}}, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			m := newTestManager(&now)
			for _, change := range row.changes {
				m.enterEpoch(change, nil, nil)
			}
			order := promoter.Order{Service: "helper", Target: "v2", Duration: time.Minute, Epoch: uint64(m.epoch), Offset: 8}
			m.addOrder(order)
			want := time.Duration(0)
			if row.want {
				want = now + lateHold
			}
			if got := m.byService["helper"].decideFrom; got != want {
				t.Errorf("states are written from %v on, want %v", got, want)
			}
		})
	}
}
