package model

import "rosemarygrade.dev/lib/pkg/fault"

// Kind is the kind of a model error.
type Kind string

// Kinds of errors.
const (
	KindSyntax  Kind = "syntax"
	KindField   Kind = "field"
	KindUnknown Kind = "unknownKind"
)

// Error is the error type of the package.
type Error = fault.Error[Kind]

func fieldError(path, reason string) error {
	return fault.New("parse", KindField, path+": "+reason)
}
