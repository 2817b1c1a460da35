package plan

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/go-faster/errors"
)

// FuzzParseDocument guards against a list that crashes the daemon, a problem with a line number that the document does
// not have, and an accepted list whose entries change when they are encoded and parsed again.
func FuzzParseDocument(f *testing.F) {
	for _, doc := range []string{
		`{"basic":{"requests_per_second":1,"burst":2}}`, `{"a":"basic"}`, `{"a":1}`, `{"a":"b","a":"c"}`, `{`, ``, `[]`,
		"{\n\"a\":\n{\"burst\":-1}}", `{"a":{"burst":1e400}}`, `{"\ud800":"x"}`, `{"a":"b"} x`, "\x00", `{"a":{"burst":9223372036854775808}}`,
	} {
		f.Add([]byte(doc))
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		for _, list := range []string{PlansList, AllowancesList} {
			entries, err := ParseDocument(list, doc)
			if err != nil {
				checkProblems(t, doc, err)
				continue
			}
			raw, err := json.Marshal(entries)
			if err != nil {
				t.Fatalf("parsed %q, but encoding its entries failed: %v", doc, err)
			}
			reparsed, err := ParseDocument(list, raw)
			if err != nil {
				t.Fatalf("parsed %q, but not its encoded entries %q: %v", doc, raw, err)
			}
			raw2, _ := json.Marshal(reparsed)
			if !bytes.Equal(raw, raw2) {
				t.Fatalf("encoded entries %q changed to %q after parsing", raw, raw2)
			}
		}
	})
}

func checkProblems(t *testing.T, doc []byte, err error) {
	var problems Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("%q: the error lists no problems: %v", doc, err)
	}
	for _, p := range problems {
		if p.Line < 0 || p.Line > 1+bytes.Count(doc, []byte("\n")) {
			t.Fatalf("%q: problem at line %d, which does not exist", doc, p.Line)
		}
	}
}
