package runner

import (
	"time"

	"quetzalgrade.example/quetzalgrade/internal/gossiper"
	"quetzalgrade.example/quetzalgrade/internal/quarantiner"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// applyFacts applies facts that other daemons have observed.
func (r *Runner) applyFacts(facts []gossiper.Fact) {
	now := time.Now()
	var crashes []quarantiner.Crash
	for _, fact := range facts {
		switch about := fact.Message.GetAbout().(type) {
		case *schema.Fact_Crash:
			crashes = append(crashes, decodeCrash(about.Crash, fact.ObservedAt))
		case *schema.Fact_Sound:
			if about.Sound.GetWhole() {
				r.quarantine.RecordRequestSound(about.Sound.GetPart(), fact.ObservedAt)
				continue
			}
			r.quarantine.RecordSound(about.Sound.GetPart(), fact.ObservedAt, now)
		case *schema.Fact_Trial:
			r.quarantine.RecordTrial(about.Trial.GetRequest(), about.Trial.GetDaemon(), fact.ObservedAt)
		case *schema.Fact_Limit:
			r.applyLimit(about.Limit, fact.ObservedAt)
		case *schema.Fact_Cold:
			r.applyCold(about.Cold, fact.ObservedAt)
		}
	}
	if len(crashes) > 0 {
		r.quarantine.RecordCrashes(crashes, now)
	}
}

// decodeCrash returns the crash of a fact that was observed at a time.
func decodeCrash(message *schema.PartCrash, at time.Time) quarantiner.Crash {
	crash := quarantiner.Crash{
		Part:     message.GetPart(),
		Place:    int(message.GetPlace()),
		Endpoint: message.GetEndpoint(),
		Begun:    message.GetBegun(),
		Whole:    message.GetWhole(),
		At:       at,
	}
	if record := message.GetRecord(); record != nil {
		crash.Record = &quarantiner.Record{Quarantined: record.GetQuarantined(), ServedBefore: record.GetServed()}
	}
	return crash
}
