package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/api"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/request"
	"github.com/greengagewing/greengagewing/internal/settings"
)

// Module holds all parts of the daemon.
var Module = fx.Options(
	fx.Provide(newLogger, newMembership, newEngine),
	fx.Invoke(serveCallers),
)

func newLogger(s *settings.Settings) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	cfg.Level = level
	return cfg.Build()
}

func newMembership(s *settings.Settings, lc fx.Lifecycle) *membership.List {
	l := membership.NewList(membership.HTTPFetcher{Addr: s.Membership.String(), Client: &http.Client{}})
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() { go l.Run(ctx) }, cancel))
	return l
}

func newEngine(l *membership.List) *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery())
	api.NewRequests(e, &direct{list: l, client: request.NewMinionClient()})
	return e
}

func serveCallers(s *settings.Settings, e *gin.Engine, lc fx.Lifecycle, log *zap.Logger) {
	srv := &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	lc.Append(fx.StartStopHook(func() error {
		l, err := net.Listen("tcp", s.Listen.String())
		if err != nil {
			return err
		}
		log.Info("listening for callers", zap.Stringer("addr", l.Addr()))
		go func() { _ = srv.Serve(l) }()
		return nil
	}, srv.Shutdown))
}

// direct sends every request straight to a random minion.
type direct struct {
	list   *membership.List
	client *request.MinionClient
}

// Submit implements api.Requests.
func (d *direct) Submit(ctx context.Context, r request.Request) request.Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout())
	defer cancel()
	ms := d.list.Minions(r.Service)
	if len(ms) == 0 {
		return request.Refuse(request.CodeNoMinion, "no minion", time.Second)
	}
	m := ms[rand.IntN(len(ms))]
	answer, err := d.client.Execute(ctx, m.Addr, strconv.FormatUint(rand.Uint64(), 16), r.Payload)
	if err != nil {
		return request.Undecided(request.CodeOutcomeUnknown, err.Error())
	}
	return request.Outcome{Outcome: request.Done, Result: answer, Key: r.Key}
}

// Lookup implements api.Requests.
func (d *direct) Lookup(context.Context, string, string, string) request.Outcome {
	return request.Refuse(request.CodeNotFound, "nothing is recorded", 0)
}
