/** Replicated state machine of a cell: applies log commands and provides read-only views. */
import type * as protocol from '@ebonyweir/protocol'
import * as result from 'ts-results-es'
import * as assignments from './assignments.js'
import * as claims from './claims.js'
import * as jobs from './jobs.js'
import * as limits from './limits.js'
import type * as outcome from './outcome.js'
import * as records from './records.js'
import * as rulesCommands from './rulesCommands.js'
import * as snapshots from './snapshot.js'
import * as taskEnds from './taskEnds.js'
import type * as types from './types.js'
import * as views from './view.js'
import * as workers from './workers.js'

export interface ControlStateOptions {
  /** Parser of the rules text. It must be identical on every replica. */
  readonly parseRules: types.ParseRules
}

export interface ControlState {
  /** Applies the command at a log index. Deterministic; throws if the index was already applied. */
  readonly apply: (command: protocol.command.Command, index: number) => outcome.Outcome
  readonly snapshot: () => Uint8Array
  /** Replaces the state. On an error the old state is kept. */
  readonly restore: (bytes: Uint8Array) => result.Result<void, snapshots.RestoreError>
  readonly view: views.ControlView
}

/** Advances the log clock towards the leader's clock, never backwards, by a bounded step. */
const advanceClock = (tables: records.Tables, nowMs: number): void => {
  if (tables.logTimeMs === 0) tables.logTimeMs = nowMs
  const step = Math.min(nowMs - tables.logTimeMs, limits.MAX_CLOCK_STEP_MS)
  tables.logTimeMs += Math.max(0, step)
}

const applyBody = (
  tables: records.Tables,
  body: protocol.command.Command['body'],
  parseRules: types.ParseRules,
): outcome.Outcome => {
  switch (body?.$case) {
    case 'applyRules':
      return rulesCommands.applyRules(tables, body.value, parseRules)
    case 'submitJob':
      return jobs.submitJob(tables, body.value)
    case 'cancelJobs':
      return jobs.cancelJobs(tables, body.value)
    case 'registerWorker':
      return workers.registerWorker(tables, body.value)
    case 'assignTasks':
      return assignments.assignTasks(tables, body.value)
    case 'endTasks':
      return taskEnds.endTasks(tables, body.value)
    case 'claimRequest':
      return claims.claimRequest(tables, body.value)
    case 'settleClaim':
      return claims.settleClaim(tables, body.value)
    case undefined:
      return { kind: 'refused', reason: 'the command is empty or unknown' }
  }
}

export const createControlState = (options: ControlStateOptions): ControlState => {
  let tables = records.createTables()

  const apply = (command: protocol.command.Command, index: number): outcome.Outcome => {
    if (index <= tables.appliedIndex)
      throw new Error(
        `log index ${index} was already applied; the last applied index is ${tables.appliedIndex}`,
      )
    tables.appliedIndex = index
    advanceClock(tables, command.nowMs)
    claims.expireClaims(tables)
    return applyBody(tables, command.body, options.parseRules)
  }

  const restore = (bytes: Uint8Array): result.Result<void, snapshots.RestoreError> => {
    const restored = snapshots.restoreTables(bytes, options.parseRules)
    if (restored.isErr()) return restored
    tables = restored.value
    return result.Ok(undefined)
  }

  return {
    apply,
    snapshot: () => snapshots.takeSnapshot(tables),
    restore,
    view: views.createView(() => tables),
  }
}
