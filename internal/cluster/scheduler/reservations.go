package scheduler

// reservedShareDivisor limits reservations: once more than 1/reservedShareDivisor of the workers are reserved, no further gang
// gets a reservation. So gangs that can't be placed do not leave the whole pool idle.
const reservedShareDivisor = 2

// reservations maps workers to gangs that do not fit yet. Units that come later in the planning order than the gang get no place
// there, unless they can be stopped in favour of the gang; more urgent ones do.
type reservations map[*worker]candidate

// add reserves workers, unless too many are reserved already. A worker that is reserved keeps its reservation.
func (r reservations) add(c candidate, workers []*worker, poolSize int) {
	if len(r) > poolSize/reservedShareDivisor {
		return
	}
	for _, w := range workers {
		if _, reserved := r[w]; !reserved {
			r[w] = c
		}
	}
}

// exclude reports whether the worker is reserved for a gang that comes before the unit in the planning order.
func (r reservations) exclude(c candidate, w *worker) bool {
	holder, reserved := r[w]
	return reserved && holder.unit != c.unit && holder.before(c) && (c.late || !c.unit.preemptibleFor(holder.unit))
}
