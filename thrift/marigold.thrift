// Messages between processes of the system, in Thrift's compact protocol. A TCP frame is a 4-byte big-endian length
// followed by an Envelope; a membership datagram is a MembershipMessage. Processes share no clock, so a deadline is
// sent as the milliseconds that remain until it at the time of sending.
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

// Gateway to the owner of a cell: requests admission and a placement for one request.
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

// Exactly one field is set. `moved`: the receiver does not own the cell; the gateway must look up the owner again.
struct AcquireAnswer {
    1: optional GrantRecord grant
    2: optional RefusalRecord refusal
    3: optional bool moved
}

// Gateway to the owner of a cell: progress or end of a request that was granted. One-way.
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

// Gateway to the owner of a cell: every allocation that the gateway holds in the cell. Sent whenever the owner changes
// and once in every announcement period.
struct HoldingsAnnouncement {
    1: InstanceRef owner
    2: CellRef cell
    3: list<HoldingRecord> holdings
    4: bool isSingleGrant // Sent by the owner to its designated successor: the one grant that it has just given.
}

enum ClaimVerdict {
    Won = 1
    Repeated = 2
    InProgress = 3
    Mismatch = 4
    Unavailable = 5
    Unknown = 6
}

// Gateway to the owner of an idempotency key: claims the key for one call.
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

// `omittedBodyBytes` above 0: the call was executed and its response body had that many bytes, which are not stored.
struct CallOutcome {
    1: i32 status
    2: string contentType
    3: binary body
    4: i64 omittedBodyBytes
}

// `mayLand` can accompany any verdict but Won: the claim may still be appended to the log, so the gateway must settle
// it with `notSent`. A gateway that receives no answer, or receives Won after it has given up the attempt, also settles
// with `notSent`.
struct ClaimAnswer {
    1: ClaimVerdict verdict
    2: optional CallOutcome outcome
    3: i64 retryAfterMs
    4: bool mayLand
}

// Gateway to the owner of an idempotency key: the outcome of the claimed call.
struct ClaimSettlement {
    1: string workspace
    2: string serviceName
    3: string key
    4: string requestId
    5: optional CallOutcome outcome
    6: bool unknown
    7: bool notSent
}

// Records of the claim stream. `key`, `body` and `request` are 16-byte digests of the idempotency key, the request body
// and the request id.
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

// At least `elapsedMs` passed between the record at offset `anchor` and the record that contains this tick.
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

// One of the `parts` parts of a checkpoint of one shard of the claim ledger. The checkpoint is the state before the
// record at offset `asOf` was applied.
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

// One record of the claim stream. Its fields are applied in this order: tick, expiries, releases, outcomes, claims,
// resets, checkpoint.
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

// Gateway to the dispatcher of its instance: long poll for the dispatcher's view. Answered when the version of the view
// differs from `knownVersion`, or after `waitMs`.
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

// The configuration is sent as the records from `knownConfigurationOffset` on, or as a snapshot if the dispatcher no
// longer keeps these records.
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

// Dispatcher to a peer, or marigoldctl to a dispatcher: requests the configuration from offset `knownOffset` on.
struct ConfigurationRequest {
    1: i64 knownOffset
}

// `offset` is the configuration offset of the sender. Contains the records from the requested offset on, or a snapshot
// if the sender no longer keeps these records. `checkpointAsOf` and `checkpointAgeMs` describe the newest checkpoint in
// the log; they are absent if the sender has no information on it.
struct ConfigurationAnswer {
    1: i64 offset
    2: list<ConfigurationRecord> records
    3: optional binary snapshot
    4: optional i64 checkpointAsOf
    5: optional i64 checkpointAgeMs
    6: bool current
    7: string presetInForce
    8: optional i64 gatewayOffset // The lowest offset reported by the gateways that poll the sender.
}

struct Acknowledgement {
    1: bool accepted
}

// The load that one instance has placed on one target. `target` is the XXH3 hash of the target's id.
struct TargetLoadRecord {
    1: i64 target
    2: double backlogMs
    3: i32 running
    4: i32 longReads
    5: i64 memoryTokens
    6: i32 answers
    7: i32 tightestGapMs // The shortest gap objective of the answers; 0 if there are none.
    8: double answerWeight
}

struct KeyValueRecord {
    1: string key
    2: binary value
}

// A target that ended before its answer to a request was whole. Ids are hashes.
struct TargetCrashRecord {
    1: i64 target
    2: i64 request
    3: list<i64> parts // Parts of the prompt that other prompts may have too, those in no sound answer first. 0: others.
    4: i64 ageMs
    5: i64 fingerprint // Of the whole request; 0 if unknown. Without it and parts: the target may not answer requests.
    6: i64 ranMs // From the sending of the request to the end. Older senders do not state it, and name 32 parts at most.
}

// A part of a prompt, or the fingerprint of a request, that was in a whole answer; or a target that answers again.
struct SoundPartRecord {
    1: i64 part
    2: i64 ageMs
}

// Instance to instance on the serving path, as one UDP datagram: the load that the sender has placed on targets, and
// the age of its view of the platform. `sequence` increases within an incarnation. A notice expires after `validMs`.
// What a target last stated of the requests that it takes from all instances together.
struct TargetLimitRecord {
    1: i64 target // Hash of its id.
    2: i64 incarnation
    3: double perSecond // Negative: it no longer has a limit.
    4: i64 ageMs // Since the statement.
    5: i64 zone // Hash of the target's availability zone.
}

// A target that is slow after its start, or became so again.
struct ColdTargetRecord {
    1: i64 target // Hash of its id.
    2: i64 incarnation
    3: i64 remainingMs // Until it is no longer cold.
    4: i64 zone // Hash of the target's availability zone.
}

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
    10: i64 waitingStartByMs // Until the sender's most urgent queued prompt must be placed; negative if none is queued.
    11: string availabilityZone // The zone of the sender.
    12: double zoneOccupancy // Occupied fraction of the slots of the zone's engines; negative if unknown.
    13: i64 targetsDigest // Of the sender's registrations of targets.
    14: i64 storeEra // Era of the store in which the sender's view was read.
    15: i64 targetsOffset // Offset in the store up to which the registrations were read.
    16: i64 configurationAgeMs // Since the sender's configuration was known to be the newest.
    17: list<KeyValueRecord> targetChanges // Registrations that the sender's last read changed; no value: removed.
    18: bool partial // `loads` has only some of the targets; the loads of the others did not change.
    19: list<TargetCrashRecord> crashes // Those that the sender learned of lately; all of them for a new peer.
    20: list<SoundPartRecord> soundParts // Those that were cleared of crashes lately.
    21: list<TargetLimitRecord> limits // Those that the sender learned of lately; all of them for a new peer.
    22: i32 relayPort // Where the sender accepts callers' requests from other instances; 0 if it does not.
    23: list<i64> unreachableServices // Hashes of the services of which the sender reaches no target.
    24: i32 relayedRequests // Requests of other instances in progress at the sender.
    25: i64 sentAtMs // On the sender's clock, since its machine was started; 0 if unknown.
    26: i64 operatorOffset // Offset in the store up to which the operator's records were read; negative if unknown.
    27: list<string> evacuatedZones // Availability zones whose targets get nothing more, as of `operatorOffset`.
    28: list<ColdTargetRecord> coldTargets // Those that the sender learned of lately; all of them for a new peer.
    29: i32 waitingRank // Of the sender's most urgent queued prompt, 0 is the highest; negative if none is queued.
}

// Asks for the part that begins at `offset` of an encoded configuration. Digests are XXH3 hashes of configurations;
// `digest` is 0 for the newest one, `baseDigest` for no base.
struct ConfigurationPartRequest {
    1: i64 digest
    2: i64 baseDigest // Of a configuration that the requester has.
    3: i64 offset
}

// A part of a configuration that is compressed by zstd, with the configuration `baseDigest` as its prefix.
struct ConfigurationPart {
    1: string key
    2: i64 digest
    3: i64 baseDigest
    4: i64 bytes // Of the configuration.
    5: i64 encodedBytes
    6: i64 offset // In the encoding.
    7: binary data
}

// Instance to instance: requests records that the receiver has read from the platform. Sent when the sender cannot read
// them from the platform itself. With `configurationPart`, a newer configuration is sent in parts.
struct PlatformRecordsRequest {
    1: i64 knownConfigurationVersion
    2: bool wantsTargets
    3: optional ConfigurationPartRequest configurationPart
}

// `configuration` and `configurationPart` are absent if the sender has no newer version. `targets` is the complete list
// of targets, read `targetsAgeMs` ago.
struct PlatformRecordsAnswer {
    1: optional KeyValueRecord configuration
    2: optional list<KeyValueRecord> targets
    3: i64 targetsAgeMs
    4: i64 storeEra
    5: i64 targetsOffset
    6: optional ConfigurationPart configurationPart
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

// `callId` is chosen by the caller and returned with the answer; 0 marks a one-way message.
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

// What one availability zone stores about another: a few instances as contacts, and the age of this information.
struct ZoneDigestRecord {
    1: string availabilityZone
    2: i64 ageMs
    3: list<MemberRecord> contacts
}

// A SWIM message: ping, acknowledgement, request to probe `subject` indirectly, or gossip alone. Membership updates are
// piggybacked on every kind.
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
