// Package configage tells how old a host's copy of the operator's configuration may be, and keeps it up to date: while the store does not answer
// this host, it asks other hosts for newer versions. All times are readings of a clock that counts suspensions (clock.Func); readings of two
// hosts are never compared.
package configage

import "time"

const (
	// askAfter is how long the store may leave a feed call unanswered before other hosts are asked. A long poll without changes is
	// answered after 0.8 s.
	askAfter = time.Second
	// oldCopyAge is the age above which other hosts are asked although the store has answered lately, as after a suspension: the answer was
	// on its way meanwhile. While the store answers, the age stays below 1.7 s: a call is sent when the previous one is answered.
	oldCopyAge = 2 * time.Second
	// askLead is how long before the end of Limits.freshAge other hosts are asked at the latest.
	askLead = 100 * time.Millisecond
	// margin covers the time between a decision and its response, and clocks of different speeds.
	margin = 200 * time.Millisecond
	// attemptValidity is how long after its start an attempt to confirm the copy shows that this host could not learn of a newer
	// version. It is longer than an attempt and the pause after it together, unless a newer version is being received.
	attemptValidity = time.Second
)

// Limits bound the age of a copy by which a host decides. The zero value sets no bound.
type Limits struct {
	Apply     time.Duration // time within which a change of the configuration must be applied
	Extension time.Duration // by how much that time is extended while the store is unstable
}

// enabled reports whether the age of the copy is bounded.
func (l Limits) enabled() bool { return l.Apply+l.Extension > 0 }

// freshAge returns the age up to which a copy may be used without an attempt to confirm it.
func (l Limits) freshAge() time.Duration {
	if l.Apply == 0 {
		return oldCopyAge
	}
	return l.Apply - margin
}

// State is what a host knows of the age of its copy.
type State struct {
	Known       bool          // the copy has been confirmed once
	ConfirmedAt time.Duration // the copy was the newest version at that time
	AnsweredAt  time.Duration // when the store last answered this host
	Attempted   bool          // an attempt to confirm the copy has ended
	AttemptedAt time.Duration // when the last of these attempts began
}

// Verdict tells whether a copy may be used.
type Verdict int

// Verdicts.
const (
	Usable     Verdict = iota
	CheckFirst         // an attempt to confirm the copy has to end first
	TooOld
)

// String returns the name of the verdict for dumps.
func (v Verdict) String() string { return [...]string{"usable", "check first", "too old"}[v] }

// Age returns the time since the copy was last known to be the newest version.
func (s State) Age(now time.Duration) time.Duration { return now - s.ConfirmedAt }

// Verdict tells whether the copy may be used now. Up to Limits.Apply it may. Up to the end of the extension it may be used by a host that
// has tried in vain to confirm it: then the store is unstable. A host that has not tried, since it was suspended, must do so first.
func (s State) Verdict(now time.Duration, l Limits) Verdict {
	switch {
	case !l.enabled():
		return Usable
	case !s.Known:
		return TooOld
	case s.Age(now) <= l.freshAge():
		return Usable
	case !s.attemptedLately(now):
		return CheckFirst
	case s.Age(now) <= l.Apply+l.Extension-margin:
		return Usable
	}
	return TooOld
}

// attemptedLately reports whether the last attempt to confirm the copy still shows that this host can't.
func (s State) attemptedLately(now time.Duration) bool {
	return s.Attempted && now-s.AttemptedAt <= attemptValidity
}

// ShouldAsk reports whether it is time to ask other hosts for a newer version.
func (s State) ShouldAsk(now time.Duration, l Limits) bool {
	return !s.Known || now-s.AnsweredAt > askAfter || s.Age(now) > min(oldCopyAge, l.freshAge()-askLead)
}

// ShouldRead reports whether an attempt should read the configuration from the store as well: as the first one after a pause, since the
// next answer of the feed may take a whole poll, or where no other host can be asked. During an outage, more reads would only add to the
// load of a store that recovers.
func (s State) ShouldRead(now time.Duration, peers int) bool {
	return peers == 0 || !s.attemptedLately(now)
}
