// Package fault provides the error type that all packages use: an operation, a kind and a cause.
package fault

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error is an error with the operation that failed and a kind, by which the calling code decides how to react.
type Error[K ~string] struct {
	op   string
	kind K
	err  error
}

// New returns an error of the kind whose cause is a message.
func New[K ~string](op string, kind K, msg string) *Error[K] {
	return &Error[K]{op: op, kind: kind, err: eris.New(msg)}
}

// Wrap returns an error of the kind whose cause is err.
func Wrap[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{op: op, kind: kind, err: eris.Wrap(err, string(kind))}
}

// Error returns "operation: kind: cause".
func (e *Error[K]) Error() string { return e.op + ": " + string(e.kind) + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.err }

// Op returns the operation that failed.
func (e *Error[K]) Op() string { return e.op }

// Kind returns the kind of the failure.
func (e *Error[K]) Kind() K { return e.kind }

// KindOf returns the kind of the first Error[K] in err's chain, or an empty kind if there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.kind
	}
	var zero K
	return zero
}
