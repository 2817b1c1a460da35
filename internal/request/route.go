package request

import (
	"math/rand/v2"
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	minionSlots     = 8 // attempts that a minion runs at the same time
	failuresToEject = 3 // consecutive failures
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	notAvailable    = -1 // availableIndex of a minion that is not in router.available
)

// minion is a back end that this partition sends attempts to.
type minion struct {
	id, addr string
	connPool *connPool

	inUse        int         // slots used by own and lent attempts
	lostUntil    []time.Time // per slot of a lost attempt that may still run: when it becomes free; in order
	blocked      bool        // attempts of a fenced previous owner may still occupy slots
	reportedIdle int         // while blocked: slots that the minion reported as idle, minus those taken since then

	listed          bool // in the membership list
	listedLeaving   bool // leaving according to the membership list
	reportedLeaving bool // the minion itself has reported that it is leaving

	failures  int // consecutive
	ejections int // consecutive
	ejected   bool
	trialAt   time.Time // while ejected: time of the next trial attempt
	trialDue  bool      // while ejected: the next attempt is a trial

	countedUsable  bool // counted in router.usable
	availableIndex int  // index in router.available, or notAvailable
	countedSlots   int  // slots counted in router.totalSlots
}

// usable reports whether the minion may get new attempts, regardless of free slots and ejection.
func (m *minion) usable() bool { return m.listed && !m.listedLeaving && !m.reportedLeaving }

// idle returns how many attempts may be sent to the minion now. An ejected minion gets one trial attempt at a time.
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

// router tracks the minions of a partition and chooses among them. Choosing a minion does not allocate memory.
type router struct {
	rng        *rand.Rand
	minions    map[string]*minion
	available  []*minion // minions with idle slots
	totalSlots int       // slots in use and idle slots
	usable     int       // minions that may get new attempts, including ejected ones
	nextChange time.Time // earliest time at which the state of a minion changes without an event; zero: none
}

func newRouter(seed uint64) *router {
	return &router{rng: rand.New(rand.NewPCG(seed, 0)), minions: map[string]*minion{}}
}

// pick returns a minion with idle slots, or nil if there is none. It chooses the better one of two random minions,
// which is the one with more idle slots. It avoids the given minion if it can.
//
// An ejected minion that is due for a trial is preferred if the attempt can be repeated elsewhere, and is the second
// choice otherwise: a failed trial of an attempt that cannot be repeated would leave its outcome unknown, and without
// the preference a partition with little load would never try the minion again.
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

// update recomputes the list of available minions and the slot counts after a change of m.
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

// add adds a minion.
func (r *router) add(m *minion) {
	m.availableIndex = notAvailable
	r.minions[m.id] = m
	r.update(m)
}

// acquireSlot takes a slot of the minion.
func (r *router) acquireSlot(m *minion) {
	m.inUse++
	m.reportedIdle--
	r.update(m)
}

// releaseSlot gives a slot back. If occupiedUntil is not zero, the attempt may still run, and the slot remains occupied
// until then.
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

// recordSuccess records an answer of the minion and ends its ejection.
func (r *router) recordSuccess(m *minion) {
	m.failures, m.ejections, m.ejected, m.trialDue = 0, 0, false, false
	r.update(m)
}

// recordFailure records a failure of the minion and reports whether it has ejected the minion.
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

// ejectionDuration returns the duration of the n-th ejection in a row, counted from zero. It grows exponentially.
func ejectionDuration(n int) time.Duration { return wait.Backoff(minEjection, maxEjection, n) }

// noteChangeAt makes sure that advance looks at the minions at the given time.
func (r *router) noteChangeAt(t time.Time) {
	if r.nextChange.IsZero() || t.Before(r.nextChange) {
		r.nextChange = t
	}
}

// advance frees the slots of lost attempts that can no longer run, and makes ejected minions due for a trial.
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

// unblock makes all slots usable after the attempts of a fenced previous owner have ended.
func (r *router) unblock() {
	for _, m := range r.minions {
		m.blocked = false
		r.update(m)
	}
}

// idleSlots returns the number of idle slots of all minions.
func (r *router) idleSlots() int {
	n := 0
	for _, m := range r.available {
		n += m.idle()
	}
	return n
}
