package front

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"primrosespoke.dev/coord/origin"
	"primrosespoke.dev/daemon/peer/progress"
)

// The origins of streams live in the memory of the entry that began them and of their homes. Where
// several versions of a service are listed, they also go to the store, so that streams go on after
// all entries have ended. While one version is listed, nothing is written.

const (
	// originSaveInterval is the time between two writes of origins. Streams that began since the
	// last write are lost with their entry if their homes end too.
	originSaveInterval = 500 * time.Millisecond
	// maxSavedOrigins bounds the origins in one record, by the store's limit on its size.
	maxSavedOrigins = 1 << 14
	// originReadInterval is the least time between two reads of saved origins.
	originReadInterval = 200 * time.Millisecond
	// minReadOriginRecords and originRecordsPerEntry bound how many of the newest records are read.
	minReadOriginRecords  = 1 << 10
	originRecordsPerEntry = 64
	// savedKeyBytes is the size of a key in a record.
	savedKeyBytes = 8
)

// savedOrigins is a record of the topic of origins.
type savedOrigins struct {
	Groups []savedGroup `cbor:"1,keyasint"`
}

// savedGroup holds the keys of streams that one version began.
type savedGroup struct {
	Service   string `cbor:"1,keyasint"`
	Version   string `cbor:"2,keyasint"`
	Ambiguous bool   `cbor:"3,keyasint,omitempty"`
	Keys      []byte `cbor:"4,keyasint"` // of savedKeyBytes each, big-endian
}

func encodeOrigins(origins []origin.Origin) ([]byte, error) {
	keys := map[origin.Origin][]byte{} // by all but the key
	for _, o := range origins {
		group := o
		group.Key = 0
		keys[group] = binary.BigEndian.AppendUint64(keys[group], uint64(o.Key))
	}
	var saved savedOrigins
	for group, all := range keys {
		saved.Groups = append(saved.Groups, savedGroup{Service: group.Service, Version: group.Version, Ambiguous: group.Ambiguous, Keys: all})
	}
	data, err := reportEncoding.Marshal(saved)
	return data, errors.Wrap(err, "origins")
}

// decodeOrigins decodes a record. Another program may have written it.
func decodeOrigins(data []byte) ([]origin.Origin, error) {
	var saved savedOrigins
	if err := cbor.Unmarshal(data, &saved); err != nil {
		return nil, errors.Wrap(err, "origins")
	}
	var origins []origin.Origin
	for _, group := range saved.Groups {
		if group.Service == "" || group.Version == "" || len(group.Keys)%savedKeyBytes != 0 {
			return nil, errors.New("origins: no service, no version or keys of another size")
		}
		for keys := group.Keys; len(keys) > 0; keys = keys[savedKeyBytes:] {
			origins = append(origins, origin.Origin{
				Key: origin.Key(binary.BigEndian.Uint64(keys)), Service: group.Service, Version: group.Version, Ambiguous: group.Ambiguous,
			})
		}
	}
	return origins, nil
}

// originSaving tracks the origins that are to be saved. The control goroutine owns it.
type originSaving struct {
	mixed    map[string]bool // services of which several versions are listed, or were as long ago as streams last
	lifetime time.Duration   // the longest of the streams of all routes; 0 = none may be taken up
	due      []origin.Origin
	lastSave time.Duration
}

// updateMixed determines of which services streams are saved, once the list was read. The first
// time, those that run already are due.
func (c *control) updateMixed(listed map[string][]string) {
	for service := range listed {
		mixed := c.saving.lifetime > 0 && c.versions.Mixed(service, c.saving.lifetime)
		if mixed == c.saving.mixed[service] {
			continue
		}
		c.saving.mixed[service] = mixed
		running := 0
		for _, o := range c.origins.Running() {
			if mixed && o.Service == service {
				c.saveOrigin(o)
				running++
			}
		}
		c.front.log.Info().Str("service", service).Bool("saved", mixed).Int("running", running).Strs("versions", listed[service]).Msg("origins_to_be_saved")
	}
}

// saveOrigin makes an origin due if several versions of its service are listed.
func (c *control) saveOrigin(o origin.Origin) {
	if c.saving.mixed[o.Service] {
		c.saving.due = append(c.saving.due, o)
		c.saving.due = c.saving.due[max(len(c.saving.due)-maxSavedOrigins, 0):]
	}
}

// saveOrigins hands the origins that are due to the writer. Streams that have ended are left out.
func (c *control) saveOrigins(now time.Duration) {
	if len(c.saving.due) == 0 || now < c.saving.lastSave+originSaveInterval {
		return
	}
	var batch []origin.Origin
	for _, o := range c.saving.due {
		if c.origins.IsRunning(o.Key) {
			batch = append(batch, o)
		}
	}
	if len(batch) > 0 {
		select {
		case c.front.originBatches <- batch:
		default:
			return // the write before has not ended
		}
	}
	c.saving.due, c.saving.lastSave = nil, now
}

// writeOrigins writes the batches of origins until ctx ends.
func (f *Front) writeOrigins(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-f.originBatches:
			if err := f.appendOrigins(ctx, batch); err != nil && ctx.Err() == nil {
				f.metrics.storeFailures.Add(ctx, 1)
				f.log.Warn().Int("streams", len(batch)).Err(err).Msg("origins_not_saved")
				f.send(originsUnsavedMessage{batch})
			}
		}
	}
}

func (f *Front) appendOrigins(ctx context.Context, batch []origin.Origin) error {
	data, err := encodeOrigins(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.CallTimeout)
	defer cancel()
	f.metrics.storeCalls.Add(ctx, 1)
	return f.config.Store.Append(ctx, TopicOrigins, data)
}

// originsUnsavedMessage returns origins that could not be written.
type originsUnsavedMessage struct{ origins []origin.Origin }

func (m originsUnsavedMessage) apply(c *control) {
	for _, o := range m.origins {
		c.saveOrigin(o)
	}
}

// awaitSaved waits until what entries have saved about streams was read again. It returns false if
// the request ends or that takes too long.
func (d *delivery) awaitSaved() bool {
	read := make(chan struct{})
	timer := time.NewTimer(d.front.config.Timing.CallTimeout)
	defer timer.Stop()
	select {
	case d.front.originReads <- read:
	case <-timer.C:
		return false
	case <-d.requestContext.Done():
		return false
	case <-d.front.stopped:
		return false
	}
	select {
	case <-read:
		return true
	case <-timer.C:
	case <-d.requestContext.Done():
	}
	return false
}

// readOrigins reads saved origins, and extends the history of the list, on request until ctx ends.
// One read answers all requests that wait.
func (f *Front) readOrigins(ctx context.Context) {
	var next offset
	for {
		var waiting []chan struct{}
		select {
		case <-ctx.Done():
			return
		case first := <-f.originReads:
			waiting = append(waiting, first)
		}
		for more := true; more; {
			select {
			case other := <-f.originReads:
				waiting = append(waiting, other)
			default:
				more = false
			}
		}
		next = f.readOriginsFrom(ctx, next)
		f.extendHistory(ctx)
		for _, read := range waiting {
			close(read)
		}
		sleep(ctx, originReadInterval)
	}
}

// readOriginsFrom reads what was saved from an offset on, and returns the offset to read from next.
func (f *Front) readOriginsFrom(ctx context.Context, from offset) offset {
	begun, origins, records := f.now(), 0, 0
	limit := max(minReadOriginRecords, originRecordsPerEntry*f.memberCount.Load())
	for {
		callContext, cancel := progress.WithLimits(ctx, f.readLimits(0))
		f.metrics.storeCalls.Add(ctx, 1)
		batch, err := f.config.Store.ReadLog(callContext, TopicOrigins, from.number, limit)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				f.metrics.storeFailures.Add(ctx, 1)
				f.log.Warn().Int64("from", from.number).Err(err).Msg("origins_not_read")
			}
			if errors.Is(err, ErrTrimmed) {
				return offset{} // the store came back with fewer records
			}
			return from
		}
		if batch.Era != from.era && from.number > 0 {
			f.log.Warn().Str("topic", topicNames[TopicOrigins]).Int64("from", from.number).Int64("era", batch.Era).Int64("era_before", from.era).
				Msg("store_came_back_older")
			from = offset{era: batch.Era}
			continue
		}
		var learned []origin.Origin
		for _, r := range batch.Records {
			decoded, err := decodeOrigins(r.Value)
			if err != nil {
				f.log.Warn().Int64("offset", r.Offset).Err(err).Msg("origin_record_unusable")
				continue
			}
			learned = append(learned, decoded...)
		}
		f.send(originsReadMessage{learned})
		records, origins, from = records+len(batch.Records), origins+len(learned), offset{number: batch.Next, era: batch.Era}
		if !batch.Partial() || len(batch.Records) == 0 {
			break
		}
	}
	f.log.Info().Int64("next", from.number).Int("records", records).Int("streams", origins).Int64("took_ms", (f.now() - begun).Milliseconds()).Msg("origins_read")
	return from
}

// originsReadMessage delivers origins that entries have saved.
type originsReadMessage struct{ origins []origin.Origin }

func (m originsReadMessage) apply(c *control) {
	now := c.front.now()
	for _, o := range m.origins {
		c.origins.Learn(now, o)
	}
}
