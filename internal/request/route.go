package request

import (
	"math/rand/v2"
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	minionSlots     = 8
	failuresToEject = 3 // consecutive failures
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	notAvailable    = -1 // index of a minion that is not in router.available
)

// minion is one back end that this partition owns.
type minion struct {
	id, addr string
	connPool *connPool

	inUse        int         // slots of own and lent attempts
	lostUntil    []time.Time // ends of slots whose attempts were lost and may still run, in order
	blocked      bool        // slots may still hold a fenced predecessor's attempts
	reportedIdle int         // while blocked: slots that the minion itself reported idle, minus those used since

	listed          bool // in the membership list
	listedLeaving   bool // leaving according to the list
	reportedLeaving bool // said itself that it is leaving

	failures  int // consecutive
	ejections int // consecutive
	ejected   bool
	trialAt   time.Time // when ejected: time of the next trial
	trialDue  bool

	countedUsable  bool // in router.usable
	availableIndex int  // in router.available, or notAvailable
	countedSlots   int  // its part of router.total
}

// usable reports whether the minion may get new work, apart from free slots and ejection.
func (m *minion) usable() bool { return m.listed && !m.listedLeaving && !m.reportedLeaving }

// idle returns how many attempts may be sent to the minion now.
func (m *minion) idle() int {
	free := minionSlots - m.inUse - len(m.lostUntil)
	if m.blocked {
		free = min(free, m.reportedIdle)
	}
	switch {
	case !m.usable() || free <= 0:
		return 0
	case m.ejected && (!m.trialDue || m.inUse > 0):
		return 0
	case m.ejected:
		return 1
	}
	return free
}

// router knows the minions of a partition and chooses among them. Its decisions do not allocate.
type router struct {
	rng        *rand.Rand
	minions    map[string]*minion
	available  []*minion // with idle slots
	totalSlots int       // slots in use and idle slots
	usable     int       // minions that may get new work, ejected ones included
	nextChange time.Time // earliest time at which a minion's state changes by itself; zero: none
}

func newRouter(seed uint64) *router {
	return &router{rng: rand.New(rand.NewPCG(seed, 0)), minions: map[string]*minion{}}
}

// pick returns the better of two random minions with idle slots, or nil. It avoids one minion if it can. A trial of an
// ejected minion goes first if its attempt could be repeated elsewhere, and last otherwise: a failed trial would leave the
// outcome unknown, and without preference an idle partition would try no minion. Of others, the one with more idle slots
// is better.
func (r *router) pick(avoid *minion, repeatable bool) *minion {
	n := len(r.available)
	switch n {
	case 0:
		return nil
	case 1:
		return r.available[0]
	}
	i := r.rng.IntN(n)
	j := r.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := r.available[i], r.available[j]
	preferSecond := b.idle() > a.idle()
	switch {
	case a == avoid:
		preferSecond = true
	case b == avoid:
		preferSecond = false
	case a.ejected != b.ejected:
		preferSecond = b.ejected == repeatable
	}
	if preferSecond {
		return b
	}
	return a
}

// update brings the list of available minions and the number of slots up to date after a change of m.
func (r *router) update(m *minion) {
	idle := m.idle()
	countedSlots := idle + m.inUse
	r.totalSlots += countedSlots - m.countedSlots
	m.countedSlots = countedSlots
	if u := m.usable(); u != m.countedUsable {
		m.countedUsable = u
		if u {
			r.usable++
		} else {
			r.usable--
		}
	}
	switch {
	case idle > 0 && m.availableIndex == notAvailable:
		m.availableIndex = len(r.available)
		r.available = append(r.available, m)
	case idle == 0 && m.availableIndex != notAvailable:
		last := r.available[len(r.available)-1]
		r.available[m.availableIndex] = last
		last.availableIndex = m.availableIndex
		r.available[len(r.available)-1] = nil
		r.available = r.available[:len(r.available)-1]
		m.availableIndex = notAvailable
	}
}

func (r *router) add(m *minion) {
	m.availableIndex = notAvailable
	r.minions[m.id] = m
	r.update(m)
}

// acquireSlot takes a slot.
func (r *router) acquireSlot(m *minion) {
	m.inUse++
	m.reportedIdle--
	r.update(m)
}

// releaseSlot gives a slot back. When the attempt may still run, the slot stays taken until the given time.
func (r *router) releaseSlot(m *minion, occupiedUntil time.Time) {
	m.inUse--
	if !occupiedUntil.IsZero() {
		m.lostUntil = append(m.lostUntil, occupiedUntil)
		r.noteChangeAt(occupiedUntil)
	} else {
		m.reportedIdle++
	}
	r.update(m)
}

// recordSuccess notes an answer; an ejected minion serves again.
func (r *router) recordSuccess(m *minion) {
	m.failures, m.ejections, m.ejected, m.trialDue = 0, 0, false, false
	r.update(m)
}

// recordFailure notes a failure and reports whether the minion was ejected now.
func (r *router) recordFailure(m *minion, now time.Time) bool {
	m.failures++
	if !m.ejected && m.failures < failuresToEject || m.ejected && !m.trialDue {
		return false
	}
	first := !m.ejected
	m.ejected, m.trialDue = true, false
	m.trialAt = now.Add(ejectionDuration(m.ejections))
	m.ejections++
	r.noteChangeAt(m.trialAt)
	r.update(m)
	return first
}

// ejectionDuration returns how long a minion is ejected for the n-th time in a row, counted from zero.
func ejectionDuration(n int) time.Duration { return wait.Backoff(minEjection, maxEjection, n) }

func (r *router) noteChangeAt(t time.Time) {
	if r.nextChange.IsZero() || t.Before(r.nextChange) {
		r.nextChange = t
	}
}

// advance applies the changes that are due: ends of holds and of ejections.
func (r *router) advance(now time.Time) {
	if r.nextChange.IsZero() || now.Before(r.nextChange) {
		return
	}
	r.nextChange = time.Time{}
	for _, m := range r.minions {
		keep := m.lostUntil[:0]
		for _, t := range m.lostUntil {
			if t.After(now) {
				keep = append(keep, t)
				r.noteChangeAt(t)
			}
		}
		m.lostUntil = keep
		if m.ejected && !m.trialDue {
			if m.trialAt.After(now) {
				r.noteChangeAt(m.trialAt)
			} else {
				m.trialDue = true
			}
		}
		r.update(m)
	}
}

// unblock ends the wait after a takeover.
func (r *router) unblock() {
	for _, m := range r.minions {
		m.blocked = false
		r.update(m)
	}
}

// idleSlots returns the number of idle slots.
func (r *router) idleSlots() int {
	n := 0
	for _, m := range r.available {
		n += m.idle()
	}
	return n
}
