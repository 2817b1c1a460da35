package systemtest

import (
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/greengagewing/greengagewing/internal/request"
)

// TestModels guards against models that accept a history with a broken guarantee, or reject a valid one.
func TestModels(t *testing.T) {
	done := func(result string) request.Outcome {
		return request.Outcome{Result: request.Done, Answer: []byte(result)}
	}
	notRun, unknown := request.NotRunOutcome("", "", 0), request.UnknownOutcome("", "")
	for _, c := range []struct {
		name     string
		outcomes []request.Outcome
		runs     int
		want     bool
	}{
		{"repeated answer", []request.Outcome{notRun, done("a"), done("a")}, 1, true},
		{"different answers", []request.Outcome{done("a"), done("b")}, 1, false},
		{"ran twice", []request.Outcome{done("a")}, 2, false},
		{"done without a run", []request.Outcome{done("a")}, 0, false},
		{"refused but run", []request.Outcome{notRun, notRun}, 1, false},
		{"unknown and run", []request.Outcome{unknown, notRun}, 1, true},
		{"unknown and not run", []request.Outcome{notRun, unknown}, 0, true},
		{"unknown, then known", []request.Outcome{unknown, done("a")}, 1, true},
	} {
		var ops []porcupine.Operation
		for i, o := range c.outcomes {
			ops = append(ops, porcupine.Operation{Input: submission{key: "k"}, Output: o, Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		ops = append(ops, porcupine.Operation{Input: submission{"k", c.runs}, Output: finalAudit, Call: 100, Return: 101})
		if got := porcupine.CheckOperations(atMostOnceModel, ops); got != c.want {
			t.Errorf("%s: the model accepts the history: %v", c.name, got)
		}
	}
	for _, c := range []struct {
		name    string
		results []editResult
		want    bool
	}{
		{"conflict after an edit", []editResult{{200, 1}, {409, 1}}, true},
		{"two edits of one version", []editResult{{200, 1}, {200, 1}}, false},
		{"conflict without an edit", []editResult{{409, 1}}, false},
		{"conflict after a lost response", []editResult{{0, 0}, {409, 1}}, true},
	} {
		var ops []porcupine.Operation
		for i, r := range c.results {
			ops = append(ops, porcupine.Operation{Input: edit{list: "plans"}, Output: r, Call: int64(2 * i), Return: int64(2*i + 1)})
		}
		if got := porcupine.CheckOperations(listModel, ops); got != c.want {
			t.Errorf("%s: the model accepts the history: %v", c.name, got)
		}
	}
}
