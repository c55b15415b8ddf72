package reserver_test

import (
	"testing"

	"pgregory.net/rapid"

	"quetzalgrade.example/quetzalgrade/internal/reserver"
)

// TestBudget guards against holders that together get more than the budget, against memory
// that is never given back, and against large holders that leave nothing for small ones.
func TestBudget(t *testing.T) {
	const mib = 1 << 20
	rows := map[string]struct {
		// reserve holds the sizes that are reserved one after the other.
		reserve []int64
		want    []bool
	}{
		"within the budget":          {[]int64{mib, mib}, []bool{true, true}},
		"large ones leave a quarter": {[]int64{3 * mib, mib, 1000}, []bool{true, false, true}},
		"small ones use all":         {[]int64{3 * mib, 64 << 10, 64 << 10}, []bool{true, true, true}},
		"larger than the budget":     {[]int64{5 * mib}, []bool{false}},
		"nothing":                    {[]int64{0}, []bool{true}},
		"as large as an integer":     {[]int64{1<<63 - 1, 1}, []bool{false, true}},
		"after one that did not fit": {[]int64{2 * mib, 2 * mib, mib}, []bool{true, false, true}},
		"nothing left for a small one": {[]int64{3 * mib, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 64 << 10, 1},
			[]bool{true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, true, false}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			budget := reserver.NewBudget(4 * mib)
			var all []*reserver.Reservation
			for i, bytes := range row.reserve {
				reservation := budget.NewReservation()
				if got := reservation.Grow(bytes); got != row.want[i] {
					t.Errorf("Grow(%d) got %t, want %t", bytes, got, row.want[i])
				}
				all = append(all, reservation)
			}
			for _, reservation := range all {
				reservation.Release()
			}
			if got := budget.Used(); got != 0 {
				t.Errorf("Used() after all releases got %d, want 0", got)
			}
		})
	}
}

// TestBudgetIsNeverExceeded guards against sequences of growth and release after which more is
// reserved than the budget, or another number than the holders have.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1 << 20
		budget := reserver.NewBudget(total)
		reservations := make([]*reserver.Reservation, 4)
		held := make([]int64, len(reservations))
		for i := range reservations {
			reservations[i] = budget.NewReservation()
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(reservations)-1).Draw(t, "holder")
			if rapid.Bool().Draw(t, "shrink") {
				bytes := rapid.Int64Range(0, total).Draw(t, "rest")
				reservations[i].Shrink(bytes)
				held[i] = min(held[i], bytes)
			} else if bytes := rapid.Int64Range(0, 2*total).Draw(t, "bytes"); reservations[i].Grow(bytes) {
				held[i] = max(held[i], bytes)
			}
			var sum int64
			for _, bytes := range held {
				sum += bytes
			}
			if got := budget.Used(); got != sum || got > total {
				t.Fatalf("Used() got %d, want %d and at most %d", got, sum, total)
			}
		}
	})
}

// TestOptionalReservations guards against requests that are refused because many small holders have
// taken memory that they can do without.
func TestOptionalReservations(t *testing.T) {
	const total = 4 << 20
	budget := reserver.NewBudget(total)
	for range 1000 {
		budget.NewOptionalReservation().Grow(20 << 10)
	}
	if got := budget.Used(); got > total*3/4 {
		t.Errorf("Used() by optional reservations got %d, want at most %d", got, total*3/4)
	}
	if !budget.NewReservation().Grow(64 << 10) {
		t.Errorf("Grow() beside optional reservations got false, want true")
	}
}
