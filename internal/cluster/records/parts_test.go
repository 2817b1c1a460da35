package records

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

// Guards against values of several rows that come back changed, incomplete or mixed from two versions, in whatever order and however
// often their rows arrive.
func TestDividedValuesAreJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rowstore.Key{Table: "t", Partition: "p", Name: "job/1"}
		value := append([]byte("{"), rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "value")...)
		maxBytes := rapid.IntRange(16, 500).Draw(t, "maxBytes")
		puts := Split(key, value, maxBytes)
		var rows []rowstore.Row
		for _, p := range puts {
			if len(p.Value) > maxBytes {
				t.Fatalf("a row has %d bytes", len(p.Value))
			}
			rows = append(rows, rowstore.Row{Key: p.Key, Value: p.Value, Version: 8})
		}
		repeated := append([]rowstore.Row(nil), rows[:len(rows)-1]...)
		old := rowstore.Row{Key: PartKey(key, 1), Value: []byte("older"), Version: 7}
		all := append(append(repeated, rows...), old)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		random.Shuffle(len(all)-1, func(a, b int) { all[a], all[b] = all[b], all[a] })
		joined := Join(all)
		if len(joined) == 0 {
			t.Fatal("the value is not joined")
		}
		for _, v := range joined {
			if v.Key != key || string(v.Value) != string(value) || v.Parts != len(puts) || v.Version != 8 {
				t.Fatalf("joined as %s, %d parts, %q", v.Name, v.Parts, v.Value)
			}
		}
		if len(rows) > 1 {
			if incomplete := Join(rows[1:]); len(incomplete) != 0 {
				t.Fatalf("without its first row the value is joined as %q", incomplete[0].Value)
			}
			if incomplete := Join(rows[:len(rows)-1]); len(incomplete) != 0 {
				t.Fatalf("without its last row the value is joined as %q", incomplete[0].Value)
			}
		}
	})
}
