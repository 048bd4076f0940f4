// Package spread sends configuration versions, and notices of crashes and of
// clearances, to the other daemons along delegation trees, and pulls versions
// that this daemon lacks.
//
// Before a version comes into force in a data centre, other members there are
// asked to hold it. To hold a version is to remember its number in memory.
package spread
