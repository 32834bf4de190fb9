import type * as consensus from '@ebonyweir/consensus'
import type * as protocol from '@ebonyweir/protocol'
import type * as storage from '@ebonyweir/storage'
import type * as results from 'ts-results-es'

/** Member of a control group as recorded in the log. */
export type Member = protocol.replication.Member

/** Message between two replicas. */
export type Envelope = protocol.replication.ReplicationEnvelope

/** Committed command handed to the state machine. */
export interface AppliedEntry {
  readonly index: number
  readonly term: number
  readonly payload: Uint8Array
}

/** Deterministic state machine driven by the log. Only command entries reach it. */
export interface StateMachine<Outcome> {
  /** Applies one committed command and returns its outcome. */
  apply(entry: AppliedEntry): Outcome
  /** Serializes the whole state as of the last applied entry. */
  snapshot(): Uint8Array
  /** Replaces the state with an earlier `snapshot()`. */
  restore(bytes: Uint8Array): void
}

/** Sends messages to other replicas; may lose, delay, reorder or duplicate them. */
export interface Transport {
  /** Queues one message for the member `envelope.to` at `address` ("host:port"). Must not block. */
  send(envelope: Envelope, address: string): void
}

/** Cancels a timer. */
export type CancelTimer = () => void

/** Monotonic time source and timers of a replica. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  nowMs(): number
  /** Calls `callback` once after `delayMs`. */
  setTimer(delayMs: number, callback: () => void): CancelTimer
}

/** Addresses of a leader. */
export interface LeaderAddress {
  readonly id: string
  /** Replication address, "host:port". */
  readonly address: string
  /** Address for operators and workers, "host:port". */
  readonly httpAddress: string
}

/** Role of a replica in its group. A learner receives the log but does not vote. */
export type Role = 'leader' | 'candidate' | 'follower' | 'learner'

/** What a replica knows about the leadership of its group. */
export interface Leadership {
  readonly role: Role
  readonly term: number
  readonly leader: LeaderAddress | undefined
  /**
   * Whether this replica is the leader, has applied an entry of its own term and holds the leader lease, so that a
   * read of its state machine is not stale.
   */
  readonly leaseValid: boolean
}

/** Command that was committed and applied locally. */
export interface Committed<Outcome> {
  readonly index: number
  readonly term: number
  readonly outcome: Outcome
}

/** Why a proposal was not committed by this replica. */
export type ProposeError =
  /** Will never be committed; the caller may retry at `leader`. */
  | { readonly kind: 'not-leader'; readonly leader: LeaderAddress | undefined }
  /** Not appended anywhere: too many bytes are uncommitted. */
  | { readonly kind: 'overloaded'; readonly detail: string }
  /** Not appended anywhere: the payload exceeds `limitBytes`. */
  | { readonly kind: 'too-large'; readonly limitBytes: number }
  /** Appended, but leadership was lost before commitment; the command may still be committed. */
  | { readonly kind: 'unknown'; readonly leader: LeaderAddress | undefined }
  /** The replica is stopping or has stopped; an appended command may still be committed. */
  | { readonly kind: 'stopped' }

/** Why a group was not formed. */
export interface BootstrapError {
  readonly kind: 'already-formed' | 'not-in-members' | 'invalid-members' | 'stopped'
  readonly detail: string
}

/** One change of the membership. */
export type MembersChange =
  /** Adds a learner; the leader promotes it to voter once it has caught up. */
  | { readonly kind: 'add'; readonly member: Omit<Member, 'voter'> }
  | { readonly kind: 'remove'; readonly id: string }

/** Why a membership change was refused or has an unknown outcome. */
export type MembersError =
  | ProposeError
  | { readonly kind: 'change-in-progress'; readonly detail: string }
  | { readonly kind: 'invalid-change'; readonly detail: string }

/** Replication progress of one member. */
export interface MemberStatus extends Member {
  /** Highest log index that the member reported as synced; undefined on a replica that is not the leader. */
  readonly acknowledgedIndex: number | undefined
  /** Time since the member's last message; undefined when unknown. */
  readonly lastContactMs: number | undefined
  /** Bytes of entries sent to the member and not acknowledged; 0 on a replica that is not the leader. */
  readonly inFlightBytes: number
  /** Number of times replication was reset to resend entries since the member last acknowledged new ones. */
  readonly resets: number
  /** Set when the member reported a shorter log than it had acknowledged; it has to be replaced. */
  readonly refused: boolean
}

/** State of the membership as far as this replica knows it; complete on the leader. */
export interface MembersStatus {
  readonly members: readonly MemberStatus[]
  readonly commitIndex: number
  /** Whether the loss of any one member leaves a quorum that holds every committed entry. */
  readonly repaired: boolean
  /** Why `repaired` has its value. */
  readonly reason: string
}

/** Fault that stops the replica: a violated invariant or a failing disk. */
export interface FatalError {
  readonly kind: 'disk' | 'invariant'
  readonly detail: string
}

/** Why a replica could not be created from its data folder. */
export type OpenError = storage.OpenError

/** Options of `createReplica`. */
export interface ReplicaOptions<Outcome> {
  readonly cell: string
  /** Folder with the identity, log and snapshots. */
  readonly dataFolder: string
  readonly stateMachine: StateMachine<Outcome>
  readonly transport: Transport
  /** @default process monotonic clock and timers */
  readonly clock?: Clock
  /**
   * Time on `clock` at which this process started, if an earlier one on the same data folder had ended by then. Votes are
   * withheld from this time on, and not only from the creation of the replica. @default creation of the replica
   */
  readonly processStartMs?: number | undefined
  /** Source of election jitter in [0, 1). @default Math.random */
  readonly random?: () => number
  /** @default file system of the operating system */
  readonly fileSystem?: storage.FileSystem
  /** Timing and limits of the protocol. @default see `consensus.resolveConfig` */
  readonly consensus?: Partial<Omit<consensus.Config, 'cell' | 'id'>>
  /** Entries after which a snapshot is taken. @default 10000 */
  readonly snapshotEveryEntries?: number
  /** Payload bytes after which a snapshot is taken. @default 16 MiB */
  readonly snapshotEveryBytes?: number
  /** Largest payload of one command. @default 1 MiB */
  readonly maxPayloadBytes?: number
  /** Called at most once; the process must exit afterwards. */
  readonly onFatal: (error: FatalError) => void
  /** Called after role, term, leader or `leaseValid` may have changed. */
  readonly onLeadershipChange?: (leadership: Leadership) => void
}

/** One replica of a control group. */
export interface Replica<Outcome> {
  /** Random identity created with the data folder. */
  readonly id: string
  /** Starts timers and participates in the group. */
  start(): void
  /** Appends a command; resolves with the outcome of `apply` once it is applied locally. */
  propose(payload: Uint8Array): Promise<results.Result<Committed<Outcome>, ProposeError>>
  /** Processes a message from another replica; messages of another cell or for another identity are dropped. */
  deliver(envelope: Envelope): void
  leadership(): Leadership
  /** Forms the group with the same initial members on every replica; refused unless the log is empty. */
  bootstrap(members: readonly Member[]): Promise<results.Result<undefined, BootstrapError>>
  /** Changes the membership by one member; resolves once the change is committed. */
  changeMembers(change: MembersChange): Promise<results.Result<Committed<undefined>, MembersError>>
  membersStatus(): MembersStatus
  /** Transfers leadership to `target` or the most advanced other voter; resolves to whether another leader is known. */
  transferLeadership(target?: string): Promise<boolean>
  /** Transfers leadership if this replica is the leader, then stops timers and closes files. */
  stop(): Promise<void>
}
