import * as protocol from '@ebonyweir/protocol'
import type * as models from './commandModel.js'
import * as invariants from './commandInvariants.js'

type Body = NonNullable<protocol.command.Command['body']>

const { ClaimOutcome, TaskOutcome } = protocol.command

const teamRule = (weight: number, operator: string): string =>
  `team.workshop = { cpuMillis = 96000, memoryMb = 393216, accelerators = 0, weight = ${weight} } # ${operator}\n`

const rules = (expectedRevision: number, operator: string, weight: number): Body => ({
  $case: 'applyRules',
  value: { expectedRevision, operator, text: teamRule(weight, operator) },
})

const claim = (requestId: string, digest = 'd'): Body => ({
  $case: 'claimRequest',
  value: { service: 's', caller: 'c', key: 'k', requestId, digest, entry: 'e' },
})

const settle = (requestId: string, outcome: protocol.command.ClaimOutcome): Body => ({
  $case: 'settleClaim',
  value: {
    service: 's',
    caller: 'c',
    key: 'k',
    requestId,
    outcome,
    answerStatus: 200,
    agent: '',
    agentAddress: '',
    agentIncarnation: 0,
  },
})

const task = 'fit/0'

const assign = (attempt: number, worker: string): Body => ({
  $case: 'assignTasks',
  value: { assignments: [{ task, attempt, worker, workerIncarnation: 1 }] },
})

const end = (attempt: number, outcome: protocol.command.TaskOutcome, checkpoint = ''): Body => ({
  $case: 'endTasks',
  value: { ends: [{ task, attempt, outcome, checkpoint, reason: '' }] },
})

const register = (worker: string): Body => ({
  $case: 'registerWorker',
  value: {
    worker,
    incarnation: 1,
    capacity: { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 },
    rack: worker,
    failureDomain: 'brest',
  },
})

const setupOneTask: readonly Body[] = [
  rules(0, 'Yann Le Goff', 1),
  register('w1'),
  register('w2'),
  {
    $case: 'submitJob',
    value: {
      job: 'fit',
      team: 'workshop',
      kind: 'fitting-plan',
      tasks: 1,
      resources: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
      urgent: false,
      declaredRunMs: 1_000,
      maxFailures: 3,
      command: '',
      submittedBy: '',
    },
  },
]

/** Without attempt fencing: replaces the attempt number of a report by the one that the state machine expects. */
const ignoreAttempt: models.Apply = (stateMachine, body, index) => {
  const attempt = stateMachine.view.task(task)?.attempt ?? 1
  if (body.$case !== 'endTasks') return stateMachine.apply({ nowMs: index, body }, index)
  const ends = body.value.ends.map((item) => ({ ...item, attempt }))
  return stateMachine.apply({ nowMs: index, body: { ...body, value: { ends } } }, index)
}

/** Without claim ownership: grants the claim to every request. */
const grantAlways: models.Apply = (stateMachine, body, index) => {
  const outcome = stateMachine.apply({ nowMs: index, body }, index)
  if (outcome.kind !== 'claim') return outcome
  return { ...outcome, state: protocol.control.ClaimState.GRANTED }
}

/** Without the digest of operator and text: a revision number alone identifies a change. */
const ignoreDigest: models.Apply = (stateMachine, body, index) => {
  const outcome = stateMachine.apply({ nowMs: index, body }, index)
  if (outcome.kind !== 'rulesConflict') return outcome
  return { kind: 'rulesAccepted', revision: outcome.revision, resent: true }
}

export const commandScenarios: readonly models.CommandScenario[] = [
  {
    name: 'operators race with equal revision numbers and resend',
    protection: 'digest of each revision',
    setup: [],
    commands: [
      { name: 'Yann applies at 0', body: rules(0, 'Yann', 1) },
      { name: 'Maëlle applies at 0', body: rules(0, 'Maëlle', 2) },
      { name: 'Yann applies at 1', body: rules(1, 'Yann', 3) },
    ],
    maxCopies: 2,
    weakened: ignoreDigest,
    invariants: [invariants.oneWinnerPerRevision, invariants.acceptedStaysAccepted],
  },
  {
    name: 'a keyed request is resent through another entry',
    protection: 'claim before dispatch',
    setup: [],
    commands: [
      { name: 'r1 claims', body: claim('r1') },
      { name: 'r2 claims', body: claim('r2') },
      { name: 'r3 claims with another body', body: claim('r3', 'other') },
      { name: 'r1 answered', body: settle('r1', ClaimOutcome.ANSWERED) },
      { name: 'r1 not run', body: settle('r1', ClaimOutcome.NOT_RUN) },
      { name: 'r2 unknown', body: settle('r2', ClaimOutcome.UNKNOWN) },
    ],
    maxCopies: 1,
    weakened: grantAlways,
    invariants: [invariants.oneClaimHolder],
  },
  {
    name: 'late and repeated reports about attempts of one task',
    protection: 'attempt fencing',
    setup: setupOneTask,
    commands: [
      { name: 'assign attempt 1 to w1', body: assign(1, 'w1') },
      { name: 'assign attempt 1 to w2', body: assign(1, 'w2') },
      { name: 'attempt 1 lost', body: end(1, TaskOutcome.LOST) },
      { name: 'attempt 1 evicted', body: end(1, TaskOutcome.EVICTED, 'cp-1') },
      { name: 'assign attempt 2 to w2', body: assign(2, 'w2') },
      { name: 'attempt 2 completed', body: end(2, TaskOutcome.COMPLETED) },
    ],
    maxCopies: 1,
    weakened: ignoreAttempt,
    invariants: [invariants.oneWorkerPerAttempt, invariants.endsOnlyItsAttempt],
  },
]
