package membership

// changelog lists each member once, ordered by the position of its last change.
type changelog struct {
	position       uint64
	oldest, newest *entry
}

// nextPosition allocates a position.
func (l *changelog) nextPosition() uint64 {
	l.position++
	return l.position
}

// touch moves the member to the newest end.
func (l *changelog) touch(e *entry) {
	l.remove(e)
	e.position = l.nextPosition()
	e.older = l.newest
	if l.newest != nil {
		l.newest.newer = e
	} else {
		l.oldest = e
	}
	l.newest = e
}

func (l *changelog) remove(e *entry) {
	if e.older != nil {
		e.older.newer = e.newer
	} else if l.oldest == e {
		l.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else if l.newest == e {
		l.newest = e.older
	}
	e.older, e.newer = nil, nil
}

// firstAfter returns the oldest member with a position after cursor, or nil. It visits only the members that changed
// since cursor.
func (l *changelog) firstAfter(cursor uint64) *entry {
	var first *entry
	for e := l.newest; e != nil && e.position > cursor; e = e.older {
		first = e
	}
	return first
}
