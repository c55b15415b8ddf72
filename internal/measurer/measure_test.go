package measurer_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/measurer"
	"quetzalgrade.example/quetzalgrade/internal/router"
)

// seedCount returns the number of seeds: the value of MEASURE_SEEDS, which
// `make measure` sets, or one if it is not set, as in CI.
func seedCount(t *testing.T) int {
	t.Helper()
	text := os.Getenv("MEASURE_SEEDS")
	if text == "" {
		return 1
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 {
		t.Fatalf("MEASURE_SEEDS got %q, want a positive integer", text)
	}
	return count
}

// isFullMeasurement reports whether this is a full measurement rather than the
// short run in CI.
func isFullMeasurement() bool { return os.Getenv("MEASURE_SEEDS") != "" }

// measureSeeds runs a measurement in virtual time with each seed, up to six at
// once.
func measureSeeds[R any](t *testing.T, count int, measure func(ctx context.Context, seed uint64) (R, error)) []R {
	t.Helper()
	results := make([]R, count)
	slots := make(chan struct{}, 6)
	var group sync.WaitGroup
	for i := range count {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			synctest.Test(t, func(t *testing.T) {
				result, err := measure(t.Context(), uint64(i+1))
				if err != nil {
					t.Errorf("seed %d got error %v, want nil", i+1, err)
				}
				results[i] = result
			})
		})
	}
	group.Wait()
	return results
}

func spreadOver[R any](results []R, value func(R) float64) measurer.Spread {
	var values []float64
	for _, result := range results {
		values = append(values, value(result))
	}
	return measurer.NewSpread(values)
}

// writeTable logs a table and, if MEASURE_OUT names a directory, also writes it
// to a file there that is named after the title.
func writeTable(t *testing.T, table measurer.Table) {
	t.Helper()
	t.Log("\n" + table.Markdown())
	dir := os.Getenv("MEASURE_OUT")
	if dir == "" {
		return
	}
	name := strings.ReplaceAll(strings.ToLower(table.Title), " ", "-") + ".md"
	if err := os.WriteFile(filepath.Join(dir, name), []byte(table.Markdown()), 0o600); err != nil {
		t.Fatalf("write table: %v", err)
	}
}

var accountsByDeployment = map[string][]string{
	"derwent": {"valley-growers", "rota-office", "school-gardens"},
	"mekong":  {"can-tho-depot", "booking-staff", "safety-line"},
}

func TestMeasureCost(t *testing.T) {
	variants := []struct {
		name    string
		options router.Options
	}{
		{"full", router.Options{}},
		{"without cascades", router.Options{NoCascade: true}},
		{"dearest always", router.Options{Baseline: router.BaselineMostExpensive}},
		{"cheapest always", router.Options{Baseline: router.BaselineCheapest}},
		{"fixed split", router.Options{Baseline: router.BaselineRandom}},
	}
	table := measurer.Table{
		Title:   "Cost at the quality target",
		Note:    "Cost relative to an oracle that knows each request's rating on each version; the largest shortfall of an account's mean rating below its target, in points of 100; time to the end.",
		Columns: []string{"deployment", "choice", "cost / oracle", "shortfall", "p50", "failed"},
	}
	warmUp, measured := 20*time.Second, 20*time.Second
	if isFullMeasurement() {
		warmUp, measured = 80*time.Second, 240*time.Second
	}
	for _, deployment := range []string{"derwent", "mekong"} {
		for _, variant := range variants {
			results := measureSeeds(t, seedCount(t), func(ctx context.Context, seed uint64) (measurer.CostResult, error) {
				config := measurer.SimulationConfig{Deployment: deployment, Seed: seed, Router: variant.options}
				return measurer.MeasureCost(ctx, config, accountsByDeployment[deployment], 8, warmUp, measured)
			})
			table.Rows = append(table.Rows, []string{
				deployment, variant.name,
				spreadOver(results, func(r measurer.CostResult) float64 { return r.Ratio }).Format("%.2f"),
				spreadOver(results, func(r measurer.CostResult) float64 { return 100 * r.Shortfall }).Format("%.1f"),
				spreadOver(results, func(r measurer.CostResult) float64 { return r.Median.Seconds() }).Format("%.2f s"),
				fmt.Sprint(spreadOver(results, func(r measurer.CostResult) float64 { return float64(r.Failed) }).Median),
			})
		}
	}
	writeTable(t, table)
	if !slices.ContainsFunc(table.Rows, func(row []string) bool { return row[1] == "full" }) {
		t.Error("got no row of the full choice, want at least one")
	}
}
