package interference

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// rowFormat is the version of the stored form. A newer one is not read.
	rowFormat = 1
	// maxStoredPairs limits the size of the stored form. With names of any characters it stays below 48 KB.
	maxStoredPairs = 256
	// A pair has changed materially if its mean has moved by materialEffect, or its standard deviation has fallen by the factor materialSD.
	// That it has become less certain over time needs no write, as Restore takes the age into account.
	materialEffect = 0.05
	materialSD     = 1.5
	// storedScale is the number of stored units in 1.
	storedScale = 1000
)

// ErrUnreadable means that a stored model can't be read; the model stays as it is.
var ErrUnreadable = errors.New("interference: unreadable model")

type storedModel struct {
	Format   int          `json:"v"`
	StoredMS int64        `json:"at"` // milliseconds since 1970
	Kinds    []storedKind `json:"kinds"`
	Pairs    []storedPair `json:"pairs"`
}

type storedKind struct {
	Name    string `json:"n"`
	Within  int64  `json:"w"` // standard deviations in thousandths
	Between int64  `json:"b"`
}

type storedPair struct {
	Slowed   int   `json:"k"` // index in Kinds
	By       int   `json:"by"`
	Mean     int64 `json:"m"` // in thousandths
	SD       int64 `json:"s"` // in thousandths
	Contrast int   `json:"c"`
	SeenS    int64 `json:"t"` // seconds since it was last seen
	Apart    bool  `json:"a,omitempty"`
}

// pair names an effect.
type pair struct {
	slowed, by *Kind
	*effect
}

// pairs returns the pairs about which something is known, those that are kept apart first, then the best known ones.
func (m *Model) pairs(now time.Time) []pair {
	var out []pair
	for _, slowed := range m.slots {
		for _, by := range m.slots {
			if slowed == nil || by == nil {
				continue
			}
			if e := m.effect(slowed, by); e.count > 0 {
				e.age(now)
				out = append(out, pair{slowed, by, e})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b pair) int {
		switch {
		case a.apart != b.apart && a.apart:
			return -1
		case a.apart != b.apart:
			return 1
		case a.variance < b.variance:
			return -1
		case a.variance > b.variance:
			return 1
		}
		return 0
	})
	return out
}

// Changed reports whether the model differs materially from what Encode has last returned.
func (m *Model) Changed(now time.Time) bool {
	if m.unstored {
		return true
	}
	for i := range m.effects {
		for j := range m.effects[i] {
			e := &m.effects[i][j]
			if e.count < minComparisons || !e.seen.After(m.storedAt) {
				continue
			}
			mean, sd := e.at(now)
			stored := e.storedSD
			if stored == 0 {
				stored = priorSD
			}
			if math.Abs(mean-e.storedMean) > materialEffect || sd*materialSD < stored {
				return true
			}
		}
	}
	return false
}

// Encode returns the stored form of the model.
func (m *Model) Encode(now time.Time) ([]byte, error) {
	out := storedModel{Format: rowFormat, StoredMS: now.UnixMilli()}
	index := map[*Kind]int{}
	indexOf := func(k *Kind) int {
		i, known := index[k]
		if !known {
			i = len(out.Kinds)
			index[k] = i
			out.Kinds = append(out.Kinds, storedKind{k.name, scaled(math.Sqrt(k.within.value())), scaled(math.Sqrt(k.between.value()))})
		}
		return i
	}
	for i, p := range m.pairs(now) {
		sd := math.Sqrt(p.variance)
		p.storedMean, p.storedSD = p.mean, sd
		if i < maxStoredPairs {
			out.Pairs = append(out.Pairs, storedPair{indexOf(p.slowed), indexOf(p.by), scaled(p.mean), scaled(sd), p.count,
				int64(now.Sub(p.seen).Seconds()), p.apart})
		}
	}
	m.unstored, m.storedAt = false, now
	data, err := json.Marshal(out)
	if err != nil {
		return nil, errors.Wrap(err, "encode model")
	}
	return data, nil
}

func scaled(v float64) int64 { return int64(math.Round(v * storedScale)) }

func unscaled(v int64) float64 { return float64(v) / storedScale }

// Restore adds what another owner has stored. Pairs about which the model knows something already stay as they are. What is stored becomes
// less certain by its age. Errors: ErrUnreadable, also for a newer format.
func (m *Model) Restore(data []byte, now time.Time) error {
	var in storedModel
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Wrap(ErrUnreadable, err.Error())
	}
	if in.Format != rowFormat {
		return errors.Wrapf(ErrUnreadable, "format %d", in.Format)
	}
	storedAt := time.UnixMilli(min(in.StoredMS, now.UnixMilli()))
	kinds := make([]*Kind, len(in.Kinds))
	for i, k := range in.Kinds {
		if len(k.Name) > maxNameBytes {
			return errors.Wrap(ErrUnreadable, "name too long")
		}
		known := m.byName[k.Name] != nil
		kinds[i] = m.Kind(k.Name, now)
		if kinds[i] != nil && !known {
			kinds[i].within = newDispersion(unscaled(k.Within), priorWithinCount)
			kinds[i].between = newDispersion(unscaled(k.Between), priorBetweenCount)
		}
	}
	for _, p := range in.Pairs {
		if p.Slowed < 0 || p.Slowed >= len(kinds) || p.By < 0 || p.By >= len(kinds) {
			return errors.Wrap(ErrUnreadable, "pair of an unknown kind")
		}
		m.restorePair(kinds[p.Slowed], kinds[p.By], p, storedAt, now)
	}
	return nil
}

// restorePair restores one pair unless something is known about it.
func (m *Model) restorePair(slowed, by *Kind, p storedPair, storedAt, now time.Time) {
	if slowed == nil || by == nil || m.effect(slowed, by).count > 0 {
		return
	}
	sd := min(max(unscaled(p.SD), unscaled(1)), priorSD)
	mean := min(max(unscaled(p.Mean), -maxEffect), maxEffect)
	*m.effect(slowed, by) = effect{mean: mean, variance: sd * sd, updated: storedAt, seen: storedAt.Add(-time.Duration(p.SeenS) * time.Second),
		count: p.Contrast, apart: p.Apart, storedMean: mean, storedSD: sd}
	if p.Apart {
		slowed.keptApartFrom |= by.Bit()
		by.keptApartFrom |= slowed.Bit()
	}
	m.updateApart(slowed, by, now)
}

// maxEffect is the highest effect that a stored model may hold.
const maxEffect = 3.0
