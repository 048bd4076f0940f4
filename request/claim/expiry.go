package claim

import (
	"fmt"
	"strings"
	"time"

	"siskinspar.example/store"
)

// hourLayout is the form of the hour in the key of an expiry row, so that the keys sort by time.
const hourLayout = "2006010215"

// Partitions returns the number of partitions over which claims and their expiry rows are spread.
func Partitions() int { return partitions }

// ExpiryPartition returns the partition of the expiry rows for the claims of partition n.
func ExpiryPartition(n int) string { return fmt.Sprintf("expiry/%02d", n) }

// ExpiryWrite returns the write of the row that lists a claim for removal; it goes with the write of the claim.
func ExpiryWrite(k store.Key, expires time.Time) store.Write {
	_, part, _ := strings.Cut(k.Partition, "/")
	hour := expires.UTC().Add(time.Hour).Format(hourLayout)
	return store.Write{Key: store.Key{Partition: "expiry/" + part, Sort: hour + "-" + k.Sort}, Revision: 1}
}

// Expired returns the claim that an expiry row lists, and whether its time has come.
func Expired(expiry store.Key, now time.Time) (store.Key, bool) {
	_, part, _ := strings.Cut(expiry.Partition, "/")
	hour, sort, ok := strings.Cut(expiry.Sort, "-")
	return store.Key{Partition: "claim/" + part, Sort: sort}, ok && hour <= now.UTC().Format(hourLayout)
}
