package idempotency_test

import (
	"context"
	"fmt"

	"github.com/greengagewing/greengagewing/idempotency"
)

func Example() {
	ctx := context.Background()
	log := &memoryLog{} // a daemon uses a commitlog.Log
	claims := idempotency.New(log, idempotency.Config{})
	k := idempotency.Key{Customer: "aarwil", Key: "invoice-17"}

	first, err := claims.Begin(ctx, k, "sha256 of the request")
	fmt.Println(first.Run, err)
	claims.Finish(k, idempotency.Done, "", []byte(`{"charged":true}`))
	again, err := claims.Begin(ctx, k, "sha256 of the request")
	fmt.Println(again.Run, again.Entry.State, string(again.Entry.Answer), err)
	// Output:
	// true <nil>
	// false done {"charged":true} <nil>
}
