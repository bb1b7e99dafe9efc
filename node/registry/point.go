package registry

import "cmp"

// Point is a state of the registry. Its era grows when the registry is restored from a backup: revisions then go back and are issued
// again, so that only those of one era can be compared.
type Point struct{ Era, Revision int64 }

// Compare orders points by era and then by revision.
func (p Point) Compare(other Point) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// earlier returns the earlier of two points.
func earlier(a, b Point) Point {
	if a.Compare(b) <= 0 {
		return a
	}
	return b
}
