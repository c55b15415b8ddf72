// Package estimator estimates the response quality of each version from ratings
// that arrive late and only for some of the responses. It also tracks the number
// of output tokens and the duration of the responses.
package estimator

import (
	"math"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
)

const (
	// histogramBins is the number of bins of a histogram of ratings.
	histogramBins = 20
	// priorWeight is the number of ratings that the declared quality counts as.
	priorWeight = 8
	// priorDeviation is the standard deviation that is assumed for the declared
	// quality.
	priorDeviation = 0.25
	// versionMemoryRatings is the number of later ratings after which a rating has
	// lost most of its weight. Old ratings decay so that the estimate follows a
	// version that changes.
	versionMemoryRatings = 4000
	// accountMemoryRatings is the same for the ratings of an account's responses.
	accountMemoryRatings = 1000
	// boundStandardErrors is the distance of the bounds from the mean in standard
	// errors.
	boundStandardErrors = 1
)

// Class is a group of requests of similar difficulty.
type Class string

// Key identifies the estimate of a version for a class of requests.
type Key struct {
	Version compiler.VersionID
	Class   Class
}

// Estimate is an estimate of the mean rating of a version's responses. Ratings
// are in [0, 1].
type Estimate struct {
	// Count is the number of ratings, in which older ratings count less.
	Count float64
	Mean  float64
	// Lower and Upper are the confidence bounds of the mean.
	Lower float64
	Upper float64
	// Histogram holds the share of ratings in each of the equally wide bins of
	// [0, 1]. It is empty when there are too few ratings.
	Histogram []float64
}

// ratingStats holds exponentially decayed sums of ratings. The field squares is
// the sum of the squared ratings.
type ratingStats struct {
	count   float64
	sum     float64
	squares float64
	bins    [histogramBins]float64
}

// add adds a rating that represents weight responses. For each of these, the
// weight of the older ratings decays by a factor of 1-1/memoryRatings.
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

// estimate combines the ratings with the prior.
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

// minHistogramRatings is the number of ratings below which an estimate has no
// histogram.
const minHistogramRatings = 20

// cascadePair identifies a cascade by its versions.
type cascadePair struct {
	first  compiler.VersionID
	second compiler.VersionID
}

// Table collects ratings and observations of responses. It is not safe for
// concurrent use.
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

// AddRating adds the rating of a response that was not selected by an earlier
// rating, as a cascade's second response is.
func (t *Table) AddRating(version compiler.VersionID, class Class, score float64) {
	getOrCreate(t.versions, Key{version, class}).add(score, 1, versionMemoryRatings)
}

// AddEscalatedRating adds the rating of a cascade's second response.
func (t *Table) AddEscalatedRating(first, second compiler.VersionID, score float64) {
	getOrCreate(t.escalated, cascadePair{first, second}).add(score, 1, versionMemoryRatings)
}

// AddDeliveredRating adds the rating of a response that was delivered to an
// account. The weight is the number of responses that the rating represents.
// Responses are rated with different probabilities, and without weights those
// that are rated more often would count for more.
func (t *Table) AddDeliveredRating(account string, score, weight float64) {
	getOrCreate(t.accounts, account).add(score, weight, accountMemoryRatings)
}

// AddCompletion adds the number of output tokens and the duration of a complete
// response.
func (t *Table) AddCompletion(version compiler.VersionID, output int, duration time.Duration) {
	updateAverage(t.outputs, version, float64(output))
	updateAverage(t.seconds, version, duration.Seconds())
}

// smoothingFactor is the weight of the newest observation in an exponential moving
// average.
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

// Snapshot is an immutable copy of a table.
type Snapshot struct {
	versions  map[Key]ratingStats
	escalated map[cascadePair]ratingStats
	accounts  map[string]ratingStats
	outputs   map[compiler.VersionID]float64
	seconds   map[compiler.VersionID]float64
}

// Snapshot returns an immutable copy of the table.
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

// Quality returns the quality estimate of a version for a class of requests. Its
// prior is the declared quality of the version.
func (v *Snapshot) Quality(version *compiler.Version, class Class) Estimate {
	stats := v.versions[Key{version.ID, class}]
	return stats.estimate(version.PriorRating)
}

// EscalatedQuality returns the quality estimate of a cascade's second responses.
// The given prior is the second version's mean. It is scaled down, since requests
// with a poor first response tend to get a lower rating.
func (v *Snapshot) EscalatedQuality(first, second compiler.VersionID, prior float64) Estimate {
	stats := v.escalated[cascadePair{first, second}]
	return stats.estimate(prior * escalationPriorFactor)
}

// escalationPriorFactor scales down the second version's mean for requests with a
// poor response from the first version. It sets the prior, which applies until
// such responses have been rated.
const escalationPriorFactor = 0.92

// DeliveredQuality returns the mean rating of an account's responses and the
// number of ratings that it is computed from. Both are 0 if there are none.
func (v *Snapshot) DeliveredQuality(account string) (mean, count float64) {
	stats := v.accounts[account]
	if stats.count == 0 {
		return 0, 0
	}
	return stats.sum / stats.count, stats.count
}

// defaultOutputTokens is the expected number of output tokens of a version that
// has not completed a response yet.
const defaultOutputTokens = 150

// OutputTokens returns the expected number of output tokens of a response.
func (v *Snapshot) OutputTokens(version compiler.VersionID) float64 {
	if average, ok := v.outputs[version]; ok {
		return average
	}
	return defaultOutputTokens
}

// defaultSeconds is the expected duration of a response, in seconds, of a version
// that has not completed a response yet.
const defaultSeconds = 3

// DurationSeconds returns the expected duration of a response, in seconds.
func (v *Snapshot) DurationSeconds(version compiler.VersionID) float64 {
	if average, ok := v.seconds[version]; ok {
		return average
	}
	return defaultSeconds
}
