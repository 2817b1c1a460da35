// Package defaults completes configurations.
package defaults

import "cmp"

// Set gives a field that is not positive its default.
func Set[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
