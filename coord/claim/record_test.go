package claim_test

import (
	"bytes"
	"testing"

	"primrosespoke.dev/coord/claim"
)

// FuzzDecodeBatch feeds arbitrary bytes to the decoder and, as a log record, to a
// claimant. A batch that decodes must not change when it is encoded again, and the
// claimant must go on reading after the record.
func FuzzDecodeBatch(f *testing.F) {
	key, digest := claim.NewKey("crew", "k"), claim.NewDigest("POST", "/", nil)
	whole := claim.Batch{Writer: "a", SentMS: 1, HorizonMS: 1000, Records: []claim.Record{
		{Kind: claim.KindClaim, ID: "a/1", Key: &key, Digest: &digest, CreatedMS: 5},
		{Kind: claim.KindDone, ID: "a/1", Answer: &claim.Answer{Status: 201, Body: []byte("ok")}},
		{Kind: claim.KindRelease, ID: "a/2"},
	}}
	f.Add(claim.EncodeBatch(whole))
	f.Add(claim.EncodeBatch(claim.Batch{Writer: "a", HorizonMS: 1, Snapshot: &claim.SnapshotPart{ID: "s", Parts: 1}}))
	f.Add([]byte(`{"version":1,"writer":"a","horizon_ms":1,"records":[{"kind":"claim","id":"b/1"}]}`))
	f.Add([]byte(`{"version":1,"writer":"a","horizon_ms":9,"snapshot":{"id":"s","covered":-1,"part":3,"parts":2}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := claim.DecodeBatch(data)
		if err == nil {
			again, err := claim.DecodeBatch(claim.EncodeBatch(b))
			if err != nil || !bytes.Equal(claim.EncodeBatch(again), claim.EncodeBatch(b)) {
				t.Fatalf("batch changes when it is encoded again: %v", err)
			}
		}
		for _, earliest := range []int64{0, 3} {
			m := claim.New(claim.Config{Incarnation: "a"})
			m.Step(0, claim.PageRead{Page: claim.Page{Earliest: earliest, Next: earliest + 1, Records: []claim.LogRecord{
				{Offset: earliest, TimeMS: 7, Data: data},
			}}})
			if m.Next() != earliest+1 {
				t.Fatalf("the reader did not go on after the record")
			}
		}
	})
}
