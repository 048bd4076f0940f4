package claim

import (
	"fmt"
	"strings"
	"time"

	"siskinspar.example/store"
)

// hourLayout formats the hour in the key of an expiry row, so that the keys sort by time.
const hourLayout = "2006010215"

// Partitions returns the number of partitions over which claims and their expiry rows are spread.
func Partitions() int { return partitionCount }

// ExpiryPartition returns the name of the partition that holds the expiry rows of the claims in partition n.
func ExpiryPartition(n int) string { return fmt.Sprintf("expiry/%02d", n) }

// ExpiryWrite returns the write of the expiry row, which lists the claim at k for removal.
//
// It must be in the same transaction as the claim. The row is due at the first full hour after expires.
func ExpiryWrite(k store.Key, expires time.Time) store.Write {
	_, part, _ := strings.Cut(k.Partition, "/")
	hour := expires.UTC().Add(time.Hour).Format(hourLayout)
	return store.Write{Key: store.Key{Partition: "expiry/" + part, Sort: hour + "-" + k.Sort}, Revision: 1}
}

// ParseExpiry returns the key of the claim that the expiry row at the given key lists, and whether the row is due.
func ParseExpiry(expiry store.Key, now time.Time) (store.Key, bool) {
	_, part, _ := strings.Cut(expiry.Partition, "/")
	hour, sort, ok := strings.Cut(expiry.Sort, "-")
	return store.Key{Partition: "claim/" + part, Sort: sort}, ok && hour <= now.UTC().Format(hourLayout)
}
