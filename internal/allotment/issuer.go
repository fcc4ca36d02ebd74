package allotment

import (
	"maps"
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/permit"
)

const (
	// maxTurnWait is the longest time for which an entry VM is told to wait for its
	// turn. It bounds the time for which permits are left over while entry VMs wait.
	maxTurnWait = 200 * time.Millisecond
	// minWait is the shortest time after which a refused entry VM asks again.
	minWait = 10 * time.Millisecond
	// unusedWindows is the number of windows after which the state of a shard for which
	// nobody has asked is dropped. After one, nothing that was issued counts any more.
	unusedWindows = 1000
	// heldSlots is the number of periods into which the time is divided for which a
	// permit counts as held.
	heldSlots = 10
)

// Issuer issues the permits of the shards for which this entry VM is the issuer. It is
// not safe for concurrent use.
type Issuer struct {
	// prompt and patient decide for the shards without and with Patience whether this
	// entry VM is the issuer.
	prompt  *permit.Issuer
	patient *permit.Issuer
	bounds  Bounds
	buckets map[bucketKey]*bucket
	rules   disabledRules
}

// disabledRules disables individual rules, to show that the tests detect their
// absence.
type disabledRules struct {
	// start is the rule that a new issuer does not issue the burst, window the rule that
	// limits what is issued in a window.
	start, window bool
}

type bucketKey struct {
	organisation string
	shard        int
}

// NewIssuer returns an Issuer of the entry VM with the given ID that issues permits of
// the first shard where prompt allows it. It must be told of everything that prompt is
// told of, after it.
func NewIssuer(self string, prompt *permit.Issuer, b Bounds) *Issuer {
	return &Issuer{prompt: prompt, patient: permit.NewPatientIssuer(self, Patience), bounds: b, buckets: make(map[bucketKey]*bucket)}
}

// SetLive, RecordLease, RecordAllRestarted and SetLeaving record what those of
// permit.Issuer do. A shard that this entry VM ceases to issue permits for is dropped:
// otherwise it would go on from the state before when it is regained.

// SetLive records the IDs of the live entry VMs.
func (i *Issuer) SetLive(now time.Duration, ids []string) {
	i.patient.SetLive(now, ids)
	i.DropLost(now)
}

// RecordLease records a lease that was requested at the time sent.
func (i *Issuer) RecordLease(now, sent time.Duration) {
	i.patient.RecordLease(now, sent)
	i.DropLost(now)
}

// RecordAllRestarted records that no other issuer of an earlier time can exist.
func (i *Issuer) RecordAllRestarted(now time.Duration) { i.patient.RecordAllRestarted(now) }

// SetLeaving ends the issuing of permits for good.
func (i *Issuer) SetLeaving() { i.patient.SetLeaving() }

// leases returns who decides for the shard.
func (i *Issuer) leases(shard int) *permit.Issuer {
	if Patient(shard) {
		return i.patient
	}
	return i.prompt
}

// issues reports whether this entry VM issues the permits of the shard.
func (i *Issuer) issues(now time.Duration, k bucketKey) (wait time.Duration, ok bool) {
	return i.leases(k.shard).Issues(now, Key(k.organisation, k.shard))
}

// Answer is the answer to a request for permits.
type Answer struct {
	Granted int
	// Issuing is false if this entry VM does not issue the permits of the shard now.
	Issuing bool
	// Wait is the time after which permits may be available if fewer were granted
	// than asked for.
	Wait time.Duration
}

// Take takes back permits that were not used, and issues up to units new ones.
func (i *Issuer) Take(now time.Duration, organisation string, shard int, l Limit, units, returned int) Answer {
	if wait, ok := i.issues(now, bucketKey{organisation, shard}); !ok {
		delete(i.buckets, bucketKey{organisation, shard})
		return Answer{Wait: wait}
	}
	return i.bucket(now, bucketKey{organisation, shard}, l).take(now, units, returned)
}

// bucket returns the bucket of the shard with the newest limit.
func (i *Issuer) bucket(now time.Duration, key bucketKey, l Limit) *bucket {
	part := i.bounds.shard(l)
	b := i.buckets[key]
	if b == nil {
		b = &bucket{part: part, refilled: now, tokens: part.capacity, heldFor: i.bounds.heldFor(), rules: i.rules}
		// A permit may be used until heldFor after it was issued.
		b.window = newWindowCount(freshness.AddDrift(i.bounds.Window) + b.heldFor)
		// The issuer before may have issued a window's permits just before this one
		// began.
		if window := freshness.AddDrift(i.bounds.Window); now < i.leases(key.shard).UnchangedSince()+window {
			b.startedAt, b.startEnd = now, now+window
		}
		i.buckets[key] = b
	}
	b.askedAt = now
	b.refill(now)
	if part.windowMax < b.part.windowMax {
		// A lower limit is binding one window later. Permits that were issued under the
		// limit before must not use up what is issued until then.
		b.window.scale(part.windowMax / b.part.windowMax)
	}
	b.part = part
	return b
}

// DropLost drops the state of shards that this entry VM has ceased to issue permits
// for, or for which nobody has asked for long.
func (i *Issuer) DropLost(now time.Duration) {
	maps.DeleteFunc(i.buckets, func(k bucketKey, b *bucket) bool {
		_, ok := i.issues(now, k)
		return !ok || now > b.askedAt+unusedWindows*i.bounds.Window
	})
}

// Counts are the permits of one organisation since the last call of TakeCounts.
type Counts struct {
	// Issued is the number of permits issued less those taken back, Refused the
	// number of requests for permits that got none.
	Issued, Refused int
}

// TakeCounts returns the counts of the organisations for which permits have been
// asked since the last call.
func (i *Issuer) TakeCounts() map[string]Counts {
	counts := make(map[string]Counts)
	for k, b := range i.buckets {
		if b.counts == (Counts{}) {
			continue
		}
		sum := counts[k.organisation]
		sum.Issued += b.counts.Issued
		sum.Refused += b.counts.Refused
		counts[k.organisation] = sum
		b.counts = Counts{}
	}
	return counts
}

// bucket holds the permits of one shard.
type bucket struct {
	part shard
	// tokens is the number of permits left. It can be negative after a lower limit.
	tokens            float64
	refilled, askedAt time.Duration
	// held counts the permits issued in the newest periods of heldFor / heldSlots, as
	// they may be unused. heldPeriod is the number of the newest period.
	held       [heldSlots + 1]int
	heldPeriod int64
	heldFor    time.Duration
	// window counts the permits issued in the last window, until the last of them can no
	// longer be used.
	window *windowCount
	// startedAt is the start of the issuer, startEnd the time until which it issues no
	// more than the rate since then, and started the number issued. They are 0 if it
	// is known what was issued in the window before.
	startedAt, startEnd time.Duration
	started             int
	// turn is the time for which the last refused entry VM was told to come back.
	turn   time.Duration
	counts Counts
	rules  disabledRules
}

// refill adds the tokens since the last call.
func (b *bucket) refill(now time.Duration) {
	period := int64(now / (b.heldFor / heldSlots))
	for p := max(b.heldPeriod+1, period-heldSlots); p <= period; p++ {
		b.held[p%int64(len(b.held))] = 0
	}
	b.heldPeriod = max(b.heldPeriod, period)
	b.window.advance(now)
	b.tokens += b.part.refillPerSecond * (now - b.refilled).Seconds()
	b.refilled = now
	b.tokens = min(b.tokens, b.part.capacity)
}

// available returns the number of permits that can be issued now.
func (b *bucket) available(now time.Duration) float64 {
	most := b.tokens
	if !b.rules.window {
		most = min(most, b.part.windowMax-b.window.sum)
	}
	if now >= b.startEnd || b.rules.start {
		return most
	}
	sinceStart := b.part.startCredit + b.part.perSecond*(now-b.startedAt).Seconds()
	return min(most, sinceStart-float64(b.started))
}

func (b *bucket) take(now time.Duration, units, returned int) Answer {
	b.takeBack(returned)
	// The part may be that of a lower limit.
	b.tokens = min(b.tokens, b.part.capacity)
	granted := min(units, max(0, int(b.available(now))))
	b.tokens -= float64(granted)
	b.started += granted
	b.counts.Issued += granted
	b.held[b.heldPeriod%int64(len(b.held))] += granted
	b.window.add(float64(granted))
	if granted == units {
		return Answer{Granted: granted, Issuing: true}
	}
	if granted == 0 {
		b.counts.Refused++
	}
	return Answer{Granted: granted, Issuing: true, Wait: b.nextTurn(now)}
}

// takeBack adds permits that were not used. No more are taken back than may be held:
// others have ended.
func (b *bucket) takeBack(returned int) {
	for n := range b.held {
		slot := &b.held[(b.heldPeriod+int64(n)+1)%int64(len(b.held))]
		taken := min(*slot, returned)
		*slot -= taken
		returned -= taken
		b.tokens += float64(taken)
		b.window.takeBack(float64(taken), b.heldFor)
		b.started -= taken
		b.counts.Issued -= taken
	}
}

// nextTurn returns the time after which a refused entry VM is to ask again. Entry VMs
// that are refused get different turns, so that they ask no more often than there are
// permits.
func (b *bucket) nextTurn(now time.Duration) time.Duration {
	interval := time.Duration(min(float64(time.Hour), float64(time.Second)/b.part.perSecond))
	first := time.Duration(max(0, 1-b.available(now)) * float64(interval))
	if b.window.sum > b.part.windowMax-1 {
		first = b.window.until(now, b.part.windowMax-1)
	}
	if now < b.startEnd {
		first = min(first, b.startEnd-now)
	}
	b.turn = max(b.turn+interval, now+first)
	wait := min(b.turn-now, max(first, maxTurnWait))
	b.turn = now + wait
	return max(minWait, wait)
}
