// Package rank orders the candidates for a role by rendezvous hashing: processes that have the same list of
// candidates choose the same holder, and a change of the list changes few holders.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous score of a candidate for a role; the candidate with the highest score holds the role.
func Score(role, candidate string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(role)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Order returns the candidates by descending score, the holder of the role first; equal scores are ordered by name.
func Order[T any](role string, candidates []T, name func(T) string) []T {
	type scored struct {
		score uint64
		name  string
		value T
	}
	list := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		n := name(c)
		list = append(list, scored{score: Score(role, n), name: n, value: c})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]T, 0, len(list))
	for _, s := range list {
		out = append(out, s.value)
	}
	return out
}

// First returns the holder of the role among the candidates; ok is false if there are no candidates.
func First[T any](role string, candidates []T, name func(T) string) (holder T, ok bool) {
	var best uint64
	for _, c := range candidates {
		score := Score(role, name(c))
		if !ok || score > best || (score == best && name(c) < name(holder)) {
			holder, best, ok = c, score, true
		}
	}
	return holder, ok
}

// Within reports whether self is among the first n candidates in the order of the role.
func Within[T any](role string, n int, candidates []T, name func(T) string, self string) bool {
	for i, c := range Order(role, candidates, name) {
		if i >= n {
			return false
		}
		if name(c) == self {
			return true
		}
	}
	return false
}
