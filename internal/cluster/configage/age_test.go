package configage

import (
	"testing"
	"time"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

// Guards against a copy that is used although a change may have been missed for longer than allowed, and against a refusal before that.
func TestVerdict(t *testing.T) {
	usual := Limits{Apply: 3 * second, Extension: 6 * second}
	const now = time.Hour
	for name, c := range map[string]struct {
		limits  Limits
		age     time.Duration
		tried   time.Duration // how long ago the last attempt began; negative for no attempt
		unknown bool
		want    Verdict
	}{
		"fresh":                      {usual, 1600 * ms, -1, false, Usable},
		"just fresh enough":          {usual, 2800 * ms, -1, false, Usable},
		"old, as after a suspension": {usual, 2801 * ms, -1, false, CheckFirst},
		"old, last attempt before the suspension": {usual, 5 * second, 4 * second, false, CheckFirst},
		"old, store and hosts out of reach":       {usual, 5 * second, 500 * ms, false, Usable},
		"at the end of the extension":             {usual, 8800 * ms, 500 * ms, false, Usable},
		"after the extension":                     {usual, 8801 * ms, 500 * ms, false, TooOld},
		"after a long suspension":                 {usual, 60 * second, 61 * second, false, CheckFirst},
		"never confirmed":                         {usual, 0, 500 * ms, true, TooOld},
		"small site":                              {Limits{Apply: 2 * second, Extension: 6 * second}, 1801 * ms, -1, false, CheckFirst},
		"no extension":                            {Limits{Apply: 3 * second}, 2801 * ms, 500 * ms, false, TooOld},
		"only an extension":                       {Limits{Extension: 6 * second}, 5 * second, 500 * ms, false, Usable},
		"only an extension, fresh":                {Limits{Extension: 6 * second}, 1600 * ms, -1, false, Usable},
		"only an extension, after a suspension":   {Limits{Extension: 6 * second}, 5 * second, -1, false, CheckFirst},
		"no bounds":                               {Limits{}, time.Hour, -1, false, Usable},
		"no bounds, never confirmed":              {Limits{}, 0, -1, true, Usable},
	} {
		s := State{Known: !c.unknown, ConfirmedAt: now - c.age, Attempted: c.tried >= 0, AttemptedAt: now - c.tried}
		if got := s.Verdict(now, c.limits); got != c.want {
			t.Errorf("%s: %s, expected %s", name, got, c.want)
		}
	}
}

// Guards against a host that does not ask others in time, and against one that asks them while its feed is in order.
func TestShouldAsk(t *testing.T) {
	const now = time.Hour
	for name, c := range map[string]struct {
		limits        Limits
		age, answered time.Duration
		unknown, want bool
	}{
		"feed in order, just before an answer": {Limits{Apply: 2 * second}, 1650 * ms, 850 * ms, false, false},
		"feed unanswered":                      {Limits{}, 1001 * ms, 1001 * ms, false, true},
		"confirmed by a host, feed unanswered": {Limits{}, 500 * ms, 2 * second, false, true},
		"feed in order, usual site":            {Limits{Apply: 3 * second}, 1700 * ms, 900 * ms, false, false},
		"after a suspension":                   {Limits{}, 10 * second, 10 * ms, false, true},
		"small site, slow store":               {Limits{Apply: 2 * second}, 1701 * ms, 900 * ms, false, true},
		"just started":                         {Limits{}, 0, 0, true, true},
	} {
		s := State{Known: !c.unknown, ConfirmedAt: now - c.age, AnsweredAt: now - c.answered}
		if got := s.ShouldAsk(now, c.limits); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Guards against a host that waits a whole poll after a suspension, or forever where it is alone, and against reads by all hosts throughout
// an outage.
func TestShouldRead(t *testing.T) {
	const now = time.Hour
	for name, c := range map[string]struct {
		tried time.Duration // how long ago the last attempt began; negative for no attempt
		peers int
		want  bool
	}{
		"first attempt":          {-1, 3, true},
		"after a suspension":     {5 * second, 3, true},
		"during an outage":       {250 * ms, 3, false},
		"no other host is known": {250 * ms, 0, true},
	} {
		s := State{Attempted: c.tried >= 0, AttemptedAt: now - c.tried}
		if got := s.ShouldRead(now, c.peers); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
