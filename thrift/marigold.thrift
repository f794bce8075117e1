// Messages between the system's own processes. Compact protocol; TCP frames carry an Envelope behind a 4-byte
// big-endian length, membership datagrams carry a MembershipMessage. Durations are milliseconds that remain at the
// moment of sending: no clock is shared.
namespace cpp marigoldpaddle.wire

struct InstanceRef {
    1: string name
    2: i64 incarnation
}

struct CellRef {
    1: string availabilityZone
    2: string model
    3: i32 number
}

struct GrantPartRecord {
    1: string target
    2: string address
    3: i64 tokens
}

// Gateway to the owner of a cell: may this request run, and where?
struct AcquireRequest {
    1: string requestId
    2: InstanceRef owner
    3: CellRef cell
    4: string workspace
    5: double workspaceWeight
    6: i64 promptTokens
    7: i64 maximumOutputTokens
    8: i64 remainingMs
    9: list<i64> prefixBlocks
    10: list<string> excludedTargets
}

struct GrantRecord {
    1: list<GrantPartRecord> parts
    2: i32 priority
    3: i64 expiresInMs
}

struct RefusalRecord {
    1: string reason
    2: i64 retryAfterMs
}

// Exactly one field is set. `moved` asks the gateway to look up the owner again.
struct AcquireAnswer {
    1: optional GrantRecord grant
    2: optional RefusalRecord refusal
    3: optional bool moved
}

// Gateway to the owner of a cell: what became of a request. One-way.
struct ProgressNotice {
    1: string requestId
    2: CellRef cell
    3: bool firstToken
    4: bool finished
    5: bool withdrawn
    6: i64 outputTokens
    7: list<string> failedTargets
}

struct HoldingRecord {
    1: string requestId
    2: string workspace
    3: list<GrantPartRecord> parts
    4: i64 promptTokens
    5: i64 outputTokens
    6: i64 maximumOutputTokens
    7: bool prefilling
    8: i64 remainingMs
}

// Gateway to the owner of a cell: all that it holds there, on every change of owner and at every announcement period.
struct HoldingsAnnouncement {
    1: InstanceRef owner
    2: CellRef cell
    3: list<HoldingRecord> holdings
    4: bool isSingleGrant // One grant that the owner of the cell has just given, for the next owner to know.
}

enum ClaimVerdict {
    Won = 1
    Repeated = 2
    InProgress = 3
    Mismatch = 4
    Unavailable = 5
    Unknown = 6
}

// Gateway to the owner of an idempotency key.
struct ClaimRequest {
    1: string workspace
    2: string serviceName
    3: string key
    4: string bodyDigest
    5: string requestId
    6: InstanceRef holder
    7: i64 remainingMs
    8: i64 keyWindowMs
}

// `omittedBodyBytes` above 0: the call ran and answered with that many bytes, which are not kept.
struct CallOutcome {
    1: i32 status
    2: string contentType
    3: binary body
    4: i64 omittedBodyBytes
}

// `mayLand` comes with any verdict but Won: the claim may still appear in the log, so that its gateway has to settle it
// with `notSent`. A gateway that gets no answer, or a late Won, does the same once it has marked the attempt dead.
struct ClaimAnswer {
    1: ClaimVerdict verdict
    2: optional CallOutcome outcome
    3: i64 retryAfterMs
    4: bool mayLand
}

// Gateway to the owner of an idempotency key: how the claimed call ended.
struct ClaimSettlement {
    1: string workspace
    2: string serviceName
    3: string key
    4: string requestId
    5: optional CallOutcome outcome
    6: bool unknown
    7: bool notSent
}

// The records of the claim stream. Keys, bodies and request ids are digests of 16 bytes.
struct ClaimEntryRecord {
    1: binary key
    2: binary body
    3: binary request
    4: InstanceRef holder
    5: i64 windowMs
    6: i64 allowedMs
}

struct ClaimReferenceRecord {
    1: binary key
    2: binary request
}

struct ClaimOutcomeRecord {
    1: binary key
    2: binary request
    3: optional CallOutcome outcome
}

// At least `elapsedMs` passed between the record at `anchor` and the record that carries this.
struct ClaimTickRecord {
    1: i64 anchor
    2: i64 elapsedMs
}

enum ClaimPhase {
    Claimed = 1
    Completed = 2
    Unknown = 3
}

struct ClaimCheckpointEntryRecord {
    1: ClaimEntryRecord claim
    2: i64 claimedAt
    3: i64 ageMs
    4: ClaimPhase phase
    5: optional CallOutcome outcome
}

struct ClaimReleaseRecord {
    1: binary request
    2: i64 releasedAt
}

// One of `parts` pieces of a shard of the ledger, as it was before the record at `asOf`.
struct ClaimCheckpointRecord {
    1: i32 shard
    2: i64 asOf
    3: i32 part
    4: i32 parts
    5: list<ClaimCheckpointEntryRecord> entries
    6: list<ClaimReleaseRecord> releases
    7: i64 id
    8: i64 claimsUpTo
}

// Applied in this order: tick, expiries, releases, outcomes, claims, resets, checkpoint.
struct ClaimBatchRecord {
    1: i64 readUpTo
    2: optional ClaimTickRecord tick
    3: list<ClaimReferenceRecord> expiries
    4: list<ClaimReferenceRecord> releases
    5: list<ClaimOutcomeRecord> outcomes
    6: list<ClaimEntryRecord> claims
    7: optional ClaimCheckpointRecord checkpoint
    8: list<i32> resets
}

struct CellDigestRecord {
    1: CellRef cell
    2: InstanceRef owner
    3: i32 liveTargets
    4: i32 queued
    5: i64 freeTokens
    6: i64 largestSpanTokens
    7: i64 expectedWaitMs
    8: i64 ageMs
    9: i64 sequence
    10: string ownerAddress
}

enum MemberState {
    Alive = 1
    Suspected = 2
    Leaving = 3
    Dead = 4
}

struct MemberRecord {
    1: InstanceRef instance
    2: string availabilityZone
    3: string membershipAddress
    4: string dispatcherAddress
    5: MemberState state
    6: i64 configurationOffset
    7: i64 revision
}

struct TargetMark {
    1: string target
    2: i64 incarnation
    3: bool leaving
}

// Gateway to its dispatcher, and a starting dispatcher to its peers: what do you see?
struct ViewRequest {
    1: InstanceRef requester
    2: i64 knownConfigurationOffset
    3: i64 waitMs
    4: i64 knownVersion
}

struct ServiceTargetRecord {
    1: string name
    2: string serviceName
    3: string address
    4: string availabilityZone
}

// One record of the configuration stream.
struct ConfigurationRecord {
    1: i64 offset
    2: binary data
}

// The configuration comes as the records from `knownConfigurationOffset` on, or where these are no longer kept, as a
// snapshot.
struct ViewAnswer {
    1: i64 version
    2: list<MemberRecord> members
    3: list<CellDigestRecord> cells
    4: list<ServiceTargetRecord> services
    5: i64 configurationOffset
    6: optional binary configurationSnapshot
    7: list<TargetMark> leavingTargets
    8: list<ConfigurationRecord> configurationRecords
}

// A dispatcher to a peer: what do you have of the configuration from this offset on?
struct ConfigurationRequest {
    1: i64 knownOffset
}

// `offset` is the revision of the sender. Holds the records from the offset asked for on, or where these are no longer
// kept, a snapshot. The age is that of the newest checkpoint in the log; absent if the sender does not know it.
struct ConfigurationAnswer {
    1: i64 offset
    2: list<ConfigurationRecord> records
    3: optional binary snapshot
    4: optional i64 checkpointAsOf
    5: optional i64 checkpointAgeMs
    6: bool current
    7: string presetInForce
    8: optional i64 gatewayOffset // The lowest that a gateway said it has, of those that follow the sender.
}

struct Acknowledgement {
    1: bool accepted
}

// Work that one instance has given to one target. Targets are named by the XXH3 hash of their id.
struct TargetLoadRecord {
    1: i64 target
    2: double backlogMs
    3: i32 running
    4: i32 longReads
    5: i64 memoryTokens
    6: i32 answers
    7: i32 tightestGapMs // Of the answers; 0 without any.
    8: double answerWeight
}

// Instance to instance on the serving path, as one UDP datagram: what the sender has given to targets, and how new its
// view of the platform is. `sequence` rises within an incarnation; a notice counts for `validMs`.
struct LoadNotice {
    1: string sender
    2: i64 incarnation
    3: i64 sequence
    4: i64 validMs
    5: i64 configurationVersion
    6: i64 targetsAgeMs
    7: bool leaving
    8: list<TargetLoadRecord> loads
    9: list<string> peers
    10: i64 waitingStartByMs // When the most urgent prompt that waits at the sender must be placed; negative without one.
    11: string availabilityZone // Of the sender.
    12: double zoneOccupancy // Share of the places that are taken on the engines of that zone; negative if not known.
}

// Asks an instance for what it took from the platform: by an instance that the platform turns away.
struct PlatformRecordsRequest {
    1: i64 knownConfigurationVersion
    2: bool wantsTargets
}

struct KeyValueRecord {
    1: string key
    2: binary value
}

// `configuration` is absent when the sender has no newer one. `targets` is a whole listing, `targetsAgeMs` old.
struct PlatformRecordsAnswer {
    1: optional KeyValueRecord configuration
    2: optional list<KeyValueRecord> targets
    3: i64 targetsAgeMs
}

union Payload {
    1: AcquireRequest acquire
    2: AcquireAnswer acquireAnswer
    3: ProgressNotice progress
    4: HoldingsAnnouncement holdings
    5: ClaimRequest claim
    6: ClaimAnswer claimAnswer
    7: ClaimSettlement settle
    8: ViewRequest view
    9: ViewAnswer viewAnswer
    10: Acknowledgement acknowledgement
    11: ConfigurationRequest configuration
    12: ConfigurationAnswer configurationAnswer
    13: PlatformRecordsRequest platformRecords
    14: PlatformRecordsAnswer platformRecordsAnswer
}

// `callId` is chosen by the caller and comes back with the answer; 0 marks a one-way message.
struct Envelope {
    1: i64 callId
    2: Payload payload
}

enum MembershipKind {
    Ping = 1
    Acknowledge = 2
    PingRequest = 3
    Gossip = 4
}

// What one availability zone knows of another: a few instances to talk to, and how old that knowledge is.
struct ZoneDigestRecord {
    1: string availabilityZone
    2: i64 ageMs
    3: list<MemberRecord> contacts
}

// SWIM probe, its answer, a request to probe somebody else, or news alone; updates ride along.
struct MembershipMessage {
    1: MembershipKind kind
    2: i64 sequence
    3: MemberRecord sender
    4: list<MemberRecord> updates
    5: optional MemberRecord subject
    6: list<TargetMark> targetMarks
    7: i64 configurationOffset
    8: list<CellDigestRecord> cells
    9: list<ZoneDigestRecord> zones
    10: bool joining
}
