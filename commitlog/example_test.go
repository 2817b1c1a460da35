package commitlog_test

import (
	"context"
	"fmt"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/tabletest"
	"github.com/greengagewing/greengagewing/table"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	client := table.NewMemory()
	committer := commitlog.NewCommitter(client, commitlog.Config{})
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = committer.Run(ctx) }()

	// Production code gets the guard from the ownership package.
	log, _, err := committer.Open(ctx, tabletest.Claim(client, "request/textos/3", 1))
	if err != nil {
		panic(err)
	}
	fmt.Println(log.Append(ctx, []byte("claim of key 17")))

	// The next owner claims the partition at a higher epoch and replays the records.
	_, records, err := committer.Open(ctx, tabletest.Claim(client, "request/textos/3", 2))
	fmt.Printf("%s %v\n", records, err)
	fmt.Println(log.Append(ctx, []byte("claim of key 18")))
	cancel()
	<-stopped
	// Output:
	// <nil>
	// [claim of key 17] <nil>
	// journal: fenced by a newer owner
}
