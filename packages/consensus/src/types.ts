import type * as protocol from '@ebonyweir/protocol'
import type * as logs from './log.js'

export type Member = protocol.replication.Member
export type Membership = protocol.replication.Membership
export type LogEntry = protocol.replication.LogEntry
export type Envelope = protocol.replication.ReplicationEnvelope
export type Body = NonNullable<Envelope['body']>

/** Protections of the protocol. All are on in production; the model checker switches single ones off. */
export interface Guards {
  /** Messages wait until the term, vote and entries they depend on are synced. */
  readonly syncBeforeSend: boolean
  /** A candidate asks whether it could win before it raises its term. */
  readonly preVote: boolean
  /** Vote requests are ignored while a leader was heard within the minimum election timeout. */
  readonly stickyLeader: boolean
  /** Vote requests are ignored for the minimum election timeout after a restart. */
  readonly restartGrace: boolean
  /** A replica votes only when its own log names it as a voter. */
  readonly identity: boolean
  /** Reads need a quorum that acknowledged a heartbeat sent within the leader lease. */
  readonly leaderLease: boolean
  /** A leader that told another replica to take over has no lease for the rest of its term. */
  readonly leaseEndsAtTransfer: boolean
  /** A leader without contact with a quorum within the election timeout steps down. */
  readonly quorumStepDown: boolean
  /** A new leader commits an empty entry of its term before it serves reads. */
  readonly emptyEntryFirst: boolean
  /** Only entries of the leader's own term are committed by counting acknowledgements. */
  readonly commitOwnTermOnly: boolean
  /** A membership change waits until the one before it is committed. */
  readonly oneChangeAtATime: boolean
  /** "repaired" needs an acknowledgement of the change and the committed log from every voter. */
  readonly repairedNeedsAcknowledgement: boolean
  /** A member whose log became shorter than it had acknowledged no longer counts. */
  readonly refuseRolledBack: boolean
}

/** Timing, sizes and guards of one replica. */
export interface Config {
  readonly cell: string
  readonly id: string
  readonly heartbeatMs: number
  readonly electionTimeoutMinMs: number
  readonly electionTimeoutMaxMs: number
  readonly leaderLeaseMs: number
  /** Payload bytes of one append message. */
  readonly maxMessageBytes: number
  /** Payload bytes sent to one member and not yet acknowledged. */
  readonly maxInFlightBytes: number
  /** Append messages with entries sent to one member and not yet acknowledged. */
  readonly maxInFlightMessages: number
  /**
   * Time after which append messages without an answer may be sent again, in milliseconds. It doubles while that brings
   * nothing, since messages that are only late would fill the link with their copies.
   */
  readonly resendMs: number
  /** Bytes of entries that wait for commitment before proposals are refused. */
  readonly maxUncommittedBytes: number
  /** Entries kept before a snapshot for members that lag a little. */
  readonly trailingEntries: number
  readonly guards: Guards
}

export interface HardState {
  readonly term: number
  readonly votedFor: string | undefined
}

/** Position and membership of a durable snapshot of the state machine. */
export interface SnapshotMeta {
  readonly lastIndex: number
  readonly lastTerm: number
  readonly membership: Membership
}

/** Membership entry in the log; effective as soon as it is appended. */
export interface IndexedMembership {
  readonly index: number
  readonly membership: Membership
}

/** Message that waits until a sequence of writes is synced. */
export interface HeldMessage {
  readonly sequence: number
  readonly envelope: Envelope
}

/** Write that was handed out and is not synced yet. */
export interface PendingWrite {
  readonly sequence: number
  readonly lastIndex: number
}

export interface InFlight {
  readonly lastIndex: number
  readonly bytes: number
  readonly round: number
  readonly sentMs: number
}

/** Leader's knowledge of one other member. */
export interface Progress {
  readonly nextIndex: number
  /** Highest index the member acknowledged as synced. */
  readonly matchIndex: number
  /** Last round handed out when `matchIndex` was acknowledged; later reports of less mean a rolled-back disk. */
  readonly matchRound: number
  /** Rejections of rounds up to this one were already answered. */
  readonly resetRound: number
  readonly inFlight: readonly InFlight[]
  /** Append messages that may be in flight: one after a reset, doubled by each acknowledgement of new entries. */
  readonly window: number
  /** Resets since entries were last acknowledged. */
  readonly resets: number
  readonly lastContactMs: number
  /** Heartbeat that waits for its acknowledgement. */
  readonly sample: { readonly round: number; readonly sentMs: number } | undefined
  /** Send time of the newest acknowledged heartbeat sample. */
  readonly leaseSentMs: number | undefined
  readonly refused: boolean
  /** Contact was lost or never made; the next reply sets a new `fenceIndex`. */
  readonly lapsed: boolean
  /** Index the member must acknowledge before it counts as repaired. */
  readonly fenceIndex: number
  readonly snapshot:
    { readonly lastIndex: number; readonly offset: number; readonly sentMs: number } | undefined
}

export interface Transfer {
  readonly target: string
  readonly deadlineMs: number
  readonly sent: boolean
}

export interface IncomingSnapshot {
  readonly lastIndex: number
  readonly lastTerm: number
  readonly nextOffset: number
}

export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader'

/** Complete state of one replica's protocol. */
export interface State {
  readonly config: Config
  readonly role: Role
  readonly hardState: HardState
  readonly log: logs.Log
  readonly snapshot: SnapshotMeta | undefined
  /** Ascending; the last one is in force. */
  readonly memberships: readonly IndexedMembership[]
  readonly commitIndex: number
  readonly syncedIndex: number
  readonly persistSequence: number
  readonly syncedSequence: number
  /** Sequence that carries the newest term and vote. */
  readonly hardStateSequence: number
  readonly pending: readonly PendingWrite[]
  readonly held: readonly HeldMessage[]
  readonly leaderId: string | undefined
  /** Undefined until a leader was heard since the start. */
  readonly leaderContactMs: number | undefined
  readonly startedMs: number
  readonly electionStartMs: number
  readonly jitter: number
  readonly votes: readonly string[]
  readonly incoming: IncomingSnapshot | undefined
  readonly progress: Readonly<Record<string, Progress>>
  readonly round: number
  readonly heartbeatSentMs: number
  /** First index of the leader's own term. */
  readonly termStartIndex: number
  readonly transfer: Transfer | undefined
}

export type MembershipChange =
  | { readonly kind: 'add'; readonly member: Omit<Member, 'voter'> }
  | { readonly kind: 'remove'; readonly id: string }

export type Input =
  /** Passage of time; `jitter` in [0, 1) randomizes the next election timeout. */
  | { readonly kind: 'tick'; readonly jitter: number }
  | { readonly kind: 'message'; readonly envelope: Envelope }
  | { readonly kind: 'propose'; readonly payloads: readonly Uint8Array[] }
  | { readonly kind: 'changeMembers'; readonly change: MembershipChange }
  /** All writes up to `sequence` are synced. */
  | { readonly kind: 'synced'; readonly sequence: number }
  /** A snapshot of the local state machine at `lastIndex` is durable. */
  | { readonly kind: 'snapshotSaved'; readonly lastIndex: number }
  /** A snapshot received from the leader is durable. */
  | { readonly kind: 'snapshotStored'; readonly meta: SnapshotMeta }
  | { readonly kind: 'transfer'; readonly target: string | undefined }
  | { readonly kind: 'bootstrap'; readonly membership: Membership }

export type RefusalReason =
  'not-leader' | 'overloaded' | 'change-in-progress' | 'invalid-change' | 'already-formed'

export interface Persist {
  readonly kind: 'persist'
  readonly sequence: number
  readonly hardState: HardState | undefined
  /** Entries from this index on are replaced. */
  readonly truncateFrom: number | undefined
  readonly entries: readonly LogEntry[]
}

export type Output =
  | Persist
  | { readonly kind: 'send'; readonly envelope: Envelope }
  /** Read the local snapshot at `offset` and send it as a chunk of `meta`. */
  | {
      readonly kind: 'sendChunk'
      readonly to: string
      readonly term: number
      readonly meta: SnapshotMeta
      readonly offset: number
    }
  /** Keep a received chunk; after the last one, make the snapshot durable and give `snapshotStored`. */
  | { readonly kind: 'storeChunk'; readonly chunk: protocol.replication.SnapshotChunk }
  /** Replace the state machine by the stored snapshot. */
  | { readonly kind: 'restore'; readonly meta: SnapshotMeta }
  /** Entries up to `index` may be applied. */
  | { readonly kind: 'commit'; readonly index: number }
  /** The proposed entries were appended from `firstIndex` on. */
  | {
      readonly kind: 'accepted'
      readonly firstIndex: number
      readonly term: number
      readonly count: number
    }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly detail: string }
  /** A broken invariant; the process must stop. */
  | { readonly kind: 'fatal'; readonly detail: string }
