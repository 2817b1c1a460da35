package wire

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/wire/wiretest"
)

// Guards against text that takes more room than in the caller's request, or that changes on the way.
func TestTextIsEncodedAsCallersWriteIt(t *testing.T) {
	Convey("Mark-up takes no more bytes than it has", t, func() {
		text := strings.Repeat("<a&b/>", 100)
		So(Size(text), ShouldEqual, len(text)+2)
	})
	Convey("All text comes back as it was", t, func() {
		random := rand.New(rand.NewPCG(1, 6))
		for range 500 {
			text := wiretest.Text(random, 400)
			data, err := Encode(map[string]string{"text": text})
			So(err, ShouldBeNil)
			var out map[string]string
			So(json.Unmarshal(data, &out), ShouldBeNil)
			So(out["text"], ShouldEqual, text)
		}
	})
}

// Guards against messages over the limit, and against an entry that keeps those behind it from being sent.
func TestBatchesAreLimitedBySize(t *testing.T) {
	for seed := range uint64(20) {
		Convey(fmt.Sprintf("Given entries of random sizes, seed %d", seed), t, func() {
			random := rand.New(rand.NewPCG(seed, 7))
			var sizes []int
			for range 300 {
				sizes = append(sizes, random.IntN(1<<random.IntN(20)))
			}
			for len(sizes) > 0 {
				n := Batch(sizes, func(size int) int { return size }, 50)
				So(n, ShouldBeBetweenOrEqual, 1, 50)
				total := 0
				for _, size := range sizes[:n] {
					total += size + 1
				}
				So(n == 1 || total <= MaxBatchBytes, ShouldBeTrue)
				sizes = sizes[n:]
			}
		})
	}
	Convey("There is no batch of nothing", t, func() { So(Batch(nil, func(int) int { return 0 }, 10), ShouldEqual, 0) })
}
