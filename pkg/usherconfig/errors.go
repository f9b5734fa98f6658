package usherconfig

import "github.com/joomcode/errorx"

// Errors of this package. Each message names what is wrong.
var (
	errorNamespace = errorx.NewNamespace("configuration")

	// ErrNoWorkspace means that the workspace is not declared.
	ErrNoWorkspace = newErrorType("no_workspace")
	// ErrNoTemplate means that the template is not declared.
	ErrNoTemplate = newErrorType("no_template")
	// ErrUnknownParameter means that the template has no parameter of that name.
	ErrUnknownParameter = newErrorType("unknown_parameter")
	// ErrRepeatedParameter means that a request gives a parameter twice.
	ErrRepeatedParameter = newErrorType("repeated_parameter")
	// ErrMissingParameter means that a required parameter has no value.
	ErrMissingParameter = newErrorType("missing_parameter")
	// ErrMalformedParameter means that a value is not of its parameter's type.
	ErrMalformedParameter = newErrorType("malformed_parameter")
	// ErrOutOfBounds means that a value lies outside its parameter's bounds.
	ErrOutOfBounds = newErrorType("out_of_bounds")

	// ErrFormat means that a published value is not of the format that this version reads.
	ErrFormat = newErrorType("format")
	// ErrDigestMismatch means that a published value does not match its digest.
	ErrDigestMismatch = newErrorType("damaged")
	// ErrMissingShard means that a shard which the index names is not there.
	ErrMissingShard = newErrorType("missing_shard")
	// ErrInvalid means that a published configuration breaks a rule of Check.
	ErrInvalid = newErrorType("invalid")
)

func newErrorType(name string) *errorx.Type {
	return errorNamespace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}
