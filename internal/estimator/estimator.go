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
	histogramBins = 20
	// priorWeight is how many ratings the declared quality counts for.
	priorWeight = 8
	// priorDeviation is the standard deviation that the declared quality is
	// taken to have.
	priorDeviation = 0.25
	// memory is the number of ratings after which a rating has lost most of its
	// weight, so that the estimate follows a version that changes.
	versionMemoryRatings = 4000
	// accountMemory is the same for the ratings of an account's answers.
	accountMemoryRatings = 1000
	// boundWidth is the distance of the bounds from the mean in standard errors.
	boundStandardErrors = 1
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
type ratingStats struct {
	count   float64
	sum     float64
	squares float64
	bins    [histogramBins]float64
}

// add adds a rating that stands for weight answers; older ratings lose weight
// at a rate of one in memory.
func (s *ratingStats) add(score, weight, memoryRatings float64) {
	decay := math.Pow(1-1/memoryRatings, weight)
	s.count = s.count*decay + weight
	s.sum = s.sum*decay + weight*score
	s.squares = s.squares*decay + weight*score*score
	for i := range s.bins {
		s.bins[i] *= decay
	}
	s.bins[min(histogramBins-1, int(score*histogramBins))] += weight
}

// estimate mixes the sample with the prior.
func (s *ratingStats) estimate(prior float64) Estimate {
	count := s.count + priorWeight
	mean := (s.sum + priorWeight*prior) / count
	squares := s.squares + priorWeight*(prior*prior+priorDeviation*priorDeviation)
	variance := max(0, squares/count-mean*mean)
	margin := boundStandardErrors * math.Sqrt(variance/count)
	estimate := Estimate{Count: s.count, Mean: mean, Lower: max(0, mean-margin), Upper: min(1, mean+margin)}
	if s.count >= minHistogramRatings {
		estimate.Histogram = make([]float64, histogramBins)
		for i, weight := range s.bins {
			estimate.Histogram[i] = weight / s.count
		}
	}
	return estimate
}

// minHistogram is the number of ratings below which no histogram is given.
const minHistogramRatings = 20

// pair names a cascade.
type cascadePair struct {
	first  compiler.VersionID
	second compiler.VersionID
}

// Table learns from ratings. It is not safe for concurrent use.
type Table struct {
	versions  map[Key]*ratingStats
	escalated map[cascadePair]*ratingStats
	accounts  map[string]*ratingStats
	outputs   map[compiler.VersionID]float64
	seconds   map[compiler.VersionID]float64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		versions:  map[Key]*ratingStats{},
		escalated: map[cascadePair]*ratingStats{},
		accounts:  map[string]*ratingStats{},
		outputs:   map[compiler.VersionID]float64{},
		seconds:   map[compiler.VersionID]float64{},
	}
}

// Observe adds the rating of an answer that was not chosen by an earlier
// rating.
func (t *Table) AddRating(version compiler.VersionID, class Class, score float64) {
	getOrCreate(t.versions, Key{version, class}).add(score, 1, versionMemoryRatings)
}

// Escalate adds the rating of a cascade's second answer.
func (t *Table) AddEscalatedRating(first, second compiler.VersionID, score float64) {
	getOrCreate(t.escalated, cascadePair{first, second}).add(score, 1, versionMemoryRatings)
}

// Deliver adds the rating of an answer that an account got. The weight is the
// number of answers that it stands for: answers are rated with different
// probabilities, and without weights the often-rated ones would count for more.
func (t *Table) AddDeliveredRating(account string, score, weight float64) {
	getOrCreate(t.accounts, account).add(score, weight, accountMemoryRatings)
}

// Complete adds the length and duration of an answer.
func (t *Table) AddCompletion(version compiler.VersionID, output int, duration time.Duration) {
	updateAverage(t.outputs, version, float64(output))
	updateAverage(t.seconds, version, duration.Seconds())
}

// smoothing is the weight of the newest observation in a moving average.
const smoothingFactor = 0.05

func updateAverage(averages map[compiler.VersionID]float64, version compiler.VersionID, value float64) {
	average, ok := averages[version]
	if !ok {
		averages[version] = value
		return
	}
	averages[version] = average + smoothingFactor*(value-average)
}

func getOrCreate[K comparable](samples map[K]*ratingStats, key K) *ratingStats {
	stats := samples[key]
	if stats == nil {
		stats = &ratingStats{}
		samples[key] = stats
	}
	return stats
}

// View is an immutable copy of the table.
type Snapshot struct {
	versions  map[Key]ratingStats
	escalated map[cascadePair]ratingStats
	accounts  map[string]ratingStats
	outputs   map[compiler.VersionID]float64
	seconds   map[compiler.VersionID]float64
}

// View returns a copy for readers.
func (t *Table) Snapshot() *Snapshot {
	return &Snapshot{
		versions:  cloneStats(t.versions),
		escalated: cloneStats(t.escalated),
		accounts:  cloneStats(t.accounts),
		outputs:   copyMap(t.outputs),
		seconds:   copyMap(t.seconds),
	}
}

func cloneStats[K comparable](samples map[K]*ratingStats) map[K]ratingStats {
	copied := make(map[K]ratingStats, len(samples))
	for key, stats := range samples {
		copied[key] = *stats
	}
	return copied
}

func copyMap[K comparable, V any](source map[K]V) map[K]V {
	copied := make(map[K]V, len(source))
	for key, value := range source {
		copied[key] = value
	}
	return copied
}

// Quality returns the estimate of a version for a class of requests.
func (v *Snapshot) Quality(version *compiler.Version, class Class) Estimate {
	stats := v.versions[Key{version.ID, class}]
	return stats.estimate(version.Prior)
}

// Escalated returns the estimate of a cascade's second answers. The prior is
// the second version's mean, less what requests that the first version failed
// tend to lose.
func (v *Snapshot) EscalatedQuality(first, second compiler.VersionID, prior float64) Estimate {
	stats := v.escalated[cascadePair{first, second}]
	return stats.estimate(prior * escalationPriorFactor)
}

// escalationPrior scales down the second version's mean for requests that the
// first version failed, before any such answer was rated.
const escalationPriorFactor = 0.92

// Delivered returns the mean rating that an account got and the number of
// ratings behind it.
func (v *Snapshot) DeliveredQuality(account string) (mean, count float64) {
	stats := v.accounts[account]
	if stats.count == 0 {
		return 0, 0
	}
	return stats.sum / stats.count, stats.count
}

// defaultOutput is the number of output tokens expected of a version that has
// answered nothing yet.
const defaultOutputTokens = 150

// Output returns the expected number of output tokens.
func (v *Snapshot) OutputTokens(version compiler.VersionID) float64 {
	if average, ok := v.outputs[version]; ok {
		return average
	}
	return defaultOutputTokens
}

// defaultSeconds is the time expected of a version that has answered nothing.
const defaultSeconds = 3

// Seconds returns the expected time of an answer.
func (v *Snapshot) DurationSeconds(version compiler.VersionID) float64 {
	if average, ok := v.seconds[version]; ok {
		return average
	}
	return defaultSeconds
}
