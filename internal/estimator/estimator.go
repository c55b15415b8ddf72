// Package estimator learns how good the answers of each version are from
// ratings that arrive late and for a part of the answers only.
package estimator

import (
	"math"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
)

const (
	// bins is the resolution of the distribution of ratings.
	bins = 20
	// priorWeight is how many ratings the declared quality counts for.
	priorWeight = 8
	// priorDeviation is the standard deviation that the declared quality is
	// taken to have.
	priorDeviation = 0.25
	// memory is the number of ratings after which a rating has lost most of its
	// weight, so that the estimate follows a version that changes.
	memory = 4000
	// accountMemory is the same for the ratings of an account's answers.
	accountMemory = 1000
	// boundWidth is the distance of the bounds from the mean in standard errors.
	boundWidth = 1
)

// Class groups requests of like difficulty.
type Class string

// Key names one estimate.
type Key struct {
	Version compiler.VersionID
	Class   Class
}

// Estimate is what is known of a version's ratings.
type Estimate struct {
	// Count is the number of ratings, with old ones counting less.
	Count float64
	Mean  float64
	// Lower and Upper bound the mean.
	Lower float64
	Upper float64
	// Histogram is the share of ratings in each of equal bins of [0, 1]; empty
	// when there are too few.
	Histogram []float64
}

// sample is the decayed sum of ratings.
type sample struct {
	count   float64
	sum     float64
	squares float64
	bins    [bins]float64
}

// add adds a rating that stands for weight answers; older ratings lose weight
// at a rate of one in memory.
func (s *sample) add(score, weight, memory float64) {
	keep := math.Pow(1-1/memory, weight)
	s.count = s.count*keep + weight
	s.sum = s.sum*keep + weight*score
	s.squares = s.squares*keep + weight*score*score
	for i := range s.bins {
		s.bins[i] *= keep
	}
	s.bins[min(bins-1, int(score*bins))] += weight
}

// estimate mixes the sample with the prior.
func (s *sample) estimate(prior float64) Estimate {
	count := s.count + priorWeight
	mean := (s.sum + priorWeight*prior) / count
	squares := s.squares + priorWeight*(prior*prior+priorDeviation*priorDeviation)
	variance := max(0, squares/count-mean*mean)
	margin := boundWidth * math.Sqrt(variance/count)
	estimate := Estimate{Count: s.count, Mean: mean, Lower: max(0, mean-margin), Upper: min(1, mean+margin)}
	if s.count >= minHistogram {
		estimate.Histogram = make([]float64, bins)
		for i, weight := range s.bins {
			estimate.Histogram[i] = weight / s.count
		}
	}
	return estimate
}

// minHistogram is the number of ratings below which no histogram is given.
const minHistogram = 20

// pair names a cascade.
type pair struct {
	first  compiler.VersionID
	second compiler.VersionID
}

// Table learns from ratings. It is not safe for concurrent use.
type Table struct {
	versions  map[Key]*sample
	escalated map[pair]*sample
	accounts  map[string]*sample
	outputs   map[compiler.VersionID]float64
	seconds   map[compiler.VersionID]float64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		versions:  map[Key]*sample{},
		escalated: map[pair]*sample{},
		accounts:  map[string]*sample{},
		outputs:   map[compiler.VersionID]float64{},
		seconds:   map[compiler.VersionID]float64{},
	}
}

// Observe adds the rating of an answer that was not chosen by an earlier
// rating.
func (t *Table) Observe(version compiler.VersionID, class Class, score float64) {
	get(t.versions, Key{version, class}).add(score, 1, memory)
}

// Escalate adds the rating of a cascade's second answer.
func (t *Table) Escalate(first, second compiler.VersionID, score float64) {
	get(t.escalated, pair{first, second}).add(score, 1, memory)
}

// Deliver adds the rating of an answer that an account got. The weight is the
// number of answers that it stands for: answers are rated with different
// probabilities, and without weights the often-rated ones would count for more.
func (t *Table) Deliver(account string, score, weight float64) {
	get(t.accounts, account).add(score, weight, accountMemory)
}

// Complete adds the length and duration of an answer.
func (t *Table) Complete(version compiler.VersionID, output int, took time.Duration) {
	smooth(t.outputs, version, float64(output))
	smooth(t.seconds, version, took.Seconds())
}

// smoothing is the weight of the newest observation in a moving average.
const smoothing = 0.05

func smooth(averages map[compiler.VersionID]float64, version compiler.VersionID, value float64) {
	known, ok := averages[version]
	if !ok {
		averages[version] = value
		return
	}
	averages[version] = known + smoothing*(value-known)
}

func get[K comparable](samples map[K]*sample, key K) *sample {
	known := samples[key]
	if known == nil {
		known = &sample{}
		samples[key] = known
	}
	return known
}

// View is an immutable copy of the table.
type View struct {
	versions  map[Key]sample
	escalated map[pair]sample
	accounts  map[string]sample
	outputs   map[compiler.VersionID]float64
	seconds   map[compiler.VersionID]float64
}

// View returns a copy for readers.
func (t *Table) View() *View {
	return &View{
		versions:  clone(t.versions),
		escalated: clone(t.escalated),
		accounts:  clone(t.accounts),
		outputs:   copyMap(t.outputs),
		seconds:   copyMap(t.seconds),
	}
}

func clone[K comparable](samples map[K]*sample) map[K]sample {
	copied := make(map[K]sample, len(samples))
	for key, known := range samples {
		copied[key] = *known
	}
	return copied
}

func copyMap[K comparable, V any](from map[K]V) map[K]V {
	copied := make(map[K]V, len(from))
	for key, value := range from {
		copied[key] = value
	}
	return copied
}

// Quality returns the estimate of a version for a class of requests.
func (v *View) Quality(version *compiler.Version, class Class) Estimate {
	known := v.versions[Key{version.ID, class}]
	return known.estimate(version.PriorRating)
}

// Escalated returns the estimate of a cascade's second answers. The prior is
// the second version's mean, less what requests that the first version failed
// tend to lose.
func (v *View) Escalated(first, second compiler.VersionID, prior float64) Estimate {
	known := v.escalated[pair{first, second}]
	return known.estimate(prior * escalationPrior)
}

// escalationPrior scales down the second version's mean for requests that the
// first version failed, before any such answer was rated.
const escalationPrior = 0.92

// Delivered returns the mean rating that an account got and the number of
// ratings behind it.
func (v *View) Delivered(account string) (mean, count float64) {
	known := v.accounts[account]
	if known.count == 0 {
		return 0, 0
	}
	return known.sum / known.count, known.count
}

// defaultOutput is the number of output tokens expected of a version that has
// answered nothing yet.
const defaultOutput = 150

// Output returns the expected number of output tokens.
func (v *View) Output(version compiler.VersionID) float64 {
	if known, ok := v.outputs[version]; ok {
		return known
	}
	return defaultOutput
}

// defaultSeconds is the time expected of a version that has answered nothing.
const defaultSeconds = 3

// Seconds returns the expected time of an answer.
func (v *View) Seconds(version compiler.VersionID) float64 {
	if known, ok := v.seconds[version]; ok {
		return known
	}
	return defaultSeconds
}
