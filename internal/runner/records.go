package runner

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/quarantiner"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// requestKeyPrefix is that of the keys of quarantined requests in the topic of contacts.
	requestKeyPrefix = "request/"
	// recordInterval is the time between two checks for records to write, recordRetryDelay that
	// after a failed write.
	recordInterval   = 500 * time.Millisecond
	recordRetryDelay = 2 * time.Second
	// deletePatience is how long a daemon keeps in mind that another one is to delete a record.
	deletePatience = 10 * time.Second
)

// requestRecords keeps the quarantined requests in the log, for when all daemons start anew at once.
// In normal operation the daemons learn of them from each other. The records are in the topic of
// contacts, which the first daemons to start read in any case. Of all daemons, one writes the record
// of a request.
type requestRecords struct {
	*Runner
	// retryAt is when a record may be written again after a failure, epoch the log's epoch of the
	// latest check. Only run uses them.
	retryAt time.Time
	epoch   subscriber.Epoch

	mu sync.Mutex
	// logged holds the number of facts in each record, as far as this daemon knows, by digest.
	logged map[uint64]int
	// released holds when a request was released whose record may have to be deleted.
	released map[uint64]time.Time
	// hasRead is set once the records have been read.
	hasRead bool
}

func newRequestRecords(r *Runner) *requestRecords {
	return &requestRecords{Runner: r, logged: map[uint64]int{}, released: map[uint64]time.Time{}}
}

// setReleased records that a request is not quarantined any more.
func (q *requestRecords) setReleased(digest uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.released[digest] = time.Now()
}

// run writes and deletes records until ctx ends, and returns the error of ctx.
func (q *requestRecords) run(ctx context.Context) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if time.Now().Before(q.retryAt) {
			continue
		}
		if err := q.writeDue(ctx); err != nil {
			q.retryAt = time.Now().Add(recordRetryDelay)
			q.logger.Info("cannot write the record of a request that crashes endpoints", "error", err)
		}
	}
}

// writeDue writes and deletes the records that are due. It ends with the first error.
func (q *requestRecords) writeDue(ctx context.Context) error {
	if epoch := q.logEpoch(); epoch != q.epoch {
		// The log may have come back from an older copy.
		q.epoch = epoch
		q.setLogged(nil)
	}
	for _, digest := range q.quarantine.QuarantinedRequests() {
		if err := q.write(ctx, q.quarantine.RequestHistory(digest)); err != nil {
			return err
		}
	}
	for _, digest := range q.releasedRequests() {
		if err := q.delete(ctx, digest); err != nil {
			return err
		}
	}
	return nil
}

// releasedRequests returns the digests of released requests whose records are to be deleted.
func (q *requestRecords) releasedRequests() []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.released, func(_ uint64, at time.Time) bool { return time.Since(at) > deletePatience })
	return slices.Collect(maps.Keys(q.released))
}

// setLogged records the numbers of facts in the records that the log holds.
func (q *requestRecords) setLogged(logged map[uint64]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logged = map[uint64]int{}
	maps.Copy(q.logged, logged)
}

// isWriter reports whether this daemon, of all, writes the record of a request.
func (q *requestRecords) isWriter(digest uint64) bool {
	return q.peers.isRanked(requestKey(digest), 0)
}

func requestKey(digest uint64) string { return requestKeyPrefix + formatPart(digest) }

// write writes the record of a quarantined request, if it is due and this daemon is to do it.
func (q *requestRecords) write(ctx context.Context, history quarantiner.History) error {
	facts := len(history.Crashes) + len(history.Trials)
	q.mu.Lock()
	isLogged := q.logged[history.Digest] == facts
	q.mu.Unlock()
	if isLogged || !history.Quarantined || !q.isWriter(history.Digest) {
		return nil
	}
	value, err := encodeRequestRecord(history, time.Now())
	if err != nil {
		return err
	}
	if err := q.append(ctx, history.Digest, value); err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logged[history.Digest] = facts
	return nil
}

// delete deletes the record of a released request, if this daemon is to do it.
func (q *requestRecords) delete(ctx context.Context, digest uint64) error {
	if !q.isWriter(digest) {
		return nil
	}
	if !q.quarantine.RequestHistory(digest).Quarantined {
		if err := q.append(ctx, digest, nil); err != nil {
			return err
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.logged, digest)
	delete(q.released, digest)
	return nil
}

// append appends the value of a record. An empty one deletes it.
func (q *requestRecords) append(ctx context.Context, digest uint64, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	return q.deps.ContactTopic.Append(ctx, requestKey(digest), value)
}

// apply records what the log holds, and applies the records when they are read for the first time. It
// returns the other records of the topic.
func (q *requestRecords) apply(records []subscriber.Record) []subscriber.Record {
	var others []subscriber.Record
	logged := map[uint64]int{}
	var facts []*schema.Fact
	for _, record := range records {
		text, isRequest := strings.CutPrefix(record.Key, requestKeyPrefix)
		if !isRequest {
			others = append(others, record)
			continue
		}
		digest, decoded, err := decodeRequestRecord(text, record.Value)
		if err != nil {
			q.logger.Warn("invalid record of a request that crashes endpoints", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		logged[digest] = len(decoded)
		facts = append(facts, decoded...)
	}
	q.setLogged(logged)
	if q.isFirstRead() && len(facts) > 0 {
		q.spread(facts)
	}
	return others
}

// isFirstRead reports whether the records have not been read before.
func (q *requestRecords) isFirstRead() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	isFirst := !q.hasRead
	q.hasRead = true
	return isFirst
}

// spread applies the facts of records, and lets the daemons know of them that have not read the log.
func (q *requestRecords) spread(facts []*schema.Fact) {
	now := time.Now()
	var received []gossiper.Fact
	for _, fact := range facts {
		received = append(received, gossiper.Fact{Message: fact, ObservedAt: now.Add(-fact.GetAge().AsDuration())})
	}
	q.applyFacts(received)
	q.peers.observeUnknown(facts...)
}

// encodeRequestRecord returns the value of the record of a request.
func encodeRequestRecord(history quarantiner.History, now time.Time) ([]byte, error) {
	rumours := &schema.Rumours{}
	add := func(fact *schema.Fact, at time.Time) {
		fact.Version = 1
		fact.Age = durationpb.New(max(0, now.Sub(at)))
		rumours.Facts = append(rumours.Facts, fact)
	}
	for _, crash := range history.Crashes {
		add(newCrashFact(crash), crash.At)
	}
	for daemon, at := range history.Trials {
		add(newTrialFact(history.Digest, daemon), at)
	}
	data, err := proto.Marshal(rumours)
	if err != nil {
		return nil, errors.Wrap(err, "encode record of a request")
	}
	return data, nil
}

// decodeRequestRecord returns the digest of a request and the facts of its record. Their ages are
// those at the time of the writing: the log does not say how long that is ago.
func decodeRequestRecord(text string, value []byte) (digest uint64, facts []*schema.Fact, err error) {
	digest, err = strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, nil, errors.Wrap(err, "parse digest")
	}
	rumours := &schema.Rumours{}
	if err := proto.Unmarshal(value, rumours); err != nil {
		return 0, nil, errors.Wrap(err, "decode record of a request")
	}
	for _, fact := range rumours.GetFacts() {
		isCrash := fact.GetCrash().GetWhole() && fact.GetCrash().GetPart() == digest
		isTrial := fact.GetTrial().GetRequest() == digest
		if isCrash || isTrial {
			facts = append(facts, fact)
		}
	}
	return digest, facts, nil
}
