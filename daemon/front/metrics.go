package front

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/coord/load"
	"primrosespoke.dev/daemon/telemetry"
)

// metrics holds the metric instruments of a front.
type metrics struct {
	requests, placements, retries, resumes   metric.Int64Counter
	relayReads                               metric.Int64Counter
	voidPlacements, listVerdicts             metric.Int64Counter
	brokenRuns, subjectChanges, heldBack     metric.Int64Counter
	limitChanges, permits, rests             metric.Int64Counter
	placesGiven, silentHomes, closures       metric.Int64Counter
	storeCalls, storeFailures, reportsUnsent metric.Int64Counter
	unusableConfigurations                   metric.Int64Counter
	keylessConfigurations, rowsLeftOut       metric.Int64Counter
	configurationVerdicts                    metric.Int64Counter
	versionChanges                           metric.Int64Counter
	streamsTakenUp                           metric.Int64Counter
	waited, firstByte, total                 metric.Float64Histogram
	deniedAge                                metric.Float64Histogram
	answersGivenUp, bodiesRefused            metric.Int64Counter
	statementsUsed, statementsIgnored        metric.Int64Counter
	connectionsCut, transfersEnded           metric.Int64Counter
	rolloutPhases, rolloutAnswers            metric.Int64Counter
	domainPlacements, reportBytes            metric.Int64Counter
	memoryWaits, memoryRefusals              metric.Int64Counter
	requestsBeyondShare, shareChanges        metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	i := telemetry.NewInstruments(meter)
	m := &metrics{
		requests:               i.Counter("primrosespoke_requests", "{request}", "requests by outcome"),
		placements:             i.Counter("primrosespoke_placements", "{request}", "requests sent to an endpoint, by how that ended"),
		retries:                i.Counter("primrosespoke_retries", "{request}", "further sends of a request"),
		resumes:                i.Counter("primrosespoke_resumes", "{stream}", "streams that went on at another endpoint"),
		storeCalls:             i.Counter("primrosespoke_store_calls", "{call}", "calls that the store answered"),
		storeFailures:          i.Counter("primrosespoke_store_failures", "{call}", "calls to the store that failed"),
		relayReads:             i.Counter("primrosespoke_relay_reads", "{read}", "reads of the store's topics that another front answered"),
		voidPlacements:         i.Counter("primrosespoke_void_placements", "{request}", "placements that were not carried out, since the endpoint had left or the list was out of date"),
		listVerdicts:           i.Counter("primrosespoke_endpoint_list_verdicts", "{change}", "changes of whether the list of endpoints is relied on, by the new verdict"),
		brokenRuns:             i.Counter("primrosespoke_broken_runs", "{run}", "runs whose connection ended before the answer was complete, by whether the endpoint had ended"),
		subjectChanges:         i.Counter("primrosespoke_part_changes", "{part}", "parts of prompts and requests that were convicted or let go"),
		heldBack:               i.Counter("primrosespoke_held_back_requests", "{request}", "requests refused since endpoints crash on them or a part of their prompt, by reason"),
		limitChanges:           i.Counter("primrosespoke_endpoint_limit_changes", "{change}", "limits that endpoints named, changed or ended"),
		rests:                  i.Counter("primrosespoke_endpoint_rests", "{rest}", "times that an endpoint asked this front to send nothing for a time"),
		permits:                i.Counter("primrosespoke_permits_granted", "{permit}", "permits for requests to endpoints with a limit that were granted to other entries"),
		placesGiven:            i.Counter("primrosespoke_places_granted", "{place}", "places of model engines that were granted to other entries"),
		closures:               i.Counter("primrosespoke_places_closed", "{change}", "model engines that this front has closed as their home, since fronts could not reach them, or opened again"),
		silentHomes:            i.Counter("primrosespoke_silent_homes", "{home}", "homes of places that stopped answering"),
		answersGivenUp:         i.Counter("primrosespoke_answers_given_up", "{answer}", "answers of endpoints that were given up, since they were too long or there was no room for them, by reason"),
		bodiesRefused:          i.Counter("primrosespoke_bodies_refused", "{request}", "requests refused since there was no room for their body"),
		statementsUsed:         i.Counter("primrosespoke_endpoint_statements_used", "{statement}", "statements of endpoints on their load that were used"),
		statementsIgnored:      i.Counter("primrosespoke_endpoint_statements_ignored", "{statement}", "statements of endpoints on their load that were ignored, by reason"),
		domainPlacements:       i.Counter("primrosespoke_domain_placements", "{request}", "requests sent to an endpoint inside or outside the front's failure domain, by service"),
		connectionsCut:         i.Counter("primrosespoke_connections_cut", "{connection}", "connections that were cut or refused, by listener and what had run out"),
		transfersEnded:         i.Counter("primrosespoke_transfers_ended", "{transfer}", "bodies and answers that callers sent or read slowly, and that were ended since others waited for their room, by kind"),
		rolloutPhases:          i.Counter("primrosespoke_rollout_phases", "{change}", "changes of the phase of a roll-out, by service and the new phase"),
		rolloutAnswers:         i.Counter("primrosespoke_rollout_answers", "{answer}", "answers by which a version that is rolled out was judged, by service, version and result"),
		reportBytes:            i.Counter("primrosespoke_report_bytes", "By", "bytes of reports sent to fronts inside and outside the front's failure domain"),
		memoryWaits:            i.Counter("primrosespoke_engine_memory_waits", "{request}", "requests that were placed after they had waited for an engine's memory"),
		memoryRefusals:         i.Counter("primrosespoke_engine_memory_refusals", "{request}", "requests refused since no engine had memory for them"),
		requestsBeyondShare:    i.Counter("primrosespoke_requests_beyond_share", "{request}", "requests of accounts that asked for more than their share of a service, by decision"),
		shareChanges:           i.Counter("primrosespoke_account_share_changes", "{change}", "accounts that began or ceased to ask for more than their share of a service"),
		streamsTakenUp:         i.Counter("primrosespoke_streams_taken_up", "{stream}", "streams that callers took up again, by who knew the software version that began them"),
		versionChanges:         i.Counter("primrosespoke_stream_version_changes", "{stream}", "streams that went on at another software version within an answer"),
		configurationVerdicts:  i.Counter("primrosespoke_configuration_verdicts", "{change}", "changes of whether requests are sent by the configuration, by the new verdict"),
		unusableConfigurations: i.Counter("primrosespoke_unusable_configurations", "{version}", "versions of the configuration that could not be decoded"),
		keylessConfigurations:  i.Counter("primrosespoke_keyless_configurations", "{version}", "versions of the configuration put into force that list no client accounts, so that requests need no key"),
		rowsLeftOut:            i.Counter("primrosespoke_configuration_rows_left_out", "{row}", "routes and accounts of versions put into force that are not used, since they lack what limits them"),
		reportsUnsent:          i.Counter("primrosespoke_reports_unsent", "{report}", "reports to other entries that could not be sent"),
		waited:                 i.Seconds("primrosespoke_queue_seconds", "time from the arrival of a request to its first send"),
		firstByte:              i.Seconds("primrosespoke_first_byte_seconds", "time from the arrival of a request to the first byte of its answer"),
		deniedAge:              i.Seconds("primrosespoke_denied_configuration_age_seconds", "age of the configuration by which a request was denied, by status and kind of proof"),
		total:                  i.Seconds("primrosespoke_request_seconds", "time from the arrival of a request to its end"),
	}
	return m, i.Err()
}

// observeAges registers the gauges of the age of the endpoint list and of the configuration.
func (m *metrics) observeAges(meter metric.Meter, list, configuration func() time.Duration) error {
	i := telemetry.NewInstruments(meter)
	i.ObserveSeconds("primrosespoke_endpoint_list_age_seconds", "time since the list of endpoints was known to be complete", list)
	i.ObserveSeconds("primrosespoke_configuration_age_seconds", "time since the configuration was known to be the newest", configuration)
	return i.Err()
}

// ended counts a request that ended.
func (m *metrics) ended(outcome, route string, spent time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome), attribute.String("route", route)))
	m.total.Record(ctx, spent.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

// denied records the age of the configuration by which a request was denied.
func (m *metrics) denied(status int, proofKind string, age time.Duration) {
	m.deniedAge.Record(context.Background(), age.Seconds(), metric.WithAttributes(attribute.Int("status", status), attribute.String("proof", proofKind)))
}

// placementVoid counts a placement that was not carried out.
func (m *metrics) placementVoid(reason string) {
	m.voidPlacements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// listAssessed counts a change of the verdict on the list of endpoints.
func (m *metrics) listAssessed(verdict string) {
	m.listVerdicts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

// configurationAssessed counts a change of the verdict on the configuration.
func (m *metrics) configurationAssessed(verdict string) {
	m.configurationVerdicts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

// runBroken counts a run whose connection ended before the answer was complete.
func (m *metrics) runBroken(endpointEnded bool) {
	m.brokenRuns.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("endpoint_ended", endpointEnded)))
}

// answerGivenUp counts an answer that was given up, and why.
func (m *metrics) answerGivenUp(reason string) {
	m.answersGivenUp.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// subjectChanged counts a part of prompts or a request that was convicted or let go.
func (m *metrics) subjectChanged(event string) {
	m.subjectChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// subjectHeldBack counts a request that was refused for itself or a part of its prompt.
func (m *metrics) subjectHeldBack(reason string) {
	m.heldBack.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// limitChanged counts a limit of an endpoint that was learned or ended.
func (m *metrics) limitChanged(limited bool) {
	m.limitChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("limited", limited)))
}

// beyondShare counts a decision on a request beyond its account's share.
func (m *metrics) beyondShare(decision string) {
	m.requestsBeyondShare.Add(context.Background(), 1, metric.WithAttributes(attribute.String("decision", decision)))
}

// accountShareChanged counts an account that began or ceased to ask for more than its share.
func (m *metrics) accountShareChanged(beyond bool) {
	m.shareChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("beyond_share", beyond)))
}

// endpointRests counts an endpoint that asked for rest.
func (m *metrics) endpointRests() {
	m.rests.Add(context.Background(), 1)
}

// statementObserved counts a statement of an endpoint on its load.
func (m *metrics) statementObserved(verdict string) {
	if verdict == string(load.Used) {
		m.statementsUsed.Add(context.Background(), 1)
		return
	}
	m.statementsIgnored.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", verdict)))
}

// permitsGranted counts permits that were granted to another entry.
func (m *metrics) permitsGranted(n int) {
	m.permits.Add(context.Background(), int64(n))
}

// placesGranted counts places that were granted to another entry.
func (m *metrics) placesGranted(n int) {
	m.placesGiven.Add(context.Background(), int64(n))
}

// placesClosed counts an engine that this front closed, or opened, as its home.
func (m *metrics) placesClosed(closed bool) {
	m.closures.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("closed", closed)))
}

// homeSilent counts a home that stopped answering.
func (m *metrics) homeSilent() {
	m.silentHomes.Add(context.Background(), 1)
}

// rolloutPhase counts a change of the phase of a roll-out.
func (m *metrics) rolloutPhase(service, phase string) {
	m.rolloutPhases.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("phase", phase)))
}

// rolloutAnswered counts answers of the old version or of the target of a roll-out.
func (m *metrics) rolloutAnswered(service, version, result string, n int64) {
	if n > 0 {
		m.rolloutAnswers.Add(context.Background(), n, metric.WithAttributes(attribute.String("service", service), attribute.String("version", version), attribute.String("result", result)))
	}
}

// placed counts an attempt that ended.
func (m *metrics) placed(outcome string) {
	m.placements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
