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
	// requestKeyPrefix and partKeyPrefix are those of the keys of requests and of parts of prompts
	// that crash endpoints, in the topic of contacts.
	requestKeyPrefix = "request/"
	partKeyPrefix    = "part/"
	// recordInterval is the time between two checks for records to write, recordRetryDelay that
	// after a failed write.
	recordInterval   = 500 * time.Millisecond
	recordRetryDelay = 2 * time.Second
	// deletePatience is how long a daemon keeps in mind that another one is to delete a record.
	deletePatience = 10 * time.Second
)

// crashRecords keeps in the log what crashes endpoints, for when all daemons start anew at once. In
// normal operation the daemons learn of it from each other. The records are in the topic of contacts,
// which the first daemons to start read in any case. Of all daemons, one writes a record.
type crashRecords struct {
	*Runner
	// retryAt is when a record may be written again after a failure, epoch the log's epoch of the
	// latest check. held is what was worth a record at that check. Only run uses them.
	retryAt time.Time
	epoch   subscriber.Epoch
	held    map[quarantiner.Subject]bool

	mu sync.Mutex
	// logged holds what is in each record, as far as this daemon knows.
	logged map[quarantiner.Subject]recordSummary
	// released holds when something was cleared whose record may have to be deleted.
	released map[quarantiner.Subject]time.Time
	// hasRead is set once the records have been read.
	hasRead bool
}

func newCrashRecords(r *Runner) *crashRecords {
	return &crashRecords{Runner: r, logged: map[quarantiner.Subject]recordSummary{}, released: map[quarantiner.Subject]time.Time{}}
}

// run writes and deletes records until ctx ends, and returns the error of ctx.
func (c *crashRecords) run(ctx context.Context) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		histories := c.quarantine.Histories()
		c.noteReleased(histories)
		if time.Now().Before(c.retryAt) {
			continue
		}
		if err := c.writeDue(ctx, histories); err != nil {
			c.retryAt = time.Now().Add(recordRetryDelay)
			c.logger.Info("cannot write the record of what crashes endpoints", "error", err)
		}
	}
}

// noteReleased remembers what was worth a record at the latest check and is not any more.
func (c *crashRecords) noteReleased(histories []quarantiner.History) {
	held := map[quarantiner.Subject]bool{}
	for _, history := range histories {
		held[history.Subject] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for subject := range c.held {
		if !held[subject] {
			c.released[subject] = time.Now()
		}
	}
	for subject := range held {
		delete(c.released, subject)
	}
	c.held = held
}

// writeDue writes and deletes the records that are due. It ends with the first error.
func (c *crashRecords) writeDue(ctx context.Context, histories []quarantiner.History) error {
	if epoch := c.logEpoch(); epoch != c.epoch {
		// The log may have come back from an older copy.
		c.epoch = epoch
		c.setLogged(nil)
	}
	for _, history := range histories {
		if err := c.write(ctx, history); err != nil {
			return err
		}
	}
	for _, subject := range c.releasedSubjects() {
		if err := c.delete(ctx, subject); err != nil {
			return err
		}
	}
	return nil
}

// releasedSubjects returns what has been cleared and may still have a record.
func (c *crashRecords) releasedSubjects() []quarantiner.Subject {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.released, func(_ quarantiner.Subject, at time.Time) bool { return time.Since(at) > deletePatience })
	return slices.Collect(maps.Keys(c.released))
}

// setLogged records what is in the records that the log holds.
func (c *crashRecords) setLogged(logged map[quarantiner.Subject]recordSummary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logged = map[quarantiner.Subject]recordSummary{}
	maps.Copy(c.logged, logged)
}

// isWriter reports whether this daemon, of all, writes a record.
func (c *crashRecords) isWriter(subject quarantiner.Subject) bool {
	return c.peers.isRanked(recordKey(subject), 0)
}

// recordKey returns the key of a record.
func recordKey(subject quarantiner.Subject) string {
	if subject.Whole {
		return requestKeyPrefix + formatPart(subject.ID)
	}
	return partKeyPrefix + formatPart(subject.ID)
}

// parseRecordKey returns what a record is about. It returns false if the key is that of another kind
// of record.
func parseRecordKey(key string) (subject quarantiner.Subject, isRecord bool, err error) {
	text, isRequest := strings.CutPrefix(key, requestKeyPrefix)
	if !isRequest {
		var isPart bool
		if text, isPart = strings.CutPrefix(key, partKeyPrefix); !isPart {
			return quarantiner.Subject{}, false, nil
		}
	}
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return quarantiner.Subject{}, true, errors.Wrap(err, "parse the key of a record")
	}
	return quarantiner.Subject{ID: id, Whole: isRequest}, true, nil
}

// write writes a record, if it is due and this daemon is to do it.
func (c *crashRecords) write(ctx context.Context, history quarantiner.History) error {
	facts := recordFacts(history, time.Now())
	c.mu.Lock()
	isLogged := c.logged[history.Subject] == summarise(facts)
	c.mu.Unlock()
	if isLogged || !c.isWriter(history.Subject) {
		return nil
	}
	value, err := encodeRecord(facts)
	if err != nil {
		return err
	}
	if err := c.append(ctx, history.Subject, value); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logged[history.Subject] = summarise(facts)
	return nil
}

// delete deletes the record of what has been cleared, if this daemon is to do it.
func (c *crashRecords) delete(ctx context.Context, subject quarantiner.Subject) error {
	if !c.isWriter(subject) {
		return nil
	}
	if err := c.append(ctx, subject, nil); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.logged, subject)
	delete(c.released, subject)
	return nil
}

// append appends the value of a record. An empty one deletes it.
func (c *crashRecords) append(ctx context.Context, subject quarantiner.Subject, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	return c.deps.ContactTopic.Append(ctx, recordKey(subject), value)
}

// apply records what the log holds, and applies the records when they are read for the first time. It
// returns the other records of the topic.
func (c *crashRecords) apply(records []subscriber.Record) []subscriber.Record {
	var others []subscriber.Record
	logged := map[quarantiner.Subject]recordSummary{}
	var facts []*schema.Fact
	for _, record := range records {
		subject, isRecord, err := parseRecordKey(record.Key)
		if !isRecord {
			others = append(others, record)
			continue
		}
		var decoded []*schema.Fact
		if err == nil {
			decoded, err = decodeRecord(subject, record.Value)
		}
		if err != nil {
			c.logger.Warn("invalid record of what crashes endpoints", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		logged[subject] = summarise(decoded)
		facts = append(facts, decoded...)
	}
	c.setLogged(logged)
	if c.isFirstRead() && len(facts) > 0 {
		c.logger.Info("what crashes endpoints is known from the log", "records", len(logged), "facts", len(facts))
		c.spread(facts)
	}
	return others
}

// isFirstRead reports whether the records have not been read before.
func (c *crashRecords) isFirstRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFirst := !c.hasRead
	c.hasRead = true
	return isFirst
}

// spread applies the facts of records, and lets the daemons know of them that have not read the log.
func (c *crashRecords) spread(facts []*schema.Fact) {
	now := time.Now()
	var received []gossiper.Fact
	for _, fact := range facts {
		received = append(received, gossiper.Fact{Message: fact, ObservedAt: now.Add(-fact.GetAge().AsDuration())})
	}
	c.applyFacts(received)
	c.peers.observeUnknown(facts...)
}

// recordSummary tells whether a record is up to date.
type recordSummary struct {
	facts       int
	quarantined bool
}

func summarise(facts []*schema.Fact) recordSummary {
	isQuarantined := func(fact *schema.Fact) bool { return fact.GetCrash().GetRecord().GetQuarantined() }
	return recordSummary{len(facts), slices.ContainsFunc(facts, isQuarantined)}
}

// recordFacts returns the facts of a record at a time.
func recordFacts(history quarantiner.History, now time.Time) []*schema.Fact {
	var facts []*schema.Fact
	add := func(fact *schema.Fact, at time.Time) {
		fact.Version = 1
		fact.Age = durationpb.New(max(0, now.Sub(at)))
		facts = append(facts, fact)
	}
	for _, crash := range history.Crashes {
		add(newCrashFact(crash), crash.At)
	}
	for daemon, at := range history.Trials {
		add(newTrialFact(history.ID, daemon), at)
	}
	return facts
}

// encodeRecord returns the value of a record.
func encodeRecord(facts []*schema.Fact) ([]byte, error) {
	data, err := proto.Marshal(&schema.Rumours{Facts: facts})
	if err != nil {
		return nil, errors.Wrap(err, "encode record of what crashes endpoints")
	}
	return data, nil
}

// decodeRecord returns the facts of a record. Their ages are those at the time of the writing: the log
// does not say how long that is ago.
func decodeRecord(subject quarantiner.Subject, value []byte) ([]*schema.Fact, error) {
	rumours := &schema.Rumours{}
	if err := proto.Unmarshal(value, rumours); err != nil {
		return nil, errors.Wrap(err, "decode record of what crashes endpoints")
	}
	var facts []*schema.Fact
	for _, fact := range rumours.GetFacts() {
		if isAbout(fact, subject) {
			facts = append(facts, fact)
		}
	}
	return facts, nil
}

// isAbout reports whether a fact says something about a subject.
func isAbout(fact *schema.Fact, subject quarantiner.Subject) bool {
	switch about := fact.GetAbout().(type) {
	case *schema.Fact_Crash:
		return about.Crash.GetWhole() == subject.Whole && about.Crash.GetPart() == subject.ID
	case *schema.Fact_Trial:
		return subject.Whole && about.Trial.GetRequest() == subject.ID
	default:
		return false
	}
}
