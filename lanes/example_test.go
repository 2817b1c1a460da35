package lanes_test

import (
	"fmt"
	"time"

	"github.com/greengagewing/greengagewing/lanes"
)

func ExampleQueue() {
	now := time.Now()
	q := lanes.New[string](lanes.Config{})
	q.SetSlots(2)
	for i, lane := range []lanes.Lane{lanes.Bulk, lanes.Bulk, lanes.Urgent} {
		t, _ := q.Enqueue(now, "customer", lane, now.Add(time.Second), fmt.Sprint(lane, " ", i))
		q.MarkReady(t)
	}
	fmt.Println(q.Next(now).Value, "and", q.Next(now).Value)
	fmt.Println(q.TakeExpired(now.Add(time.Second))[0].Value, "expired")
	// Output:
	// urgent 2 and bulk 0
	// bulk 1 expired
}
