package watch

// maxReceived bounds the memory of receivedRevisions. Beyond it all are forgotten, and the topics are read anew.
const maxReceived = 4096

// receivedRevisions holds the revisions of the changes that were received. All up to complete have been, or need not be.
type receivedRevisions struct {
	complete uint64
	later    map[uint64]bool
}

// add records a revision.
func (r *receivedRevisions) add(revision uint64) {
	if revision <= r.complete {
		return
	}
	if r.later == nil || len(r.later) >= maxReceived {
		r.later = map[uint64]bool{}
	}
	r.later[revision] = true
	r.advance()
}

// advance moves complete up to the first revision that was not received.
func (r *receivedRevisions) advance() {
	for r.later[r.complete+1] {
		r.complete++
		delete(r.later, r.complete)
	}
}

// newestMissing returns the highest revision, up to the given one, that was not received, and whether there is any. All up to read need
// not be received, because all topics were read at it.
func (r *receivedRevisions) newestMissing(read, upTo uint64) (uint64, bool) {
	if read > r.complete {
		r.complete = read
		for revision := range r.later {
			if revision <= read {
				delete(r.later, revision)
			}
		}
		r.advance()
	}
	for ; upTo > r.complete; upTo-- {
		if !r.later[upTo] {
			return upTo, true
		}
	}
	return 0, false
}
