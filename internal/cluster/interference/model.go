// Package interference learns from the progress of runs how much slower tasks of one kind run beside tasks of another on the same worker,
// and with what confidence.
//
// The rate of a run is its gain in percent per second. Its logarithm is modelled as a base rate, which differs from run to run, less the
// sum over the kinds beside it of an effect times a level from 0 to 1, which says how present the kind was. Only differences of rates are
// used, in which the base rate cancels: between segments of one run with different neighbours, and between runs of one kind on one worker.
// Estimates of durations and the speed of workers therefore have no influence. For each pair of kinds the model holds the mean and the
// variance of the effect, which return to those of an unknown pair over time (an Ornstein-Uhlenbeck process).
//
// The package uses no clock, no network and no goroutine: the caller serializes all calls and passes the current time.
package interference

import (
	"hash/fnv"
	"math"
	"math/bits"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxKinds is the highest number of kinds that the model knows. It is the number of bits of a Set.
	MaxKinds = 64
	// maxNameBytes limits the length of a kind's name, and so the size of the stored model.
	maxNameBytes = 64
	// minKindAge is how long a kind must not have been seen before another one takes its slot. With more kinds than slots, those that
	// come later are not observed.
	minKindAge = 30 * time.Second
	// sweepInterval is the minimum time between two checks whether pairs that were not observed have become uncertain.
	sweepInterval = time.Second
)

// Set is a set of kinds by slot.
type Set uint64

// Kind is a kind of tasks. A nil Kind is one that the model does not know; it has no effects.
type Kind struct {
	model         *Model
	name          string
	slot          int // -1 once another kind has taken the slot
	lastSeen      time.Time
	keptApartFrom Set // kinds with which it is kept apart, because it slows them down or they slow it down
	within        dispersion
	between       dispersion
}

// Bit returns the set that holds only the kind.
func (k *Kind) Bit() Set {
	if k == nil || k.slot < 0 {
		return 0
	}
	return 1 << k.slot
}

// KeptApartFrom returns the kinds that the kind is kept apart from.
func (k *Kind) KeptApartFrom() Set {
	if k == nil {
		return 0
	}
	return k.keptApartFrom
}

// MarkSeen notes that there are tasks of the kind, and reports whether the model still holds it.
func (k *Kind) MarkSeen(now time.Time) bool {
	if !k.Known() {
		return false
	}
	k.lastSeen = now
	return true
}

// Known reports whether the model still holds the kind.
func (k *Kind) Known() bool { return k != nil && k.slot >= 0 }

// Model holds what is known about the kinds.
type Model struct {
	byName      map[string]*Kind
	slots       [MaxKinds]*Kind
	effects     [MaxKinds][MaxKinds]effect // by slot of the kind that is slowed down, and of the kind that slows it down
	fullUntil   time.Time                  // no slot is free before
	sweptAt     time.Time
	weight      float64 // see SetFreeShare
	changes     []Change
	storedAt    time.Time // when Encode was last called
	unstored    bool      // a pair has become or ceased to be kept apart since the last Encode
	comparisons int64
	buffer      vector // reused by applyComparison to avoid allocations
}

// Change says that a pair of kinds has become, or is no longer, kept apart.
type Change struct {
	Slowed, By string // names of the kinds
	Apart      bool
	Slowdown   float64 // factor on the duration
	Lower      float64 // lower confidence bound of Slowdown
}

// New returns an empty model.
func New() *Model { return &Model{byName: map[string]*Kind{}, weight: maxWeight} }

// Name returns the name of the kind of a step's tasks: its image, or its queue and service where it names none.
func Name(image, queue, service string) string {
	name := "image " + image
	if image == "" {
		name = "queue " + queue + " " + service
	}
	if len(name) <= maxNameBytes {
		return name
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	suffix := "~" + strconv.FormatUint(h.Sum64(), 36)
	return strings.ToValidUTF8(name[:maxNameBytes-len(suffix)], "") + suffix
}

// Kind returns the kind with the name. It returns nil if the model holds as many kinds as it can, all of which were seen recently.
func (m *Model) Kind(name string, now time.Time) *Kind {
	if k := m.byName[name]; k != nil {
		k.lastSeen = now
		return k
	}
	if now.Before(m.fullUntil) {
		return nil
	}
	slot := m.freeSlot(now)
	if slot < 0 {
		m.fullUntil = now.Add(sweepInterval)
		return nil
	}
	k := &Kind{model: m, name: name, slot: slot, lastSeen: now, within: newDispersion(priorWithin, priorWithinCount), between: newDispersion(priorBetween, priorBetweenCount)}
	m.slots[slot], m.byName[name] = k, k
	return k
}

// freeSlot returns a slot that is free, after removing the kind that was not seen for the longest time if need be, or -1.
func (m *Model) freeSlot(now time.Time) int {
	oldest := -1
	for i, k := range m.slots {
		if k == nil {
			return i
		}
		if oldest < 0 || k.lastSeen.Before(m.slots[oldest].lastSeen) {
			oldest = i
		}
	}
	if now.Sub(m.slots[oldest].lastSeen) < minKindAge {
		return -1
	}
	m.remove(m.slots[oldest], now)
	return oldest
}

// remove forgets a kind and all pairs with it.
func (m *Model) remove(k *Kind, now time.Time) {
	for _, other := range m.slots {
		if other == nil {
			continue
		}
		for _, pair := range [2][2]*Kind{{k, other}, {other, k}} {
			if e := m.effect(pair[0], pair[1]); e.apart {
				m.setApart(pair[0], pair[1], false, now)
			}
			*m.effect(pair[0], pair[1]) = effect{}
		}
	}
	delete(m.byName, k.name)
	m.slots[k.slot] = nil
	k.slot = -1
}

func (m *Model) effect(slowed, by *Kind) *effect { return &m.effects[slowed.slot][by.slot] }

// setApart records that a pair is kept apart from now on, or no longer.
func (m *Model) setApart(slowed, by *Kind, apart bool, now time.Time) {
	e := m.effect(slowed, by)
	e.apart, m.unstored = apart, true
	mean, sd := e.at(now)
	m.changes = append(m.changes, Change{slowed.name, by.name, apart, math.Exp(mean), math.Exp(mean - apartConfidence*sd)})
	if len(m.changes) > maxChanges {
		m.changes = m.changes[1:]
	}
	slowed.keptApartFrom &^= by.Bit()
	by.keptApartFrom &^= slowed.Bit()
	if m.effect(slowed, by).apart || m.effect(by, slowed).apart {
		slowed.keptApartFrom |= by.Bit()
		by.keptApartFrom |= slowed.Bit()
	}
}

// maxChanges limits the changes that wait for TakeChanges.
const maxChanges = 100

// TakeChanges returns the changes since the last call.
func (m *Model) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// Sweep ends the separation of pairs that were not observed for so long that they have become uncertain. It does nothing if it was
// called recently, or if there is no model.
func (m *Model) Sweep(now time.Time) {
	if m == nil || now.Sub(m.sweptAt) < sweepInterval {
		return
	}
	m.sweptAt = now
	for _, k := range m.slots {
		if k == nil {
			continue
		}
		for rest := k.keptApartFrom; rest != 0; rest &= rest - 1 {
			m.updateApart(k, m.slots[bits.TrailingZeros64(uint64(rest))], now)
		}
	}
}

// updateApart decides whether a pair is kept apart.
func (m *Model) updateApart(slowed, by *Kind, now time.Time) {
	e := m.effect(slowed, by)
	if apart := e.credible(now); apart != e.apart {
		m.setApart(slowed, by, apart, now)
	}
}
