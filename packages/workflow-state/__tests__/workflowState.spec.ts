import * as protocol from '@ebonyweir/protocol'
import * as workflowState from '@ebonyweir/workflow-state'
import * as fastCheck from 'fast-check'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest
const { EndKind } = protocol.workflow
const { step, job, queue, worker } = support

describe('assignments that are not allowed have no effect', () => {
  const cases: readonly {
    readonly name: string
    readonly spec: protocol.workflow.JobSpec
    readonly to: protocol.workflow.WorkerDescription
    readonly tasks: readonly string[]
    readonly accepted: readonly string[]
  }[] = [
    {
      name: 'guards against more CPU than the worker has',
      spec: job('j', [
        step({ taskCount: 3, claim: { cpuMillis: 1_500, memoryMb: 1, accelerators: 0 } }),
      ]),
      to: worker('w'),
      tasks: ['j.0.0.0', 'j.0.0.1', 'j.0.0.2'],
      accepted: ['j.0.0.0#1', 'j.0.0.1#1'],
    },
    {
      name: 'guards against more memory than the worker has, also for best-effort tasks',
      spec: job('j', [
        step({
          taskCount: 2,
          filling: true,
          claim: { cpuMillis: 9_000, memoryMb: 600, accelerators: 0 },
        }),
      ]),
      to: worker('w'),
      tasks: ['j.0.0.0', 'j.0.0.1'],
      accepted: ['j.0.0.0#1'],
    },
    {
      name: 'guards against a step whose dependencies are not completed',
      spec: job('j', [step(), step({ after: [0] })]),
      to: worker('w'),
      tasks: ['j.0.1.0'],
      accepted: [],
    },
    {
      name: 'guards against a worker of another service',
      spec: job('j', [step()]),
      to: worker('w', { service: 'other' }),
      tasks: ['j.0.0.0'],
      accepted: [],
    },
    {
      name: 'guards against a worker without the required label',
      spec: job('j', [step({ requiredLabel: 'gpu' })]),
      to: worker('w'),
      tasks: ['j.0.0.0'],
      accepted: [],
    },
    {
      name: 'guards against too many tasks of a step on one worker',
      spec: job('j', [step({ taskCount: 2, maxPerWorker: 1 })]),
      to: worker('w'),
      tasks: ['j.0.0.0', 'j.0.0.1'],
      accepted: ['j.0.0.0#1'],
    },
    {
      name: 'guards against a second run of a task that is assigned',
      spec: job('j', [step()]),
      to: worker('w'),
      tasks: ['j.0.0.0', 'j.0.0.0'],
      accepted: ['j.0.0.0#1'],
    },
    {
      name: 'guards against a gang that fits only in part',
      spec: job('j', [
        step({
          taskCount: 3,
          gang: true,
          claim: { cpuMillis: 1_500, memoryMb: 1, accelerators: 0 },
        }),
      ]),
      to: worker('w'),
      tasks: ['j.0.0.0', 'j.0.0.1', 'j.0.0.2'],
      accepted: [],
    },
    {
      name: 'guards against a gang that is not assigned as a whole',
      spec: job('j', [step({ taskCount: 2, gang: true })]),
      to: worker('w'),
      tasks: ['j.0.0.0'],
      accepted: [],
    },
  ]

  it.each(cases)('$name', ({ spec, to, tasks, accepted }) => {
    const subject = support.createSubject()
    subject.submit(spec)
    expect(subject.assign(to, ...tasks)).toEqual(accepted)
    expect(subject.view.loads.get('w@1')?.runs.size ?? 0).toBe(accepted.length)
  })

  it('guards against an assignment while the failure domain is evacuated', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step()]))
    const evacuation = (evacuated: boolean) => {
      const value = { failureDomain: 'rennes', evacuated, ticket: undefined }
      return subject.apply({ $case: 'evacuation', value })
    }
    evacuation(true)
    expect(subject.assign(worker('w'), 'j.0.0.0')).toEqual([])
    evacuation(false)
    expect(subject.assign(worker('w'), 'j.0.0.0')).toEqual(['j.0.0.0#1'])
  })
})

describe('ends of runs', () => {
  it('guards against an end of an older run that ends the current one', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step()]))
    subject.assign(worker('w'), 'j.0.0.0')
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.LOST)
    subject.assign(worker('v'), 'j.0.0.0')
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.COMPLETED)
    expect(subject.task('j.0.0.0')).toMatchObject({ phase: 'assigned', run: 2 })
    expect(subject.phase('j')).toBe('active')
  })

  it('guards against an end that another incarnation of the worker reports', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step()]))
    subject.assign(worker('w'), 'j.0.0.0')
    const restartedWorker = { ...worker('w'), identity: { id: 'w', bornMs: 2, agent: 'a' } }
    subject.end(restartedWorker, 'j.0.0.0#1')
    expect(subject.phase('j')).toBe('active')
  })

  it('guards against attempts beyond the limit, after which the job fails', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step({ taskCount: 2 })]))
    for (const run of [1, 2]) {
      expect(subject.phase('j')).toBe('active')
      subject.assign(worker('w'), 'j.0.0.0')
      subject.end(worker('w'), `j.0.0.0#${run}`, EndKind.FAILED)
    }
    expect(subject.phase('j')).toBe('failed')
    expect(subject.assign(worker('w'), 'j.0.0.0', 'j.0.0.1')).toEqual([])
    expect(subject.view.readySteps.size).toBe(0)
  })

  it.each([EndKind.STOPPED, EndKind.LAPSED, EndKind.LOST, EndKind.REJECTED, EndKind.BROKEN])(
    'guards against counting %s as a failed attempt',
    (kind) => {
      const subject = support.createSubject()
      subject.submit(job('j', [step()]), queue({ maxAttempts: 1 }))
      subject.assign(worker('w'), 'j.0.0.0')
      subject.end(worker('w'), 'j.0.0.0#1', kind, 'saved')
      expect(subject.phase('j')).toBe('active')
      expect(subject.task('j.0.0.0')).toMatchObject({ phase: 'waiting', checkpoint: 'saved' })
    },
  )

  it('guards against completing a job with an open step or a long-running task', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step({ taskCount: 2 }), step({ after: [0] })]))
    subject.assign(worker('w'), 'j.0.0.0', 'j.0.0.1')
    subject.end(worker('w'), 'j.0.0.0#1')
    expect(subject.assign(worker('w'), 'j.0.1.0')).toEqual([])
    subject.end(worker('w'), 'j.0.0.1#1')
    expect(subject.assign(worker('w'), 'j.0.1.0')).toEqual(['j.0.1.0#1'])
    expect(subject.phase('j')).toBe('active')
    subject.end(worker('w'), 'j.0.1.0#1')
    expect(subject.phase('j')).toBe('completed')

    subject.submit(job('l', [step({ lasting: true })]))
    for (const run of [1, 2, 3]) {
      subject.assign(worker('w'), 'l.0.0.0')
      subject.end(worker('w'), `l.0.0.0#${run}`, run === 2 ? EndKind.FAILED : EndKind.COMPLETED)
    }
    expect(subject.phase('l')).toBe('active')
    expect(subject.task('l.0.0.0')?.phase).toBe('waiting')
  })

  it('guards against a gang that stays open after one member completed', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step({ taskCount: 2, gang: true })]))
    expect(subject.assign(worker('w'), 'j.0.0.0', 'j.0.0.1')).toHaveLength(2)
    subject.end(worker('w'), 'j.0.0.1#1')
    expect(subject.phase('j')).toBe('completed')
    expect(subject.view.loads.size).toBe(0)
  })

  it.each([
    { name: 'recorded as lost', kind: EndKind.LOST },
    { name: 'reported as broken', kind: EndKind.BROKEN },
  ])(
    'guards against a gang that waits for ever when a member was $name before another completed',
    ({ kind }) => {
      const subject = support.createSubject()
      subject.submit(job('j', [step({ taskCount: 2, gang: true })]))
      subject.assign(worker('w'), 'j.0.0.0', 'j.0.0.1')
      subject.end(worker('w'), 'j.0.0.0#1', kind)
      subject.end(worker('w'), 'j.0.0.1#1')
      expect(subject.phase('j')).toBe('completed')
      expect(subject.view.loads.size).toBe(0)
      expect(subject.view.readySteps.size).toBe(0)
    },
  )

  it('guards against a member of the next run that an end of an older run of its gang completes', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step({ taskCount: 2, gang: true })]))
    subject.assign(worker('w'), 'j.0.0.0', 'j.0.0.1')
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.LOST)
    subject.end(worker('w'), 'j.0.0.1#1', EndKind.LOST)
    subject.assign(worker('w'), 'j.0.0.0', 'j.0.0.1')
    subject.end(worker('w'), 'j.0.0.0#1')
    expect(subject.phase('j')).toBe('active')
    expect(subject.task('j.0.0.1')).toMatchObject({ phase: 'assigned', run: 2 })
  })

  it('guards against releasing resources before the end of a cancelled run is recorded', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step()]))
    subject.assign(worker('w'), 'j.0.0.0')
    subject.apply({ $case: 'cancel', value: { job: 'j' } })
    expect(subject.view.loads.get('w@1')?.cpuMillis).toBe(1_000)
    subject.apply({ $case: 'forget', value: { jobs: ['j'] } })
    expect(subject.phase('j')).toBe('cancelled')
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.STOPPED)
    expect(subject.view.loads.size).toBe(0)
    subject.apply({ $case: 'forget', value: { jobs: ['j'] } })
    expect(subject.phase('j')).toBe('unknown')
  })
})

describe('a completed end of a run that was recorded as lost', () => {
  const cases: readonly {
    readonly name: string
    readonly spec: Partial<protocol.workflow.Step>
    readonly before?: (subject: ReturnType<typeof support.createSubject>) => void
    readonly run?: number
    readonly kind?: protocol.workflow.EndKind
    readonly phase: workflowState.TaskPhase
    readonly job: string
  }[] = [
    {
      name: 'guards against a second run of a completed task',
      spec: {},
      phase: 'completed',
      job: 'completed',
    },
    {
      name: 'has no effect when it is not a completion',
      spec: {},
      kind: EndKind.LAPSED,
      phase: 'waiting',
      job: 'active',
    },
    {
      name: 'guards against completing a task that never ran with run number 0',
      spec: { taskCount: 2 },
      run: 0,
      phase: 'waiting',
      job: 'active',
    },
    {
      name: 'guards against completing a task with an older run',
      spec: {},
      before: (subject) => {
        subject.assign(worker('v'), 'j.0.0.0')
        subject.end(worker('v'), 'j.0.0.0#2', EndKind.LOST)
      },
      phase: 'waiting',
      job: 'active',
    },
    {
      name: 'has no effect once the task is assigned again',
      spec: {},
      before: (subject) => {
        subject.assign(worker('v'), 'j.0.0.0')
      },
      phase: 'assigned',
      job: 'active',
    },
    {
      name: 'guards against completing a task of a job that has ended',
      spec: {},
      before: (subject) => {
        subject.apply({ $case: 'cancel', value: { job: 'j' } })
      },
      phase: 'waiting',
      job: 'cancelled',
    },
    {
      name: 'guards against completing a long-running task',
      spec: { lasting: true },
      phase: 'waiting',
      job: 'active',
    },
    {
      name: 'guards against a second run of a completed gang',
      spec: { gang: true },
      phase: 'completed',
      job: 'completed',
    },
  ]

  it.each(cases)('$name', ({ spec, before, run = 1, kind = EndKind.COMPLETED, ...expected }) => {
    const subject = support.createSubject()
    subject.submit(job('j', [step(spec)]))
    subject.assign(worker('w'), 'j.0.0.0')
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.LOST)
    before?.(subject)
    const task = run === 0 ? 'j.0.0.1' : 'j.0.0.0'
    const name = `${task}#${run}`
    const isRecorded = expected.phase === 'completed'
    const outcome = subject.end(worker('w'), name, kind)
    expect(outcome).toEqual({ kind: 'ended', ignored: isRecorded ? 0 : 1 })
    expect(subject.task(task)?.phase).toBe(expected.phase)
    expect(subject.phase('j')).toBe(expected.job)
    expect(subject.end(worker('w'), name, kind)).toEqual({ kind: 'ended', ignored: 1 })
  })

  it('guards against a blocked dependent step and counts that differ after a restart', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step({ taskCount: 2 }), step({ after: [0] })]))
    subject.assign(worker('w'), 'j.0.0.0', 'j.0.0.1')
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.LOST)
    subject.end(worker('w'), 'j.0.0.0#1')
    subject.end(worker('w'), 'j.0.0.1#1')
    expect(subject.view.loads.size).toBe(0)
    const restored = support.createSubject()
    restored.state.restore(subject.state.snapshot())
    for (const copy of [subject, restored]) {
      const before = copy.view.jobs.get('j')?.occurrences.get(0)?.steps[0]
      expect(before).toMatchObject({ waitingCount: 0, assignedCount: 0, completedCount: 2 })
      expect(copy.assign(worker('w'), 'j.0.0.0', 'j.0.1.0')).toEqual(['j.0.1.0#1'])
    }
  })
})

describe('a failed end of a run that was recorded as lost', () => {
  const cases: readonly {
    readonly name: string
    readonly spec?: Partial<protocol.workflow.Step>
    readonly before?: (subject: ReturnType<typeof support.createSubject>) => void
    readonly failures: number
    readonly job: string
  }[] = [
    { name: 'is counted while the task waits', failures: 1, job: 'active' },
    {
      name: 'is counted after the task was assigned again',
      before: (subject) => {
        subject.assign(worker('v'), 'j.0.0.0')
      },
      failures: 1,
      job: 'active',
    },
    {
      name: 'is not counted for a long-running task',
      spec: { lasting: true },
      failures: 0,
      job: 'active',
    },
    { name: 'is counted for a gang', spec: { gang: true }, failures: 1, job: 'active' },
  ]

  it.each(cases)('$name', ({ spec, before, failures, ...expected }) => {
    const subject = support.createSubject()
    subject.submit(job('j', [step(spec)]))
    subject.assign(worker('w'), 'j.0.0.0')
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.LOST)
    before?.(subject)
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.FAILED)
    const restored = support.createSubject()
    restored.state.restore(subject.state.snapshot())
    for (const copy of [subject, restored]) {
      // The worker reports an end again until the leader acknowledges it.
      const repeated = copy.end(worker('w'), 'j.0.0.0#1', EndKind.FAILED)
      expect(repeated).toEqual({ kind: 'ended', ignored: 1 })
      expect(copy.task('j.0.0.0')?.failures).toBe(failures)
      expect(copy.phase('j')).toBe(expected.job)
    }
  })

  it('guards against an assignment after the last attempt', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step()]), support.queue({ maxAttempts: 1 }))
    subject.assign(worker('w'), 'j.0.0.0')
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.LOST)
    subject.end(worker('w'), 'j.0.0.0#1', EndKind.FAILED)
    expect(subject.phase('j')).toBe('failed')
    expect(subject.assign(worker('w'), 'j.0.0.0')).toEqual([])
  })
})

describe('failed runs of a gang', () => {
  /** Ends in the order of their commits, written "member#run kind"; `assign` starts the next run of all members. */
  type GangEvent = 'assign' | 'snapshot' | readonly [string, protocol.workflow.EndKind]
  const cases: readonly {
    readonly name: string
    readonly events: readonly GangEvent[]
    readonly failures: number
    readonly job: string
  }[] = [
    {
      name: 'guards against counting one run for each member that fails in it',
      events: ['assign', ['0#1', EndKind.FAILED], ['1#1', EndKind.FAILED], ['2#1', EndKind.FAILED]],
      failures: 1,
      job: 'active',
    },
    {
      name: 'counts a run of which one member failed and the others ended with it',
      events: [
        'assign',
        ['2#1', EndKind.BROKEN],
        ['1#1', EndKind.FAILED],
        ['0#1', EndKind.STOPPED],
      ],
      failures: 1,
      job: 'active',
    },
    {
      name: 'counts no run without a failed member',
      events: ['assign', ['0#1', EndKind.BROKEN], ['1#1', EndKind.LOST], ['2#1', EndKind.ALONE]],
      failures: 0,
      job: 'active',
    },
    {
      name: 'guards against counting a run again after a restart from a snapshot',
      events: [
        'assign',
        ['1#1', EndKind.FAILED],
        'snapshot',
        ['0#1', EndKind.FAILED],
        ['2#1', EndKind.FAILED],
      ],
      failures: 1,
      job: 'active',
    },
    {
      name: 'counts a run whose only failed member was recorded as lost before',
      events: [
        'assign',
        ['0#1', EndKind.LOST],
        ['1#1', EndKind.BROKEN],
        ['2#1', EndKind.BROKEN],
        ['0#1', EndKind.FAILED],
      ],
      failures: 1,
      job: 'active',
    },
    {
      name: 'guards against counting a run again when a member reports it during the next one',
      events: [
        'assign',
        ['0#1', EndKind.FAILED],
        ['1#1', EndKind.LOST],
        ['2#1', EndKind.FAILED],
        'assign',
        'snapshot',
        ['1#1', EndKind.FAILED],
      ],
      failures: 1,
      job: 'active',
    },
    {
      name: 'guards against missing a run that is reported after a later one was counted',
      events: [
        'assign',
        ['0#1', EndKind.LOST],
        ['1#1', EndKind.LOST],
        ['2#1', EndKind.LOST],
        'assign',
        ['0#2', EndKind.FAILED],
        ['1#2', EndKind.BROKEN],
        ['2#2', EndKind.BROKEN],
        'snapshot',
        ['2#1', EndKind.FAILED],
      ],
      failures: 2,
      job: 'failed',
    },
    {
      name: 'fails the job after the last attempt',
      events: [
        'assign',
        ['0#1', EndKind.FAILED],
        ['1#1', EndKind.FAILED],
        ['2#1', EndKind.FAILED],
        'assign',
        ['2#2', EndKind.FAILED],
      ],
      failures: 2,
      job: 'failed',
    },
  ]

  it.each(cases)('$name', ({ events, failures, ...expected }) => {
    let subject = support.createSubject()
    subject.submit(job('j', [step({ taskCount: 3, gang: true })]), queue({ maxAttempts: 2 }))
    for (const event of events) {
      if (event === 'assign') {
        expect(subject.assign(worker('w'), 'j.0.0.0', 'j.0.0.1', 'j.0.0.2')).toHaveLength(3)
      } else if (event === 'snapshot') {
        const restored = support.createSubject()
        restored.state.restore(subject.state.snapshot())
        subject = restored
      } else {
        const [run, kind] = event
        subject.end(worker('w'), `j.0.0.${run}`, kind)
      }
    }
    expect(subject.task('j.0.0.0')?.failures).toBe(failures)
    expect(subject.phase('j')).toBe(expected.job)
  })

  it('guards against a limit of attempts that depends on the size of the gang or the order of its ends', () => {
    const members = [0, 1, 2, 3]
    const run = fastCheck.record({
      failed: fastCheck.subarray(members, { minLength: 1 }),
      order: fastCheck.shuffledSubarray(members, { minLength: members.length }),
      inOneCommit: fastCheck.boolean(),
    })
    const runs = fastCheck.array(run, { minLength: 1, maxLength: 5 })
    fastCheck.assert(
      fastCheck.property(runs, (attempts) => {
        const subject = support.createSubject()
        const limits = queue({ maxAttempts: attempts.length })
        subject.submit(job('j', [step({ taskCount: members.length, gang: true })]), limits)
        for (const [attempt, { failed, order, inOneCommit }] of attempts.entries()) {
          expect(subject.phase('j')).toBe('active')
          subject.assign(worker('w'), ...members.map((member) => `j.0.0.${member}`))
          const ends = order.map((member) => ({
            run: { ...support.parseTask(`j.0.0.${member}`), run: attempt + 1 },
            kind: failed.includes(member) ? EndKind.FAILED : EndKind.BROKEN,
            checkpoint: '',
          }))
          const commits = inOneCommit ? [ends] : ends.map((end) => [end])
          for (const commit of commits) {
            const value = { worker: worker('w').identity, ends: commit }
            subject.apply({ $case: 'ends', value })
          }
        }
        expect(subject.phase('j')).toBe('failed')
      }),
      { numRuns: 200, seed: 20_261_205 },
    )
  })
})

describe('orders that are carried out late', () => {
  /** Order for an evacuation, with the revision of its ticket: "+" evacuates, "-" takes it back. */
  const orders: readonly {
    readonly name: string
    readonly given: readonly (readonly ['+' | '-', number])[]
    readonly inForce: readonly boolean[]
    readonly evacuated: boolean
  }[] = [
    {
      name: 'guards against a late evacuation after it was taken back',
      given: [
        ['+', 0],
        ['-', 1],
        ['+', 0],
      ],
      inForce: [true, true, false],
      evacuated: false,
    },
    {
      name: 'guards against a late order that takes back a later evacuation',
      given: [
        ['+', 0],
        ['-', 1],
        ['+', 2],
        ['-', 1],
      ],
      inForce: [true, true, true, false],
      evacuated: true,
    },
    {
      name: 'acknowledges a copy of the order in force, whatever its ticket',
      given: [
        ['+', 0],
        ['+', 0],
        ['+', 1],
        ['-', 1],
        ['-', 1],
      ],
      inForce: [true, true, true, true, true],
      evacuated: false,
    },
    {
      name: 'carries out each of several cycles at once',
      given: [
        ['+', 0],
        ['-', 1],
        ['+', 2],
        ['-', 3],
        ['+', 4],
      ],
      inForce: [true, true, true, true, true],
      evacuated: true,
    },
  ]

  it.each(orders)('$name', ({ given, inForce, evacuated }) => {
    let subject = support.createSubject()
    const outcomes = given.map(([sign, revision]) => {
      const value = { failureDomain: 'rennes', evacuated: sign === '+', ticket: { revision } }
      const outcome = subject.apply({ $case: 'evacuation', value })
      // The revision survives a restart from a snapshot.
      const restored = support.createSubject()
      restored.state.restore(subject.state.snapshot())
      subject = restored
      return outcome.kind === 'evacuation' && outcome.isInForce
    })
    expect(outcomes).toEqual(inForce)
    expect(subject.view.evacuated.has('rennes')).toBe(evacuated)
  })

  const others: readonly {
    readonly name: string
    readonly late: (subject: ReturnType<typeof support.createSubject>) => void
  }[] = [
    {
      name: 'a cancel is final, so a late copy changes nothing',
      late: (subject) => subject.apply({ $case: 'cancel', value: { job: 'j' } }),
    },
    {
      name: 'a submission is known by its id, so a late copy starts nothing again',
      late: (subject) => subject.submit(job('j', [step(), step()])),
    },
    {
      name: 'a configuration has a version, so a late older one changes nothing',
      late: (subject) => {
        const older = protocol.workflow.QueueConfiguration.fromPartial({ version: 1 })
        subject.apply({ $case: 'configure', value: older })
      },
    },
  ]

  it.each(others)('$name', ({ late }) => {
    const subject = support.createSubject()
    for (const version of [1, 2]) {
      const configuration = protocol.workflow.QueueConfiguration.fromPartial({ version })
      subject.apply({ $case: 'configure', value: configuration })
    }
    subject.submit(job('j', [step()]))
    subject.apply({ $case: 'cancel', value: { job: 'j' } })
    const before = subject.state.snapshot()
    late(subject)
    expect(subject.state.snapshot()).toEqual(before)
  })
})

describe('jobs and configuration', () => {
  it('guards against a repeated submission that replaces the job', () => {
    const subject = support.createSubject()
    expect(subject.submit(job('j', [step()]))).toMatchObject({ repeated: false })
    subject.assign(worker('w'), 'j.0.0.0')
    expect(subject.submit(job('j', [step(), step()]))).toMatchObject({ repeated: true })
    expect(subject.view.jobs.get('j')?.spec.steps).toHaveLength(1)
    expect(subject.task('j.0.0.0')?.phase).toBe('assigned')
  })

  it('opens the occurrences of a recurring job once each and in order', () => {
    const subject = support.createSubject()
    subject.submit(job('j', [step()], { repetitions: 2 }))
    const open = (occurrence: number) =>
      subject.apply({
        $case: 'occurrences',
        value: { occurrences: [{ job: 'j', occurrence, step: 0, index: 0, run: 0 }] },
      })
    for (const occurrence of [1, 0, 0, 1, 2]) open(occurrence)
    expect([...(subject.view.jobs.get('j')?.occurrences.keys() ?? [])]).toEqual([0, 1])
    subject.assign(worker('w'), 'j.0.0.0', 'j.1.0.0')
    subject.end(worker('w'), 'j.1.0.0#1')
    expect(subject.phase('j')).toBe('active')
    subject.end(worker('w'), 'j.0.0.0#1')
    expect(subject.phase('j')).toBe('completed')
  })

  it.each([
    { name: 'applies a higher version', versions: [3, 7], inForce: 7 },
    { name: 'guards against replacing a version with a lower one', versions: [7, 3], inForce: 7 },
    {
      name: 'guards against other content under the current version',
      versions: [7, 7],
      inForce: 7,
    },
  ])('$name', ({ versions, inForce }) => {
    const subject = support.createSubject()
    for (const [index, version] of versions.entries()) {
      const value = { version, queues: [], pools: [], limits: undefined, document: `${index}` }
      subject.apply({ $case: 'configure', value })
    }
    const { configuration } = subject.view
    expect(configuration?.version).toBe(inForce)
    expect(configuration?.document).toBe(versions[0] === inForce ? '0' : '1')
  })

  it.each([
    { name: 'an unknown service', queues: [queue({ service: 'none' })] },
    { name: 'two queues on one route', queues: [queue(), queue({ name: 'other' })] },
    { name: 'a timeout of 0', queues: [queue({ timeoutMs: 0 })] },
  ])('guards against $name', ({ queues }) => {
    const checked = workflowState.checkConfiguration({
      version: 1,
      queues,
      pools: [{ service: 'desk', enforcesCapacity: true, standby: false }],
      limits: undefined,
      document: '',
    })
    expect(checked.isErr()).toBe(true)
  })

  it('chooses the queue with the longest prefix', () => {
    const queues = [queue({ pathPrefix: '/a/' }), queue({ name: 'long', pathPrefix: '/a/b/' })]
    const configuration = { version: 1, queues, pools: [], limits: undefined, document: '' }
    const find = (host: string, path: string) =>
      workflowState.findQueue(configuration, host, path)?.name
    expect(find('shop.example', '/a/b/1')).toBe('long')
    expect(find('SHOP.example:80', '/a/c')).toBe('quotes')
    expect(find('other.example', '/a/c')).toBeUndefined()
  })

  it.each([
    { name: 'no steps', steps: [] },
    { name: 'a step without tasks', steps: [step({ taskCount: 0 })] },
    { name: 'a step that depends on itself', steps: [step({ after: [0] })] },
    { name: 'too many tasks', steps: [step({ taskCount: workflowState.MAX_TASKS_PER_JOB + 1 })] },
  ])('guards against a job with $name', ({ steps }) => {
    expect(workflowState.checkJobSpec(job('j', steps)).isErr()).toBe(true)
  })
})
