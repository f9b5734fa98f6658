package usherlease

type (
	// Announcement lists all attempts that a gateway has in progress.
	Announcement struct {
		Gateway string
		Running []RunningAttempt
	}

	// RunningAttempt is one attempt in progress.
	RunningAttempt struct {
		Attempt     string
		Target      string
		Incarnation uint64
	}

	// announcedAttempt is an attempt granted by another scheduler and announced by a gateway.
	announcedAttempt struct {
		target  *target
		gateway string
	}
)

// ApplyAnnouncement replaces the attempts that a gateway was known to have in progress. Attempts granted by other
// schedulers reduce the number of requests that may be granted.
func (l *Leases) ApplyAnnouncement(announcement Announcement) {
	for id, a := range l.announced {
		if a.gateway == announcement.Gateway {
			l.dropAnnounced(id)
		}
	}
	for _, running := range announcement.Running {
		t := l.byID[running.Target]
		if _, own := l.attempts[running.Attempt]; own || t == nil || running.Incarnation != t.load.incarnation {
			continue
		}
		l.dropAnnounced(running.Attempt)
		l.announced[running.Attempt] = announcedAttempt{target: t, gateway: announcement.Gateway}
		t.announced++
	}
}

func (l *Leases) dropAnnounced(id string) {
	if a, ok := l.announced[id]; ok {
		a.target.announced--
		delete(l.announced, id)
	}
}
