package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// formatVersion is the version of the record format that this package writes and reads.
const formatVersion = 1

// MaxAnswer is the largest body, in bytes, that a done-record carries.
const MaxAnswer = 16 << 10

// Kind is the type of a Record.
type Kind string

// Kinds of records.
const (
	// KindClaim asks for the right to run a request with a key.
	KindClaim Kind = "claim"
	// KindRelease gives up a claim. Its claimant has not run under it and never will.
	KindRelease Kind = "release"
	// KindDone records that the run under a claim ended.
	KindDone Kind = "done"
)

// Header is one header field of an answer.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Answer is the answer of a run, as far as it is known and kept.
type Answer struct {
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// Headers are the header fields that a replay repeats.
	Headers []Header `json:"headers,omitempty"`
	// Body is the whole body, of MaxAnswer bytes at most.
	Body []byte `json:"body,omitempty"`
	// TooLarge is set when the run ended and its answer was too large to keep.
	TooLarge bool `json:"too_large,omitempty"`
	// Unknown is set when the run may have happened and no whole answer was received.
	Unknown bool `json:"unknown,omitempty"`
}

// Record is one statement about a claim.
type Record struct {
	Kind Kind `json:"kind"`
	// ID identifies the claim and is never reused.
	ID string `json:"id"`
	// Key is the claimed key. Claims only.
	Key *Key `json:"key,omitempty"`
	// Digest is the hash of the request. Claims only.
	Digest *Digest `json:"digest,omitempty"`
	// CreatedMS is the creation time that the key states; 0 = none. Claims only.
	CreatedMS int64 `json:"created_ms,omitempty"`
	// Answer is the answer of the run. Done-records only.
	Answer *Answer `json:"answer,omitempty"`
}

// Batch is the content of one log record.
type Batch struct {
	Version int `json:"version"`
	// Writer is the incarnation that wrote the batch.
	Writer string `json:"writer"`
	// SentMS is the newest log time that the writer had seen.
	SentMS int64 `json:"sent_ms"`
	// HorizonMS is how long the batch's claims hold their keys, in log time.
	HorizonMS int64 `json:"horizon_ms"`
	// Records are applied in order.
	Records []Record `json:"records,omitempty"`
	// Snapshot is one part of a snapshot, if the batch carries one.
	Snapshot *SnapshotPart `json:"snapshot,omitempty"`
}

// SnapshotPart is one part of an encoded snapshot of all claims.
type SnapshotPart struct {
	// ID identifies the snapshot.
	ID string `json:"id"`
	// Covered is the offset after the last record that the snapshot includes.
	Covered int64 `json:"covered"`
	// Part is the index of this part, from 0.
	Part int `json:"part"`
	// Parts is the number of parts of the snapshot.
	Parts int `json:"parts"`
	// Digest is the SHA-256, in hex, of the joined data of all parts.
	Digest string `json:"digest"`
	Data   []byte `json:"data"`
}

// EncodeBatch returns the log record for a batch.
func EncodeBatch(b Batch) []byte {
	b.Version = formatVersion
	data, err := json.Marshal(b)
	if err != nil {
		panic(errors.Wrap(err, "encode claim batch"))
	}
	return data
}

// DecodeBatch decodes a log record. All readers ignore a record for which it fails.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return Batch{}, errors.Wrap(err, "decode claim batch")
	}
	if b.Version != formatVersion {
		return Batch{}, errors.Errorf("decode claim batch: version %d, want %d", b.Version, formatVersion)
	}
	if b.Writer == "" || b.HorizonMS <= 0 || b.SentMS < 0 {
		return Batch{}, errors.New("decode claim batch: no writer, no positive horizon or a negative time")
	}
	for i, r := range b.Records {
		if err := r.check(b.Writer); err != nil {
			return Batch{}, errors.Wrapf(err, "decode claim batch: record %d", i)
		}
	}
	return b, b.Snapshot.check()
}

// claimID returns the ID of a writer's nth claim.
func claimID(writer string, n uint64) string {
	return writer + "/" + strconv.FormatUint(n, 10)
}

// check reports why a record of a writer's batch is invalid.
func (r Record) check(writer string) error {
	switch {
	case !strings.HasPrefix(r.ID, writer+"/"):
		return errors.Errorf("claim %q does not belong to the writer of its batch", r.ID)
	case r.Kind == KindClaim && (r.Key == nil || r.Digest == nil):
		return errors.New("claim without key or digest")
	case r.Kind == KindDone && (r.Answer == nil || len(r.Answer.Body) > MaxAnswer):
		return errors.New("done-record without an answer, or with a body over the limit")
	case r.Kind != KindClaim && r.Kind != KindRelease && r.Kind != KindDone:
		return errors.Errorf("unknown record kind %q", r.Kind)
	}
	return nil
}

// maxSnapshotParts is the largest number of parts of one snapshot.
const maxSnapshotParts = 4096

// check reports why a part is invalid; no part is valid.
func (p *SnapshotPart) check() error {
	if p == nil {
		return nil
	}
	if p.Parts < 1 || p.Parts > maxSnapshotParts || p.Part < 0 || p.Part >= p.Parts || p.Covered < 0 {
		return errors.Errorf("claim snapshot: invalid part %d of %d that covers offsets below %d", p.Part, p.Parts, p.Covered)
	}
	return nil
}

// snapshotDigest returns the SHA-256 of an encoded snapshot in hex.
func snapshotDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
