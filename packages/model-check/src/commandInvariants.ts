import * as protocol from '@ebonyweir/protocol'
import type * as models from './commandModel.js'
import type * as engine from './engine.js'

type CommandInvariant = engine.Invariant<models.CommandModelState>

const { ClaimState } = protocol.control
const { ClaimOutcome } = protocol.command

/** Of the operators that apply concurrently at one revision, exactly one is answered with success. */
export const oneWinnerPerRevision: CommandInvariant = {
  name: 'one operator wins each revision',
  check: ({ applied }) => {
    const winners = new Map<number, string>()
    for (const { name, outcome } of applied) {
      if (outcome.kind !== 'rulesAccepted') continue
      const winner = winners.get(outcome.revision) ?? name
      if (winner !== name) return `revision ${outcome.revision}: ${winner} and ${name}`
      winners.set(outcome.revision, name)
    }
    return undefined
  },
}

/** A resent accepted change gets the original answer, and the newest accepted text is in force. */
export const acceptedStaysAccepted: CommandInvariant = {
  name: 'an accepted change stays accepted',
  check: ({ applied, view }) => {
    const accepted = new Set<string>()
    let newest = { revision: 0, text: '' }
    for (const { name, body, outcome } of applied) {
      if (outcome.kind !== 'rulesAccepted') {
        if (accepted.has(name)) return `${name} was accepted, and a resend got ${outcome.kind}`
        continue
      }
      accepted.add(name)
      if (outcome.revision > newest.revision && body.$case === 'applyRules') {
        newest = { revision: outcome.revision, text: body.value.text }
      }
    }
    const inForce = view.revision() === newest.revision && view.rulesText().text === newest.text
    return inForce
      ? undefined
      : `revision ${newest.revision} is accepted, ${view.revision()} in force`
  },
}

/** At most one request id may be dispatched under an idempotency key at a time, and none after an answer. */
export const oneClaimHolder: CommandInvariant = {
  name: 'a keyed request runs at most once',
  check: ({ applied }) => {
    const granted = new Set<string>()
    for (const { body, outcome } of applied) {
      if (body.$case === 'claimRequest' && outcome.kind === 'claim') {
        if (outcome.state === ClaimState.GRANTED) granted.add(body.value.requestId)
      }
      const freed = outcome.kind === 'claimSettled' && outcome.result === 'freed'
      if (body.$case === 'settleClaim' && freed && body.value.outcome === ClaimOutcome.NOT_RUN) {
        granted.delete(body.value.requestId)
      }
      if (granted.size > 1) return `${[...granted].join(' and ')} may both run`
    }
    return undefined
  },
}

/** An attempt is assigned to exactly one worker. */
export const oneWorkerPerAttempt: CommandInvariant = {
  name: 'an attempt is assigned once',
  check: ({ applied }) => {
    const assigned = new Set<number>()
    for (const { outcome } of applied) {
      if (outcome.kind !== 'tasksAssigned') continue
      for (const { attempt, refusal } of outcome.results) {
        if (refusal !== undefined) continue
        if (assigned.has(attempt)) return `attempt ${attempt} was assigned twice`
        assigned.add(attempt)
      }
    }
    return undefined
  },
}

/** A report ends only the attempt that it names, and only while that attempt is running. */
export const endsOnlyItsAttempt: CommandInvariant = {
  name: 'a report ends only its own attempt',
  check: ({ applied }) => {
    let runningAttempt: number | undefined
    for (const { name, body, outcome } of applied) {
      if (outcome.kind === 'tasksAssigned') {
        runningAttempt =
          outcome.results.find((item) => item.refusal === undefined)?.attempt ?? runningAttempt
      }
      if (body.$case !== 'endTasks' || outcome.kind !== 'tasksEnded') continue
      const reportedEnd = body.value.ends[0]
      if (outcome.results[0]?.result !== 'ended' || reportedEnd === undefined) continue
      if (reportedEnd.attempt !== runningAttempt)
        return `"${name}" ended attempt ${runningAttempt ?? 'none'}`
      runningAttempt = undefined
    }
    return undefined
  },
}
