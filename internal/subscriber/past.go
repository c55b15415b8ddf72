package subscriber

import "github.com/cespare/xxhash/v2"

// maxPast bounds the records that are remembered after they were replaced or deleted. A restored
// log lacks some seconds, in which fewer are.
const maxPast = 2048

// identity tells records apart in all epochs.
type identity struct {
	offset int64
	// hash is that of key and value.
	hash uint64
}

func identify(record Record) identity {
	digest := xxhash.New()
	_, _ = digest.WriteString(record.Key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(record.Value)
	return identity{record.Offset, digest.Sum64()}
}

// past remembers the records that were read and have been replaced or deleted since, but no more
// than maxPast. The zero value is empty.
type past struct {
	// rounds holds when each record was replaced, as a number that rises.
	rounds map[identity]uint64
	// order holds the records in this order. One that was replaced again is in it twice.
	order []pastRecord
	round uint64
}

type pastRecord struct {
	identity
	round uint64
}

// add remembers a record that has been replaced or deleted. Deletions aren't kept by the log.
func (p *past) add(record Record) {
	if len(record.Value) == 0 {
		return
	}
	if p.rounds == nil {
		p.rounds = map[identity]uint64{}
	}
	added := pastRecord{identify(record), p.round}
	p.round++
	p.rounds[added.identity] = added.round
	p.order = append(p.order, added)
	if len(p.order) <= maxPast {
		return
	}
	oldest := p.order[0]
	p.order = p.order[1:]
	if round, found := p.rounds[oldest.identity]; found && round == oldest.round {
		delete(p.rounds, oldest.identity)
	}
}

// has reports whether the record was replaced or deleted. It may be the newest of its key again.
func (p *past) has(record Record) bool {
	_, found := p.rounds[identify(record)]
	return found
}
