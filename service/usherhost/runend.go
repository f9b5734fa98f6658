package usherhost

// runEnd says what has shown that a run does not go on at its target. The end of a connection, a time-out or an order shows none: the
// target may work on.
type runEnd string

const (
	// endNone stands for a run that may go on.
	endNone runEnd = ""
	// endOnOrder and endNotFound are answers to an order: the target has ended the run, or does not have it any more.
	endOnOrder  runEnd = "ended_on_order"
	endNotFound runEnd = "no_such_run"
	// endNotReported is a report that does not list the run.
	endNotReported runEnd = "not_in_report"
	// endRefused is a refused connection: no process listens at the address.
	endRefused runEnd = "connection_refused"
	// endReplaced is another target at the address.
	endReplaced runEnd = "address_reassigned"
	// endUnreachable means that the target accepts no connection, endSilent that it accepts some and answers nothing.
	endUnreachable runEnd = "unreachable"
	endSilent      runEnd = "silent"
	// endWithResponse is a complete failure response.
	endWithResponse runEnd = "failure_response"
)

// isFinal reports whether the run has ended for good. One that can't be reached goes on if its target can be reached again.
func (e runEnd) isFinal() bool { return e != endNone && e != endUnreachable && e != endSilent }
