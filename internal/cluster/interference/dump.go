package interference

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Dump is what the model knows, for operators.
type Dump struct {
	Kinds []KindDump `json:"kinds"`
	Pairs []PairDump `json:"pairs"`
	// Weight is how many millicores of room a separation may cost now per millicore of work that it saves.
	Weight float64 `json:"room_weight"`
}

// KindDump is one kind.
type KindDump struct {
	Name   string `json:"name"`
	SeenMS int64  `json:"seen_ms_ago"`
	// Within and Between are the standard deviations of the logarithms of rates within a run and between runs.
	Within  float64 `json:"within"`
	Between float64 `json:"between"`
}

// PairDump is what is known about one pair of kinds.
type PairDump struct {
	Slowed       string  `json:"slowed"`
	By           string  `json:"by"`
	Slowdown     float64 `json:"slowdown"` // factor on the duration
	Lower        float64 `json:"lower"`    // confidence bounds of Slowdown
	Upper        float64 `json:"upper"`
	Observations int     `json:"observations"`
	SeenMS       int64   `json:"seen_ms_ago"`
	Apart        bool    `json:"apart"`
}

// maxDumpedPairs limits the size of a dump.
const maxDumpedPairs = 200

// Dump returns what the model knows, or nil if there is no model.
func (m *Model) Dump(now time.Time) *Dump {
	if m == nil {
		return nil
	}
	d := &Dump{Weight: m.weight}
	for _, k := range m.slots {
		if k != nil {
			d.Kinds = append(d.Kinds, KindDump{k.name, now.Sub(k.lastSeen).Milliseconds(), math.Sqrt(k.within.value()), math.Sqrt(k.between.value())})
		}
	}
	slices.SortFunc(d.Kinds, func(a, b KindDump) int { return strings.Compare(a.Name, b.Name) })
	pairs := m.pairs(now)
	for _, p := range pairs[:min(len(pairs), maxDumpedPairs)] {
		spread := apartConfidence * math.Sqrt(p.variance)
		d.Pairs = append(d.Pairs, PairDump{p.slowed.name, p.by.name, math.Exp(p.mean), math.Exp(p.mean - spread), math.Exp(p.mean + spread),
			p.count, now.Sub(p.seen).Milliseconds(), p.apart})
	}
	return d
}

// Stats are the sizes of a model, for metrics.
type Stats struct {
	Kinds        int
	PairsApart   int   // pairs that are kept apart, each direction on its own
	Observations int64 // comparisons so far
}

// Stats returns the sizes of the model.
func (m *Model) Stats() Stats {
	s := Stats{Kinds: len(m.byName), Observations: m.comparisons}
	for i := range m.effects {
		for j := range m.effects[i] {
			if m.effects[i][j].apart {
				s.PairsApart++
			}
		}
	}
	return s
}
