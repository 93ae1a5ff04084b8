package observation

import "github.com/cespare/xxhash/v2"

// BillKey returns the hash under which the ledger stores the bill of (organisation, idempotency key).
func BillKey(organisation, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
