package standin_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/standin"
	"github.com/greengagewing/greengagewing/table"
)

func post(h http.Handler, path, body string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return rec
}

func startTask(h http.Handler, task string, epoch int, resources string) int {
	return post(h, "/v1/tasks", fmt.Sprintf(`{"task_id":%q,"attempt":1,"epoch":%d,"lease_ms":15000,"kind":"batch",
		"resources":%s,"payload":{"key":"k","work_ms":60000,"once":true}}`, task, epoch, resources)).Code
}

func getReport(h http.Handler) standin.Report {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/report", nil))
	var r standin.Report
	So(json.Unmarshal(rec.Body.Bytes(), &r), ShouldBeNil)
	return r
}

func firstTaskState(h http.Handler) string { return getReport(h).Tasks[0].State }

// TestWorker guards against a fake worker whose leases, pauses or results are more lenient than the real platform's,
// which would hide broken guarantees of the daemon.
func TestWorker(t *testing.T) {
	runInVirtualTime := func(name string, f func(w *standin.Worker)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := standin.NewWorker("w1", standin.Resources{CPUMilli: 1000, MemoryMB: 100})
				go w.Run(ctx)
				Convey(name, t, func() { f(w) })
			})
		})
	}
	runInVirtualTime("a task ends when its lease expires; its result stays until acknowledged", func(w *standin.Worker) {
		So(startTask(w, "a", 1, `{}`), ShouldEqual, 200)
		time.Sleep(14 * time.Second)
		So(post(w, "/v1/renew", `{"epoch":1,"lease_ms":15000,"tasks":["a"]}`).Code, ShouldEqual, 200)
		time.Sleep(14 * time.Second)
		So(firstTaskState(w), ShouldEqual, standin.TaskRunning)
		So(post(w, "/v1/ack", `{"epoch":1,"tasks":["a"]}`).Code, ShouldEqual, 200)
		time.Sleep(time.Second)
		So(getReport(w).Tasks[0].Expired, ShouldBeTrue)
		post(w, "/v1/ack", `{"epoch":1,"tasks":[{"task_id":"a","attempt":1}]}`)
		So(getReport(w).Tasks, ShouldBeEmpty)
	})
	runInVirtualTime("a paused worker does not respond; if its leases are frozen, its tasks continue afterwards", func(w *standin.Worker) {
		startTask(w, "a", 1, `{}`)
		for _, freeze := range []bool{true, false} {
			w.SetFaults(standin.Faults{Paused: true, FreezeLeases: freeze})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			rec := httptest.NewRecorder()
			w.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/report", nil).WithContext(ctx))
			cancel()
			So(rec.Body.Len(), ShouldEqual, 0)
			time.Sleep(20 * time.Second)
			w.SetFaults(standin.Faults{})
			if freeze {
				So(firstTaskState(w), ShouldEqual, standin.TaskRunning)
			} else {
				So(firstTaskState(w), ShouldEqual, standin.TaskStopped)
			}
		}
	})
	runInVirtualTime("a message that arrives during a pause takes effect after it; a worker with a clock ignores it after not_after_ms", func(w *standin.Worker) {
		for _, clock := range []bool{false, true} {
			So(getReport(w).ClockMS > 0, ShouldEqual, clock)
			w.SetFaults(standin.Faults{Clock: clock, Paused: true})
			go post(w, "/v1/tasks", fmt.Sprintf(`{"task_id":"t-%t","lease_ms":5000,"run_ms":60000,"not_after_ms":11000}`, clock))
			time.Sleep(10 * time.Second)
			w.SetFaults(standin.Faults{Clock: clock})
			synctest.Wait()
			So(len(getReport(w).Tasks), ShouldEqual, 1)
			time.Sleep(2 * time.Second)
			post(w, "/v1/renew", `{"lease_ms":5000,"not_after_ms":11000,"tasks":["t-false"]}`)
			So(getReport(w).Tasks[0].RemainingLeaseMS, ShouldEqual, map[bool]int64{false: 5000, true: 0}[clock])
			w.SetFaults(standin.Faults{Clock: true})
		}
		So(w.Audit().Report().Workers["w1"].TooLate, ShouldEqual, 1)
	})
	runInVirtualTime("a task that exceeds the capacity starts and is a violation, as is a second run", func(w *standin.Worker) {
		startTask(w, "a", 1, `{"cpu_milli":600}`)
		So(w.Audit().Report().Violations, ShouldBeEmpty)
		startTask(w, "b", 1, `{"cpu_milli":600}`)
		w.SetFaults(standin.Faults{Restart: true})
		So(getReport(w).BootID, ShouldEqual, "w1-boot-2")
		startTask(w, "a", 1, `{}`)
		So(w.Audit().Report().Violations, ShouldResemble, []string{
			"task a: ran 2 times",
			"worker w1: assigned {CPUMilli:1200 MemoryMB:0 Accelerators:0}, has {CPUMilli:1000 MemoryMB:100 Accelerators:0}",
		})
		post(w, "/v1/tasks", `{"task_id":"a","attempt":2,"lease_ms":1000}`)
		So(w.Audit().Report().Overlaps, ShouldResemble, []standin.Overlap{{TaskID: "a", Places: []string{"w1/1", "w1/2"}}})
	})
	runInVirtualTime("epochs are compared only if configured, usage appears after a lag, a checkpoint keeps progress", func(w *standin.Worker) {
		So(startTask(w, "a", 5, `{"memory_mb":10}`), ShouldEqual, 200)
		So(startTask(w, "b", 4, `{}`), ShouldEqual, 200)
		w.SetFaults(standin.Faults{CompareEpochs: true, UsageRatio: 2, UsageLagMS: 2000})
		So(startTask(w, "c", 4, `{}`), ShouldEqual, 409)
		So(getReport(w).Tasks[0].Usage.MemoryMB, ShouldEqual, 0)
		time.Sleep(2 * time.Second)
		So(getReport(w).Tasks[0].Usage.MemoryMB, ShouldEqual, 20)
		post(w, "/v1/tasks/a/throttle", `{"attempt":1,"epoch":5}`)
		So(getReport(w).Tasks[0].Usage.MemoryMB, ShouldEqual, 10)
		time.Sleep(10 * time.Second)
		post(w, "/v1/tasks/a/checkpoint", `{"attempt":1,"epoch":5}`)
		post(w, "/v1/tasks", `{"task_id":"a","attempt":2,"epoch":5,"lease_ms":600000,"run_ms":60000}`)
		time.Sleep(105 * time.Second) // throttling doubled the remaining 58 s of run time, of which 10 s passed before the checkpoint
		So(getReport(w).Tasks[1].State, ShouldEqual, standin.TaskRunning)
		time.Sleep(2 * time.Second)
		So(getReport(w).Tasks[1].State, ShouldEqual, standin.TaskDone)
	})
}

// TestMembership guards against a membership list that shows changes before the lag has passed.
func TestMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A change shows only after the lag", t, func() {
			m := standin.NewMembership(2 * time.Second)
			m.Put(standin.Host{ID: "d1", Addr: "127.0.0.1:1", Kind: standin.KindDaemon})
			time.Sleep(1999 * time.Millisecond)
			So(m.Hosts(), ShouldBeEmpty)
			time.Sleep(time.Millisecond)
			So(m.Hosts()[0].State, ShouldEqual, standin.StateLive)
			m.Remove("d1")
			So(len(m.Hosts()), ShouldEqual, 1)
			time.Sleep(2 * time.Second)
			So(m.Hosts(), ShouldBeEmpty)
		})
	})
}

// TestPlatform guards against injected faults that have no effect on network calls.
func TestPlatform(t *testing.T) {
	Convey("Given a platform with one minion and one worker", t, func() {
		c := standin.Textos()
		c.Minions, c.Workers = 1, 1
		p, err := standin.Start(standin.Config{Cells: []standin.Cell{c}})
		So(err, ShouldBeNil)
		Reset(p.Close)
		minion, worker := p.Membership.Hosts()[0], p.Membership.Hosts()[1]
		hc := &http.Client{Transport: &http.Transport{}}
		Reset(hc.CloseIdleConnections)
		setFaults := func(s string) { So(p.SetFaults([]byte(s)), ShouldBeNil) }
		execute := func(id string) (*http.Response, string, error) {
			req, _ := http.NewRequest(http.MethodPost, "http://"+minion.Addr+"/v1/execute",
				strings.NewReader(`{"key":"`+id+`"}`))
			req.GetBody = nil
			req.Header.Set("Attempt-Id", id)
			resp, err := hc.Do(req)
			if err != nil {
				return nil, "", err
			}
			defer func() { _ = resp.Body.Close() }()
			raw, err := io.ReadAll(resp.Body)
			return resp, string(raw), err
		}
		requestRuns := func() map[string]int { return p.Audit.Report().RequestRuns }

		Convey("faults of a minion show in its responses and run counts", func() {
			setFaults(`{"target":"textos-minion-*","crash_before":1,"crash_after":1,"truncate":1,"cross":1,"duplicate":1}`)
			for _, id := range []string{"before", "after", "truncated"} {
				_, _, err := execute(id)
				So(err, ShouldNotBeNil)
			}
			resp, _, err := execute("crossed")
			So(err, ShouldBeNil)
			So(resp.Header.Get("Attempt-Id"), ShouldEqual, "truncated")
			_, body, err := execute("duplicated")
			So(err, ShouldBeNil)
			So(body, ShouldContainSubstring, "duplicated")
			resp, _, err = execute("next")
			So(err, ShouldBeNil)
			So(resp.Header.Get("Attempt-Id"), ShouldEqual, "duplicated")
			So(requestRuns(), ShouldResemble, map[string]int{"after": 1, "truncated": 1, "crossed": 1, "duplicated": 1})
			// The minion closes the connection after the duplicate response; the client may not have noticed that yet.
			hc = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			setFaults(`{"target":"textos-minion-00","leaving":true}`)
			resp, _, err = execute("left")
			So(err, ShouldBeNil)
			So(resp.Header.Get("Leaving")+resp.Header.Get("Not-Run"), ShouldEqual, "truetrue")
			So(p.Membership.Hosts()[0].State, ShouldEqual, standin.StateLeaving)
		})
		Convey("silent connections stay silent, new ones work, and a host that is down refuses connections", func() {
			old, err := net.Dial("tcp", minion.Addr)
			So(err, ShouldBeNil)
			Reset(func() { _ = old.Close() })
			request := "POST /v1/execute HTTP/1.1\r\nHost: x\r\nContent-Length: 13\r\n\r\n{\"key\":\"old\"}"
			_, _ = io.WriteString(old, request)
			_, err = http.ReadResponse(bufio.NewReader(old), nil)
			So(err, ShouldBeNil)
			setFaults(`{"target":"textos-minion-00","silence":true}`)
			_, _ = io.WriteString(old, request)
			_, _, err = execute("new")
			So(err, ShouldBeNil)
			setFaults(`{"target":"textos-minion-00","down":true}`)
			rest, _ := io.ReadAll(old)
			So(string(rest), ShouldNotContainSubstring, "HTTP/1.1")
			_, _, err = execute("down")
			So(err, ShouldNotBeNil)
			setFaults(`{"target":"textos-minion-00","clear":true}`)
			_, _, err = execute("up")
			So(err, ShouldBeNil)
			So(requestRuns(), ShouldResemble, map[string]int{"old": 1, "new": 1, "up": 1})
		})
		Convey("an object is stored, and unavailable during an outage of the table service", func() {
			objectRequest := func(method string) (int, string) {
				req, err := http.NewRequest(method, "http://"+p.TableAddr()+"/v1/objects/a/b", strings.NewReader("bytes"))
				So(err, ShouldBeNil)
				resp, err := http.DefaultClient.Do(req)
				So(err, ShouldBeNil)
				defer func() { _ = resp.Body.Close() }()
				raw, _ := io.ReadAll(resp.Body)
				return resp.StatusCode, string(raw)
			}
			_, _ = objectRequest(http.MethodPut)
			status, body := objectRequest(http.MethodGet)
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, "bytes")
			setFaults(`{"target":"table","outage":true}`)
			status, _ = objectRequest(http.MethodGet)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			setFaults(`{"target":"table","clear":true}`)
			_, _ = objectRequest(http.MethodDelete)
			status, _ = objectRequest(http.MethodGet)
			So(status, ShouldEqual, http.StatusNotFound)
		})
		Convey("a write whose response is lost takes effect", func() {
			tc := table.NewHTTPClient(p.TableAddr(), nil)
			Reset(tc.Close)
			setFaults(`{"target":"table","lose_responses":1}`)
			_, err := tc.Commit(t.Context(), table.Txn{Ops: []table.Op{{Key: "x"}}})
			So(err, ShouldWrap, table.ErrUnknownOutcome)
			_, err = tc.Get(t.Context(), "x")
			So(err, ShouldBeNil)
		})
		Convey("an unsupported fault and an unknown target are refused", func() {
			So(p.SetFaults([]byte(`{"target":"`+worker.ID+`","truncate":1}`)), ShouldWrap, standin.ErrInvalidFault)
			So(p.SetFaults([]byte(`{"target":"nobody"}`)), ShouldWrap, standin.ErrUnknownTarget)
		})
	})
}
