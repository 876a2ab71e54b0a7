// Package evacuation holds the set of failure domains that the operators have evacuated, and
// the rules by which a node replaces the set that it knows by another one.
//
// A set is the content of the store at one of its revisions. Two sets are therefore compared
// by revision alone: the one with the higher revision is what the store held later, and a
// domain that is absent from it is no longer evacuated, whether or not the deletion of its key
// was seen. The same content may be known at several revisions.
package evacuation
