package ushercall

// minStatus and maxStatus are the least and the largest status code of HTTP. Libraries also read others, such as 000.
const (
	minStatus = 100
	maxStatus = 599
)

// IsStatus reports whether a number is a status code. A target that responds with another one has not answered.
func IsStatus(code int) bool { return code >= minStatus && code <= maxStatus }
