// Package defaults fills in the fields that a configuration leaves unset.
package defaults

import "cmp"

// Set assigns the default value to a field that is zero or negative.
func Set[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
