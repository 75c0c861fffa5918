package crashcause

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// evaluationInterval is the least time between two evaluations of the evidence.
const evaluationInterval = 40 * time.Millisecond

// tally is the evidence against a trait.
type tally struct {
	trait fleet.Fingerprint
	// crashes counts the crashes since the last answer, those at the same time once. first and last are
	// the times of the oldest and of the newest that was counted.
	crashes     int
	first, last time.Duration
	// isPart tells a prompt part from a whole request. carriers counts, for a part, the crashes of each
	// request that has it, of occurrences in all.
	isPart      bool
	occurrences int
	carriers    map[fleet.Fingerprint]int
}

func (t *tally) add(c *crash, carriers []fleet.Fingerprint, interval time.Duration) {
	if t.crashes == 0 {
		t.first = c.at
	}
	if t.crashes == 0 || c.at-t.last >= interval {
		t.crashes++
		t.last = c.at
	}
	t.occurrences++
	t.isPart = t.isPart || len(carriers) > 0
	for _, carrier := range carriers {
		t.carriers[carrier]++
	}
}

// singleCarrier reports whether one request with the part was running in all of the part's crashes, so
// that the request alone may be the cause.
func (t *tally) singleCarrier() bool {
	for _, n := range t.carriers {
		if n == t.occurrences {
			return true
		}
	}
	return false
}

// tallies returns the evidence against each trait from the unexplained crashes. counts reports whether a
// crash counts against a trait, given the known answers to it.
func (d *Detector) tallies(counts func(*crash, answer) bool) map[fleet.Fingerprint]*tally {
	all := make(map[fleet.Fingerprint]*tally)
	for _, c := range d.unexplainedCrashes() {
		for trait, carriers := range c.carriers() {
			if !counts(c, d.answers.get(trait)) {
				continue
			}
			if all[trait] == nil {
				all[trait] = &tally{trait: trait, carriers: make(map[fleet.Fingerprint]int)}
			}
			all[trait].add(c, carriers, d.config.CrashInterval)
		}
	}
	return all
}

// unexplainedCrashes returns the crashes that no quarantined part explains, oldest first.
func (d *Detector) unexplainedCrashes() []*crash {
	var list []*crash
	for _, c := range d.crashes {
		if !d.explained(c) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	return list
}

// carriers returns the traits of the crash's suspects, each part with the requests that have it.
func (c *crash) carriers() map[fleet.Fingerprint][]fleet.Fingerprint {
	all := make(map[fleet.Fingerprint][]fleet.Fingerprint)
	for fingerprint, parts := range c.suspects {
		if fingerprint != 0 {
			all[fingerprint] = nil
		}
		for _, part := range parts {
			if !slices.Contains(all[part], fingerprint) {
				all[part] = append(all[part], fingerprint)
			}
		}
	}
	return all
}

// evaluate quarantines the traits against which there is enough settled evidence.
func (d *Detector) evaluate(now time.Duration) {
	if !d.unevaluated || now-d.evaluatedAt < evaluationInterval {
		return
	}
	d.evaluatedAt = now
	// Until it has settled, the evidence has to be evaluated once more.
	d.unevaluated = now-d.changedAt < d.config.AnsweredSettle
	for d.quarantineNext(now) {
	}
	d.findDoubtful()
}

// quarantineNext quarantines the parts, or otherwise the requests, against which there is the most evidence,
// if it is enough. It returns false if there are none.
func (d *Detector) quarantineNext(now time.Duration) bool {
	var parts, requests []*tally
	for _, t := range d.tallies(func(c *crash, a answer) bool { return d.settled(now, c, a) }) {
		switch {
		case d.quarantined(now, t.trait) || t.crashes < d.threshold(t.trait):
		case !t.isPart:
			requests = append(requests, t)
		case !t.singleCarrier() || d.relapsed(t.trait):
			parts = append(parts, t)
		}
	}
	causes := d.likeliestCauses(parts)
	if len(causes) == 0 {
		causes = requests
	}
	for _, t := range causes {
		d.newlyQuarantined = append(d.newlyQuarantined, t.trait)
		d.refusals[t.trait] = refusal{until: now + d.config.Duration, since: t.first}
	}
	return len(causes) > 0
}

// settled reports whether a crash counts against a trait with the given answers.
func (d *Detector) settled(now time.Duration, c *crash, a answer) bool {
	age := d.config.Settle
	if a.latest() >= 0 {
		age = d.config.AnsweredSettle
	}
	return now-c.at >= age && a.latest() < c.at
}

// likeliestCauses returns the part with the most evidence, where parts that were never answered come
// first. Parts with equal evidence are returned together, but only after further crashes did not tell
// them apart.
func (d *Detector) likeliestCauses(parts []*tally) []*tally {
	if len(parts) == 0 {
		return nil
	}
	compare := func(a, b *tally) int {
		return cmp.Or(cmp.Compare(d.threshold(a.trait), d.threshold(b.trait)), cmp.Compare(b.crashes, a.crashes))
	}
	slices.SortFunc(parts, func(a, b *tally) int { return cmp.Or(compare(a, b), cmp.Compare(a.trait, b.trait)) })
	equal := 1
	for equal < len(parts) && compare(parts[0], parts[equal]) == 0 {
		equal++
	}
	if equal > 1 && parts[0].crashes < max(d.config.AnsweredThreshold, d.threshold(parts[0].trait)+1) {
		return nil
	}
	return parts[:equal]
}

// threshold returns the number of crashes that quarantines a trait. One more crash is enough after a
// quarantine has ended.
func (d *Detector) threshold(trait fleet.Fingerprint) int {
	switch {
	case d.relapsed(trait):
		return 1
	case d.answers.get(trait).latest() >= 0:
		return d.config.AnsweredThreshold
	}
	return d.config.Threshold
}

// relapsed reports whether a trait was quarantined before and no request with it was answered since.
func (d *Detector) relapsed(trait fleet.Fingerprint) bool {
	_, ok := d.refusals[trait]
	return ok
}

// findDoubtful finds the traits that other instances may soon quarantine, by the answers that all
// instances know.
func (d *Detector) findDoubtful() {
	clear(d.doubtful)
	for trait, t := range d.tallies(func(c *crash, a answer) bool { return a.announced < c.at }) {
		if t.occurrences >= d.config.Threshold-1 || d.relapsed(trait) {
			d.doubtful[trait] = t.first
		}
	}
}

// AnswersToAnnounce returns the answers of this instance that other instances need in order not to
// quarantine a harmless trait. Each instance waits for another time first, because one announcement
// is enough for the fleet.
func (d *Detector) AnswersToAnnounce(now time.Duration) []Answer {
	var list []Answer
	for trait, firstCrash := range d.doubtful {
		a := d.answers.get(trait)
		if a.own <= a.announced || a.announced >= 0 && a.own < firstCrash {
			delete(d.announceAt, trait)
			continue
		}
		at, waiting := d.announceAt[trait]
		if !waiting {
			at = now + d.announceDelay(trait)
			d.announceAt[trait] = at
		}
		if now < at {
			continue
		}
		delete(d.announceAt, trait)
		d.answers.others(now, trait, a.own)
		list = append(list, Answer{Trait: trait, Age: now - a.own})
	}
	if len(list) > 0 {
		d.markChanged(now)
	}
	slices.SortFunc(list, compareAnswers)
	return list
}

// announceDelay returns how long this instance waits for others to announce an answer to a trait.
func (d *Detector) announceDelay(trait fleet.Fingerprint) time.Duration {
	h := fleet.Hash("announce", strconv.FormatUint(d.config.Seed, 16), strconv.FormatUint(uint64(trait), 16))
	return time.Duration(h % uint64(d.config.Settle/2))
}

// markChanged records that there is new evidence.
func (d *Detector) markChanged(now time.Duration) { d.changedAt, d.unevaluated = now, true }
