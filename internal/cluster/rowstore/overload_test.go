package rowstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// overloadedStore refuses all calls of all hosts together.
type overloadedStore struct {
	Store
	calls int
}

func (s *overloadedStore) Feed(context.Context, string, int64, time.Duration) (Changes, error) {
	s.calls++
	return Changes{}, errors.Join(ErrUnavailable, ErrOverloaded)
}

// Guards against hundreds of hosts that keep the store overloaded by their own retries.
func TestFeedBacksOffFromAnOverloadedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &overloadedStore{}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		(&Follower{Store: s, Table: "t", From: 1, Log: zap.NewNop()}).Run(ctx)
		if s.calls > 30 {
			t.Errorf("%d calls in 20 s, want at most 30", s.calls)
		}
	})
}
