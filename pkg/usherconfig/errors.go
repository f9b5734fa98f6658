package usherconfig

import "github.com/joomcode/errorx"

// Error types of this package.
var (
	errorNamespace = errorx.NewNamespace("configuration")

	// ErrNoWorkspace is returned if the workspace is not declared.
	ErrNoWorkspace = newErrorType("no_workspace")
	// ErrNoTemplate is returned if the template is not declared.
	ErrNoTemplate = newErrorType("no_template")
	// ErrUnknownParameter is returned if the template has no parameter of that name.
	ErrUnknownParameter = newErrorType("unknown_parameter")
	// ErrRepeatedParameter is returned if a request sets a parameter more than once.
	ErrRepeatedParameter = newErrorType("repeated_parameter")
	// ErrMissingParameter is returned if a required parameter has no value.
	ErrMissingParameter = newErrorType("missing_parameter")
	// ErrMalformedParameter is returned if a value is not of the type of its parameter.
	ErrMalformedParameter = newErrorType("malformed_parameter")
	// ErrOutOfBounds is returned if a value is outside the bounds of its parameter.
	ErrOutOfBounds = newErrorType("out_of_bounds")

	// ErrFormat is returned if a published value is not in the format that this version reads.
	ErrFormat = newErrorType("format")
	// ErrDigestMismatch is returned if a published value does not match its digest.
	ErrDigestMismatch = newErrorType("damaged")
	// ErrMissingShard is returned if a shard that the index lists was not provided.
	ErrMissingShard = newErrorType("missing_shard")
	// ErrInvalid is returned if a published configuration breaks a rule of Check.
	ErrInvalid = newErrorType("invalid")
)

func newErrorType(name string) *errorx.Type {
	return errorNamespace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}
