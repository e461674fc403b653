// Package settings loads the settings of a process from its YAML file, the environment and
// flags, and reports all errors in them at once.
//
// A key may also be given as an environment variable (PRIMROSESPOKE_ and the
// key's path in upper case, joined by underscores) or as a flag
// (--set path.to.key=value). Flags override the environment, which overrides the file.
package settings

import "time"

// Settings holds all settings of one process. The tags give the name of each key, its
// default, its unit, its description and the rule for its value; `primrosespoke settings`
// prints them.
type Settings struct {
	ID            string    `yaml:"id" doc:"unique name of the instance, as in the platform's list" check:"required"`
	FailureDomain string    `yaml:"failure_domain" doc:"failure domain of the instance" check:"required"`
	LogLevel      string    `yaml:"log_level" default:"info" doc:"least level logged" check:"one of debug info warn error"`
	Platform      Platform  `yaml:"platform"`
	Addresses     Addresses `yaml:"addresses"`
	Entry         Entry     `yaml:"entry"`
	Agent         Agent     `yaml:"agent"`
	Claims        Claims    `yaml:"claims"`
	Front         Front     `yaml:"front"`
}

// Platform holds the base URLs of the platform's services and how a process uses them.
type Platform struct {
	LogService    string        `yaml:"log_service" doc:"base URL of the log service" check:"url"`
	InstanceList  string        `yaml:"instance_list" doc:"base URL of the instance list" check:"url"`
	ListPoll      time.Duration `yaml:"list_poll" default:"1s" unit:"duration" doc:"time between two reads of the instance list" check:"min 50ms"`
	ConfigStream  string        `yaml:"config_stream" default:"table" doc:"log stream of the table" check:"required"`
	SnapshotEvery time.Duration `yaml:"snapshot_every" default:"10m" unit:"duration" doc:"longest time between snapshots of the table in the log; keep it far below the log's retention" check:"min 100ms"`
}

// Addresses holds the listen addresses of a process, each an IP address and a port.
type Addresses struct {
	Internal string `yaml:"internal" doc:"listener for other processes of the system" check:"address"`
	Operator string `yaml:"operator" doc:"listener for operators: health, metrics, dump, table" check:"address"`
	Caller   string `yaml:"caller" doc:"listener for callers; entries only" check:"optional address"`
}

// Entry holds the settings that only an entry reads.
type Entry struct {
	MaxBodyBytes    int64         `yaml:"max_body_bytes" default:"8388608" unit:"bytes" doc:"largest request body" check:"min 1"`
	DefaultDeadline time.Duration `yaml:"default_deadline" default:"60s" unit:"duration" doc:"time a request has where its caller names none" check:"min 10ms"`
	MaxDeadline     time.Duration `yaml:"max_deadline" default:"10m" unit:"duration" doc:"longest time a request has; longer ones are cut to it" check:"min 1s"`
	Reservations    int           `yaml:"reservations" default:"3" unit:"agents" doc:"agents at which a waiting request holds a reservation" check:"min 1"`
	Attempts        string        `yaml:"attempts" default:"proven" doc:"proven: a further attempt after proof that the one before never started or has ended; strict: none after one that may have started" check:"one of proven strict"`
	MaxWaiting      int           `yaml:"max_waiting" default:"10000" unit:"requests" doc:"requests that wait in the entry at a time" check:"min 1"`
}

// Agent holds the settings that only an agent reads.
type Agent struct {
	Pool           string        `yaml:"pool" doc:"name of the endpoint in the table: the model or the service" check:"optional"`
	Kind           string        `yaml:"kind" default:"engine" doc:"what the endpoint is" check:"one of engine service"`
	EndpointURL    string        `yaml:"endpoint_url" doc:"base URL of the endpoint beside the agent" check:"optional url"`
	GrantLease     time.Duration `yaml:"grant_lease" default:"1s" unit:"duration" doc:"how long a granted place is kept for its dispatch" check:"min 10ms"`
	RunRetention   time.Duration `yaml:"run_retention" default:"15s" unit:"duration" doc:"how long the answer of an ended run may still be read" check:"min 0s"`
	CallerGrace    time.Duration `yaml:"caller_grace" default:"2s" unit:"duration" doc:"how long a run goes on after its entry's connection has gone" check:"min 0s"`
	RequestHorizon time.Duration `yaml:"request_horizon" default:"15m" unit:"duration" doc:"how long what became of an attempt and a request ID chosen by a caller are remembered; must exceed entry.max_deadline of every entry" check:"min 1s"`
	Preemption     bool          `yaml:"preemption" default:"true" doc:"suspend runs of preemptible tiers for a waiting higher tier"`
	DrainTimeout   time.Duration `yaml:"drain_timeout" default:"0s" unit:"duration" doc:"longest drain by an operator before what still runs is cancelled; 0 = no limit" check:"min 0s"`
}

// Claims holds the settings for claims on idempotency keys.
type Claims struct {
	Stream  string        `yaml:"stream" default:"claims" doc:"log stream of the claims" check:"required"`
	Horizon time.Duration `yaml:"horizon" default:"24h" unit:"duration" doc:"how long a claim is kept; callers must not repeat a key after it" check:"min 1m"`
	Batch   time.Duration `yaml:"batch" default:"20ms" unit:"duration" doc:"time over which claims are gathered into one append" check:"min 1ms"`
}

// Front holds the settings of a front: an entry that sends requests directly to endpoints.
type Front struct {
	Callers          string        `yaml:"callers" doc:"listener for callers" check:"address"`
	Readiness        string        `yaml:"readiness" doc:"listener where the platform asks for readiness" check:"address"`
	Peers            string        `yaml:"peers" doc:"address for the other entries: reports over UDP, reads of the store's topics over TCP" check:"address"`
	Operators        string        `yaml:"operators" doc:"listener for metrics and the state dump; none where it is not given" check:"optional address"`
	Store            string        `yaml:"store" doc:"address of the platform's store" check:"address"`
	TrustKeysFor     time.Duration `yaml:"trust_keys_for" default:"0s" unit:"duration" doc:"how long after the newest configuration was known for certain keys are trusted; 0 = for ever" check:"min 0s"`
	ApplyWithin      time.Duration `yaml:"apply_within" default:"2s" unit:"duration" doc:"how long after its confirmation a version of the configuration may not yet be in force" check:"min 100ms"`
	LeaveWithin      time.Duration `yaml:"leave_within" default:"2s" unit:"duration" doc:"how long after an endpoint was listed as leaving it may still get new work" check:"min 100ms"`
	StopWithin       time.Duration `yaml:"stop_within" default:"8s" unit:"duration" doc:"time from a signal to the end of the process" check:"min 1s"`
	RetryRatio       float64       `yaml:"retry_ratio" default:"0.2" unit:"sends a request" doc:"further sends that all entries together may make, by service" check:"min 0"`
	RetryBurst       float64       `yaml:"retry_burst" default:"20" unit:"sends" doc:"further sends beyond the ratio that all entries together may make" check:"min 0"`
	CapSlack         float64       `yaml:"cap_slack" default:"0" unit:"of the caps" doc:"what a usage cap may be exceeded by, for all entries together" check:"min 0"`
	ExposureShare    float64       `yaml:"exposure_share" default:"0" unit:"of the requests" doc:"requests that a bad software version may get while it is rolled out, by service and for all entries together; 0 = roll-outs are off" check:"min 0"`
	ExposureSlack    float64       `yaml:"exposure_slack" default:"0" unit:"requests" doc:"what exposure_share may be exceeded by" check:"min 0"`
	RollbackWithin   time.Duration `yaml:"rollback_within" default:"0s" unit:"duration" doc:"how long after its 50th bad answer a software version may still get requests; 0 = roll-outs are off" check:"min 0s"`
	FirstStart       bool          `yaml:"first_start" default:"false" doc:"whether the whole system starts for the first time, so that no caller has a broken stream yet"`
	MemoryMB         int64         `yaml:"memory_mb" default:"0" unit:"megabytes" doc:"memory that the process may take; 0 = no limit" check:"min 0"`
	BodiesMB         int64         `yaml:"bodies_mb" default:"0" unit:"megabytes" doc:"callers' bodies of more than 16 KiB in memory; 0 = a quarter of memory_mb, or 64 without it" check:"min 0"`
	ClientsMB        int64         `yaml:"clients_mb" default:"0" unit:"megabytes" doc:"connections, heads and bodies of up to 16 KiB in memory, at all listeners; 0 = a fifth of memory_mb, or 256 without it" check:"min 0"`
	Connections      int           `yaml:"connections" default:"0" unit:"connections" doc:"connections of callers open at a time; 0 = half the limit of open files. Beyond it and clients_mb the connection is cut that holds most and moves least" check:"min 0"`
	StallTimeout     time.Duration `yaml:"stall_timeout" default:"10s" unit:"duration" doc:"longest time without a byte of a body before its request is refused (408)" check:"min 1s"`
	PlatformTerms    string        `yaml:"platform_terms" doc:"names of the platform's terms that hold for the deployment, separated by commas" check:"optional"`
	UnknownKeys      string        `yaml:"unknown_keys" default:"auto" doc:"what becomes of a request with a key while the configuration lists no client accounts, so that requests need none: refuse (401), or ignore the key; auto: refuse where platform_terms say that there are client accounts" check:"one of auto refuse ignore"`
	StatedLoad       string        `yaml:"stated_load" default:"auto" doc:"use what endpoints state of their load and pace; auto: for services of which an endpoint states its pace, and for all where platform_terms say that engines end without memory" check:"one of auto on off"`
	EngineMemory     string        `yaml:"engine_memory" default:"auto" doc:"send no request to an engine whose memory it may not fit into; auto as for stated_load" check:"one of auto on off"`
	AccountSharing   string        `yaml:"account_sharing" default:"auto" doc:"client accounts of equal rank share scarce slots by work; auto as for stated_load" check:"one of auto on off"`
	DomainPreference string        `yaml:"domain_preference" default:"auto" doc:"prefer endpoints of the own failure domain, and leave it where waiting costs more; auto as for stated_load" check:"one of auto on off"`
	HeldMB           int64         `yaml:"held_mb" default:"0" unit:"megabytes" doc:"endpoints' answers in memory; 0 = a quarter of memory_mb, or 64 without it" check:"min 0"`
}
