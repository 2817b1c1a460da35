// Package wiretest generates text for tests of messages.
package wiretest

import (
	"math/rand/v2"
	"strings"
	"unicode/utf8"
)

// Text returns a text of at most maxBytes bytes: characters that JSON encoders escape, control characters, letters, or any others.
func Text(random *rand.Rand, maxBytes int) string {
	kinds := []func() rune{
		func() rune { return []rune("<>&\"\\/\u2028\u2029")[random.IntN(8)] },
		func() rune { return rune(random.IntN(32)) },
		func() rune { return 'a' + rune(random.IntN(26)) },
		func() rune { return rune(random.IntN(utf8.MaxRune + 1)) },
	}
	kind := kinds[random.IntN(len(kinds))]
	var b strings.Builder
	for length := random.IntN(maxBytes + 1); ; {
		r := kind()
		if !utf8.ValidRune(r) {
			r = utf8.RuneError
		}
		if b.Len()+utf8.RuneLen(r) > length {
			return b.String()
		}
		b.WriteRune(r)
	}
}
