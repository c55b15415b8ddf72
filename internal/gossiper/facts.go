package gossiper

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// maxFacts bounds the facts that a daemon holds.
const maxFacts = 4096

// Fact is something that one daemon has observed and that binds all of them.
type Fact struct {
	// Message says what the fact is about. Its age is that at ObservedAt, and so 0.
	Message *schema.Fact
	// ObservedAt is the time of the observation by this daemon's clock.
	ObservedAt time.Time
}

// FactKey returns the key of what a fact is about. It is empty if this daemon does not
// know the kind of the fact.
func FactKey(message *schema.Fact) string {
	switch about := message.GetAbout().(type) {
	case *schema.Fact_Crash:
		key := "crash/" + about.Crash.GetEndpoint() + "/" + strconv.FormatUint(about.Crash.GetPart(), 16)
		if about.Crash.GetBegun() {
			key += "/begun"
		}
		return key + wholeSuffix(about.Crash.GetWhole())
	case *schema.Fact_Sound:
		return "sound/" + strconv.FormatUint(about.Sound.GetPart(), 16) + wholeSuffix(about.Sound.GetWhole())
	case *schema.Fact_Trial:
		return "trial/" + strconv.FormatUint(about.Trial.GetRequest(), 16) + "/" + about.Trial.GetDaemon()
	case *schema.Fact_Limit:
		return "limit/" + about.Limit.GetEndpoint() + "/" + strconv.FormatInt(about.Limit.GetStartedMs(), 10)
	case *schema.Fact_Cold:
		return "cold/" + about.Cold.GetEndpoint() + "/" + strconv.FormatInt(about.Cold.GetStartedMs(), 10)
	default:
		return ""
	}
}

// wholeSuffix tells the digest of a whole request from the id of a part, which a client chooses.
func wholeSuffix(whole bool) string {
	if whole {
		return "/whole"
	}
	return ""
}

// expired reports whether the fact no longer holds.
func (f Fact) expired(now time.Time) bool {
	return now.Sub(f.ObservedAt) >= f.Message.GetLifetime().AsDuration()
}

// message returns the message to send at a time.
func (f Fact) message(now time.Time) *schema.Fact {
	return &schema.Fact{
		Version:  f.Message.GetVersion(),
		Age:      durationpb.New(max(0, now.Sub(f.ObservedAt))),
		Lifetime: f.Message.GetLifetime(),
		About:    f.Message.GetAbout(),
	}
}

// Observe adds what this daemon has observed just now. The fact gets a version above
// that of the last one about the same thing.
func (m *Membership) Observe(message *schema.Fact, now time.Time) {
	message.Version = 1
	if existing, ok := m.facts[FactKey(message)]; ok {
		message.Version = existing.Message.GetVersion() + 1
	}
	m.addFact(message, now)
}

// Knows reports whether a fact about the same thing is held.
func (m *Membership) Knows(message *schema.Fact) bool {
	_, ok := m.facts[FactKey(message)]
	return ok
}

// addFact stores a fact and queues it as a rumour. It returns false if the fact has
// expired or is not newer than the one that is stored.
func (m *Membership) addFact(message *schema.Fact, now time.Time) (Fact, bool) {
	key := FactKey(message)
	if key == "" {
		return Fact{}, false
	}
	fact := Fact{
		Message:    &schema.Fact{Version: message.GetVersion(), Lifetime: message.GetLifetime(), About: message.GetAbout()},
		ObservedAt: now.Add(-max(0, message.GetAge().AsDuration())),
	}
	existing, exists := m.facts[key]
	isKnown := exists && !existing.expired(now) && existing.Message.GetVersion() >= message.GetVersion()
	if fact.expired(now) || isKnown {
		return Fact{}, false
	}
	if !exists && len(m.facts) >= maxFacts {
		m.removeOldestFact()
	}
	m.facts[key] = fact
	m.queueRumour("fact/" + key)
	return fact, true
}

// removeOldestFact removes the fact that was observed first.
func (m *Membership) removeOldestFact() {
	oldest := ""
	for key, fact := range m.facts {
		if oldest == "" || fact.ObservedAt.Before(m.facts[oldest].ObservedAt) {
			oldest = key
		}
	}
	delete(m.facts, oldest)
}

// removeExpiredFacts removes the facts that no longer hold.
func (m *Membership) removeExpiredFacts(now time.Time) {
	for key, fact := range m.facts {
		if fact.expired(now) {
			delete(m.facts, key)
		}
	}
}

// factRumours returns the facts to send in a message: all of them, or those that are
// still to be spread.
func (m *Membership) factRumours(all bool, now time.Time) []*schema.Fact {
	var messages []*schema.Fact
	for key, fact := range m.facts {
		if all || len(messages) < maxFactRumours && m.takeTransmit("fact/"+key) {
			messages = append(messages, fact.message(now))
		}
	}
	return messages
}

// FactMessages returns messages of all facts.
func (m *Membership) FactMessages(now time.Time) []*schema.Fact { return m.factRumours(true, now) }

// factDigest returns a digest of the facts and their versions.
func (m *Membership) factDigest() uint64 {
	var digest uint64
	for key, fact := range m.facts {
		digest ^= xxhash.Sum64String(key + "\x00" + strconv.FormatUint(fact.Message.GetVersion(), 10))
	}
	return digest
}
