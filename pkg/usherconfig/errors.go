package usherconfig

import "github.com/joomcode/errorx"

// Error types of this package.
var (
	errNamespace = errorx.NewNamespace("configuration")

	// ErrNoWorkspace is the type of errors for workspaces that are not declared.
	ErrNoWorkspace = newErrorType("no_workspace")
	// ErrNoTemplate is the type of errors for templates that are not declared.
	ErrNoTemplate = newErrorType("no_template")
	// ErrUnknownParameter is the type of errors for names that are no parameter of the template.
	ErrUnknownParameter = newErrorType("unknown_parameter")
	// ErrRepeatedParameter is the type of errors for parameters that a request sets more than once.
	ErrRepeatedParameter = newErrorType("repeated_parameter")
	// ErrMissingParameter is the type of errors for required parameters without a value.
	ErrMissingParameter = newErrorType("missing_parameter")
	// ErrMalformedParameter is the type of errors for values that are not of the type of their parameter.
	ErrMalformedParameter = newErrorType("malformed_parameter")
	// ErrOutOfBounds is the type of errors for values outside the bounds of their parameter.
	ErrOutOfBounds = newErrorType("out_of_bounds")

	// ErrFormat is the type of errors for published values that are not in the format that this version reads.
	ErrFormat = newErrorType("format")
	// ErrDigestMismatch is the type of errors for published values that do not match their digest.
	ErrDigestMismatch = newErrorType("damaged")
	// ErrMissingShard is the type of errors for shards that the index lists and that were not provided.
	ErrMissingShard = newErrorType("missing_shard")
	// ErrInvalid is the type of errors for published configurations that break a rule of Check.
	ErrInvalid = newErrorType("invalid")
)

func newErrorType(name string) *errorx.Type {
	return errNamespace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}
