package lanes_test

import (
	"fmt"
	"time"

	"github.com/greengagewing/greengagewing/lanes"
)

func ExampleQueue() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	q := lanes.New[string](lanes.Config{})
	q.SetSlots(2)
	for _, name := range []string{"bill 1", "bill 2"} {
		t, _ := q.Offer(now, "billing", lanes.Bulk, now.Add(time.Second), name)
		q.Ready(t)
	}
	t, _ := q.Offer(now, "portal", lanes.Urgent, now.Add(time.Second), "pause")
	q.Ready(t)
	for t := q.Next(now); t != nil; t = q.Next(now) {
		fmt.Println("run", t.Value)
	}
	for _, t := range q.Expire(now.Add(time.Second)) {
		fmt.Println("expired", t.Value)
	}
	// Output:
	// run pause
	// run bill 1
	// expired bill 2
}
