/**
 * Asks the worker whether an announced incarnation is its own before the agent follows it: the worker answers only to its
 * own id, and its answer names its start time.
 */
import * as timers from 'node:timers/promises'
import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as workflowState from '@ebonyweir/workflow-state'
import type * as announcements from './announcement.js'
import type * as runners from './runner.js'

/** Delay after a call that decided nothing, in milliseconds. */
const RETRY_DELAY_MS = 150

/** Time after the last announcement of an incarnation until it is given up, in milliseconds: several announcements. */
const CANDIDATE_LIFETIME_MS = 6_000

/** Announced incarnations that are asked for at a time; each takes one connection to the worker. */
const MAX_CANDIDATES = 4

/** Refuted incarnations that are logged; further ones are only counted. */
const MAX_LOGGED_REFUTATIONS = 100

type Own = announcements.OwnAnnouncement

export interface IncarnationProbeOptions {
  readonly runner: Pick<runners.Runner, 'list'>
  readonly logger: telemetry.Logger
  /** Fencing token of the next call; 0 if there is none. */
  readonly fence: () => number
  readonly nowMs: () => number
  /** The worker runs as the announced incarnation. */
  readonly onConfirmed: (announcement: Own) => void
  /** The worker answered under the id of the announcement and named another start time. */
  readonly onOtherStartTime: (id: string, bornMs: number) => void
}

export interface IncarnationProbe {
  /** Asks the worker until it answers or the incarnation is not announced any more. */
  readonly ask: (announcement: Own) => void
  /** Announced incarnations that the worker's answer ruled out. */
  readonly refutedCount: () => number
  readonly close: () => void
}

interface Candidate {
  announcement: Own
  announcedMs: number
}

export const createIncarnationProbe = (options: IncarnationProbeOptions): IncarnationProbe => {
  const { runner, logger, nowMs } = options
  const candidates = new Map<string, Candidate>()
  const loggedKeys = new Set<string>()
  let refutedCount = 0
  let closed = false

  const isOpen = (key: string, candidate: Candidate): boolean =>
    !closed && candidates.get(key) === candidate

  const refute = (key: string, why: string): void => {
    candidates.delete(key)
    refutedCount += 1
    if (loggedKeys.has(key) || loggedKeys.size >= MAX_LOGGED_REFUTATIONS) return
    loggedKeys.add(key)
    logger.warn('announcement not followed: the worker contradicts it', { announced: key, why })
  }

  const handleAnswer = (key: string, candidate: Candidate, answer: runners.ListAnswer): void => {
    const { identity } = candidate.announcement.worker
    if (answer.kind === 'other-incarnation') {
      refute(key, 'it has another id')
    } else if (answer.kind === 'list' && answer.list.bornMs === identity.bornMs) {
      candidates.delete(key)
      options.onConfirmed(candidate.announcement)
    } else if (answer.kind === 'list') {
      refute(key, `it started at ${answer.list.bornMs}`)
      options.onOtherStartTime(identity.id, answer.list.bornMs)
    }
  }

  const askUntilDecided = async (key: string, candidate: Candidate): Promise<void> => {
    while (isOpen(key, candidate)) {
      if (nowMs() - candidate.announcedMs > CANDIDATE_LIFETIME_MS) {
        candidates.delete(key)
        return
      }
      const answer = await runner.list(candidate.announcement.worker.identity, {
        fence: options.fence(),
        acknowledgedEnd: 0,
        leaseUntilMs: undefined,
        waitMs: 0,
        isProbe: true,
      })
      if (!isOpen(key, candidate)) return
      handleAnswer(key, candidate, answer)
      if (candidates.has(key)) await timers.setTimeout(RETRY_DELAY_MS)
    }
  }

  return {
    ask: (announcement) => {
      const key = workflowState.workerKey(announcement.worker.identity)
      const known = candidates.get(key)
      if (known !== undefined) {
        known.announcement = announcement
        known.announcedMs = nowMs()
        return
      }
      const [oldest] = candidates.keys()
      if (candidates.size >= MAX_CANDIDATES && oldest !== undefined) candidates.delete(oldest)
      const candidate: Candidate = { announcement, announcedMs: nowMs() }
      candidates.set(key, candidate)
      void askUntilDecided(key, candidate)
    },
    refutedCount: () => refutedCount,
    close: () => {
      closed = true
      candidates.clear()
    },
  }
}
