import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as fastCheck from 'fast-check'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { EndKind } = protocol.workflow

const JOBS = ['a', 'b', 'c']
const WORKERS = ['v', 'w']
const RUNS = 600
const SEED = 20_261_204

interface Action {
  readonly kind: 'submit' | 'assign' | 'end' | 'cancel' | 'evacuate'
  readonly job: string
  readonly worker: string
  readonly step: number
  readonly index: number
  readonly end: protocol.workflow.EndKind
}

const actionArbitrary: fastCheck.Arbitrary<Action> = fastCheck.record({
  kind: fastCheck.constantFrom('submit', 'assign', 'end', 'end', 'assign', 'cancel', 'evacuate'),
  job: fastCheck.constantFrom(...JOBS),
  worker: fastCheck.constantFrom(...WORKERS),
  step: fastCheck.nat(1),
  index: fastCheck.nat(2),
  end: fastCheck.constantFrom(EndKind.COMPLETED, EndKind.FAILED, EndKind.STOPPED, EndKind.LOST),
})

const jobSpecOf = (id: string): protocol.workflow.JobSpec =>
  support.job(id, [
    support.step({ taskCount: 2 }),
    support.step({ taskCount: 3, after: [0], gang: id === 'b', lasting: id === 'c' }),
  ])

type Subject = ReturnType<typeof support.createSubject>

const applyAction = (subject: Subject, { kind, job, worker, step, index, end }: Action): void => {
  const name = `${job}.0.${step}.${index}`
  switch (kind) {
    case 'submit':
      subject.submit(jobSpecOf(job))
      return
    case 'assign': {
      const gang = [0, 1, 2].map((member) => `${job}.0.${step}.${member}`)
      subject.assign(support.worker(worker), ...(job === 'b' ? gang : [name]))
      return
    }
    case 'end':
      subject.end(support.worker(worker), `${name}#${subject.task(name)?.run ?? 1}`, end)
      return
    case 'cancel':
      subject.apply({ $case: 'cancel', value: { job } })
      return
    case 'evacuate':
      subject.apply({
        $case: 'evacuation',
        value: { failureDomain: 'rennes', evacuated: index === 0, ticket: { revision: step } },
      })
  }
}

/** State that is visible to later commands and to readers. */
/** Submission of a job and the snapshot after it, as written by commit b51c689. */
const OLD_COMMAND =
  '080522320a150a016a1204746578741a0a0801120308e80718e80712190a0671756f7465733a046465736b4003490000000000000040'
const OLD_SNAPSHOT =
  '08012a3c0a150a016a1204746578741a0a0801120308e80718e80712190a0671756f7465733a046465736b40034900000000000000402005320412020a003801'

const describeState = ({ view }: workflowState.WorkflowState): unknown => ({
  evacuated: [...view.evacuated].sort(),
  revisions: [...view.evacuationRevisions],
  jobs: [...view.jobs.values()].map((job) => [
    job.spec.id,
    job.phase,
    job.hasRun,
    [...job.occurrences.values()].map(({ steps }) =>
      steps.map((step) => [step.tasks, step.waitingCount, step.assignedCount, step.blockedBy]),
    ),
  ]),
  ready: [...view.readySteps].map((step) => `${step.job.spec.id}.${step.index}`).sort(),
  loads: [...view.loads.entries()]
    .map(([key, load]) => [key, load.cpuMillis, load.memoryMb, [...load.runs.keys()].sort()])
    .sort(),
})

describe('random commands', () => {
  it('restores a snapshot that behaves like the original state', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(actionArbitrary, { maxLength: 40 }),
        fastCheck.array(actionArbitrary, { maxLength: 20 }),
        (before, after) => {
          const original = support.createSubject()
          for (const next of before) applyAction(original, next)
          const copy = support.createSubject()
          copy.state.restore(original.state.snapshot())
          expect(describeState(copy.state)).toEqual(describeState(original.state))
          for (const next of after) {
            applyAction(original, next)
            applyAction(copy, next)
          }
          expect(describeState(copy.state)).toEqual(describeState(original.state))
        },
      ),
      { numRuns: RUNS, seed: SEED },
    )
  })

  it('never overcommits a worker and never reruns a completed task', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(actionArbitrary, { maxLength: 80 }), (actions) => {
        const subject = support.createSubject()
        const completed = new Map<string, number>()
        for (const next of actions) {
          applyAction(subject, next)
          for (const load of subject.view.loads.values()) {
            expect(load.cpuMillis).toBeLessThanOrEqual(4_000)
            expect(load.memoryMb).toBeLessThanOrEqual(1_000)
          }
          for (const id of JOBS) {
            for (const [at, count] of [2, 3].entries()) {
              for (let index = 0; index < count; index += 1) {
                const name = `${id}.0.${at}.${index}`
                const task = subject.task(name)
                const known = completed.get(name)
                if (known !== undefined) expect(task?.run).toBe(known)
                if (task?.phase === 'completed') completed.set(name, task.run)
              }
            }
          }
        }
      }),
      { numRuns: RUNS, seed: SEED },
    )
  })

  it.each([
    { name: 'guards against losing the failure domain of the caller', domain: 'rennes' },
    { name: 'guards against a default other than unknown for commands without one', domain: '' },
  ])('$name', ({ domain }) => {
    const original = support.createSubject()
    original.submit(support.job('j', [support.step()]), support.queue(), domain)
    const copy = support.createSubject()
    copy.state.restore(original.state.snapshot())
    expect(copy.view.jobs.get('j')?.callerDomain).toBe(domain)
  })

  it('guards against not reading a command from before the field `caller_domain`', () => {
    const subject = support.createSubject()
    subject.state.apply(protocol.workflow.WorkflowCommand.decode(Buffer.from(OLD_COMMAND, 'hex')))
    expect(subject.view.jobs.get('j')?.callerDomain).toBe('')
    expect(subject.view.jobs.get('j')?.queue.name).toBe('quotes')
  })

  it('guards against not reading a snapshot from before the field `caller_domain`', () => {
    const subject = support.createSubject()
    subject.state.restore(Buffer.from(OLD_SNAPSHOT, 'hex'))
    expect(subject.view.jobs.get('j')?.callerDomain).toBe('')
    expect(subject.view.readySteps.size).toBe(1)
  })

  it('guards against restoring a snapshot of a newer format', () => {
    const subject = support.createSubject()
    const bytes = protocol.workflow.WorkflowSnapshot.encode(
      protocol.workflow.WorkflowSnapshot.fromPartial({ formatVersion: 99 }),
    ).finish()
    expect(() => {
      subject.state.restore(bytes)
    }).toThrow(/newer/u)
  })
})
