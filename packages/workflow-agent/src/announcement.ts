/** Announcements of a worker. Other writers may send some too, so an announcement alone proves nothing. */
import type * as protocol from '@ebonyweir/protocol'

/** Description that a worker announces. */
export interface Announcement {
  readonly worker: Omit<protocol.workflow.WorkerDescription, 'identity'> & {
    readonly identity: Omit<protocol.workflow.WorkerIdentity, 'agent'>
  }
  /** Increases with each announcement of an incarnation. */
  readonly sequence: number
  readonly draining: boolean
  readonly drainRemainingMs: number
}

/** Announcement whose identity includes the agent's name. */
export interface OwnAnnouncement extends Announcement {
  readonly worker: Announcement['worker'] & {
    readonly identity: protocol.workflow.WorkerIdentity
  }
}
