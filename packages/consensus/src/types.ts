import type * as protocol from '@ebonyweir/protocol'
import type * as logs from './log.js'

export type Member = protocol.replication.Member
export type Membership = protocol.replication.Membership
export type LogEntry = protocol.replication.LogEntry
export type Envelope = protocol.replication.ReplicationEnvelope
export type Body = NonNullable<Envelope['body']>

/** Safety rules of the protocol. All are on in production; the model checker disables them individually. */
export interface Guards {
  /** Messages are held until the term, vote and entries that they depend on are synced. */
  readonly syncBeforeSend: boolean
  /** A replica checks whether it could win an election before it raises its term. */
  readonly preVote: boolean
  /** Vote requests are ignored if a leader was in contact within the minimum election timeout. */
  readonly stickyLeader: boolean
  /** Vote requests are ignored for the minimum election timeout after a restart. */
  readonly restartGrace: boolean
  /** A replica votes only if its own log lists it as a voter. */
  readonly identity: boolean
  /** Reads require a quorum that acknowledged a heartbeat sent within the leader lease. */
  readonly leaderLease: boolean
  /** A leader that has sent `timeoutNow` holds no lease for the rest of its term. */
  readonly leaseEndsAtTransfer: boolean
  /** A leader steps down if it has no contact with a quorum within the minimum election timeout. */
  readonly quorumStepDown: boolean
  /** A new leader commits an empty entry of its term before it serves reads. */
  readonly emptyEntryFirst: boolean
  /** Only entries of the leader's own term are committed by counting acknowledgements. */
  readonly commitOwnTermOnly: boolean
  /** A membership change starts only after the previous one is committed. */
  readonly oneChangeAtATime: boolean
  /** "repaired" requires that every voter has acknowledged the change and the committed log. */
  readonly repairedNeedsAcknowledgement: boolean
  /** A member that reports a shorter log than it had acknowledged no longer counts towards a quorum. */
  readonly refuseRolledBack: boolean
}

/** Timing, sizes and guards of one replica. */
export interface Config {
  readonly cell: string
  readonly id: string
  readonly heartbeatMs: number
  readonly electionTimeoutMinMs: number
  readonly electionTimeoutMaxMs: number
  /** Bounds of the election timeout of a replica that has had no contact with a leader since its start. */
  readonly startupTimeoutMinMs: number
  readonly startupTimeoutMaxMs: number
  readonly leaderLeaseMs: number
  /** Payload bytes of one append message. */
  readonly maxMessageBytes: number
  /** Payload bytes sent to one member and not yet acknowledged. */
  readonly maxInFlightBytes: number
  /** Append messages with entries sent to one member and not yet acknowledged. */
  readonly maxInFlightMessages: number
  /**
   * Time after which unanswered append messages may be resent, in milliseconds. It doubles while no acknowledgement
   * arrives, since copies of messages that are only delayed would saturate the link.
   */
  readonly resendMs: number
  /** Bytes of uncommitted entries above which proposals are refused. */
  readonly maxUncommittedBytes: number
  /** Entries retained before a snapshot, so that slightly lagging members do not need the snapshot. */
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

/** Membership entry in the log, effective as soon as it is appended. */
export interface IndexedMembership {
  readonly index: number
  readonly membership: Membership
}

/** Message held until the writes up to `sequence` are synced. */
export interface HeldMessage {
  readonly sequence: number
  readonly envelope: Envelope
}

/** Write that was issued and is not synced yet. */
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

/** Replication progress of one other member, kept by the leader. */
export interface Progress {
  readonly nextIndex: number
  /** Highest index the member acknowledged as synced. */
  readonly matchIndex: number
  /** Last round sent when `matchIndex` was acknowledged; a shorter log in a later round means a rolled-back disk. */
  readonly matchRound: number
  /** Rejections of rounds up to this one have already been handled. */
  readonly resetRound: number
  readonly inFlight: readonly InFlight[]
  /** Maximum append messages in flight: one after a reset, doubled by each acknowledgement of new entries. */
  readonly window: number
  /** Resets since entries were last acknowledged. */
  readonly resets: number
  readonly lastContactMs: number
  /** Append message whose acknowledgement extends the leader lease. */
  readonly sample: { readonly round: number; readonly sentMs: number } | undefined
  /** Send time of the newest acknowledged `sample`. */
  readonly leaseSentMs: number | undefined
  readonly refused: boolean
  /** Contact was lost or never established; the next reply sets a new `fenceIndex`. */
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
  /** In ascending order of index; the last one is effective. */
  readonly memberships: readonly IndexedMembership[]
  readonly commitIndex: number
  readonly syncedIndex: number
  readonly persistSequence: number
  readonly syncedSequence: number
  /** Sequence of the write with the newest term and vote. */
  readonly hardStateSequence: number
  readonly pending: readonly PendingWrite[]
  readonly held: readonly HeldMessage[]
  readonly leaderId: string | undefined
  /** Undefined until the first contact with a leader after the start. */
  readonly leaderContactMs: number | undefined
  readonly startedMs: number
  /** Every promise of an earlier process of this replica was made before this time. */
  readonly processStartMs: number
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
  /** Buffer a received chunk; after the last one, store the snapshot durably and pass in `snapshotStored`. */
  | { readonly kind: 'storeChunk'; readonly chunk: protocol.replication.SnapshotChunk }
  /** Replace the state of the state machine with the stored snapshot. */
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
  /** An invariant was violated; the process must stop. */
  | { readonly kind: 'fatal'; readonly detail: string }
