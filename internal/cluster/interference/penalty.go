package interference

import (
	"math"
	"math/bits"
)

const (
	// maxWeight is how many millicores of room a separation may cost per millicore of work that it saves, while plentyShare of the pool's
	// processors is free: enough to outweigh any difference of room between two workers. It falls to minWeight at scarceShare, where gangs
	// that need whole workers would otherwise wait for room that separation breaks up.
	maxWeight   = 40.0
	minWeight   = 5.0
	plentyShare = 0.6
	scarceShare = 0.4
	// MaxPenalty is the highest penalty.
	MaxPenalty = 1 << 29
	// minCPUMilli is what a task counts that reserves less.
	minCPUMilli = 100
)

// SetFreeShare tells the model what share of the pool's processors is free, which decides how much room a separation may cost.
func (m *Model) SetFreeShare(share float64) {
	m.weight = minWeight + (maxWeight-minWeight)*min(max((share-scarceShare)/(plentyShare-scarceShare), 0), 1)
}

// Load is what the tasks on a worker use, by kind. The zero value is an empty worker.
type Load struct {
	cpu     [MaxKinds]int64
	present Set
}

// Add adds a task.
func (l *Load) Add(k *Kind, cpuMilli int64) {
	if !k.Known() {
		return
	}
	l.cpu[k.slot] += max(cpuMilli, minCPUMilli)
	l.present |= k.Bit()
}

// Penalty returns what callers lose if a task of the kind that reserves cpuMilli starts on a worker with the load and the capacity: the
// work that this task and its neighbours would do in the same time if they did not interfere, in thousandths of a core, times the room
// that it is worth.
func (k *Kind) Penalty(cpuMilli, capacity int64, l *Load) int64 {
	harmful := k.KeptApartFrom() & l.present
	if harmful == 0 {
		return 0
	}
	m := k.model
	cpuMilli = max(cpuMilli, minCPUMilli)
	before := levelOf(l.cpu[k.slot], capacity)
	after := levelOf(l.cpu[k.slot]+cpuMilli, capacity)
	own, lost := 0.0, 0.0
	for rest := harmful; rest != 0; rest &= rest - 1 {
		slot := bits.TrailingZeros64(uint64(rest))
		if e := &m.effects[k.slot][slot]; e.apart {
			own += e.mean * levelOf(l.cpu[slot], capacity)
		}
		if e := &m.effects[slot][k.slot]; e.apart && slot != k.slot {
			lost += float64(l.cpu[slot]) * (math.Exp(-e.mean*before) - math.Exp(-e.mean*after))
		}
	}
	lost += float64(cpuMilli) * (1 - math.Exp(-own))
	return int64(min(lost*m.weight, MaxPenalty))
}

// levelOf returns the level of a kind whose tasks use so much, if it has any.
func levelOf(cpu, capacity int64) float64 {
	if cpu <= 0 {
		return 0
	}
	return level(cpu, capacity, 1)
}
