package usherlease

type (
	// Announcement is all that a gateway has in progress.
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

	// announced is an attempt under another scheduler's grant.
	announced struct {
		target  *target
		gateway string
	}
)

// ApplyAnnouncement takes in all that a gateway has in progress. Attempts of other schedulers count against the room.
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
		l.announced[running.Attempt] = announced{target: t, gateway: announcement.Gateway}
		t.announced++
	}
}

func (l *Leases) dropAnnounced(id string) {
	if a, ok := l.announced[id]; ok {
		a.target.announced--
		delete(l.announced, id)
	}
}
