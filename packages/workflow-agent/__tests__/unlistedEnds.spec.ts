import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as subjects from './tableSubject.js'

const { describe, expect, it } = vitest
const { RejectionReason } = protocol.workflow
const { createSubject, refused, RUN, started, unanswered, waitUntilQuiet } = subjects

describe('a run that may have ended at the worker behind the listed ends', () => {
  const cases: readonly {
    readonly name: string
    readonly options: Parameters<typeof createSubject>[0]
    readonly order: (subject: subjects.Subject) => void
    readonly calls: readonly string[]
    /** Rejection once a list shows that the run is absent. */
    readonly rejection: protocol.workflow.RejectionReason
  }[] = [
    {
      name: 'a refusal of its start as old',
      options: { answers: [refused('old')] },
      order: ({ start }) => {
        start()
      },
      calls: ['start until 6000'],
      rejection: RejectionReason.REFUSED,
    },
    {
      name: 'a refusal of its repeated start while the worker is leaving',
      options: { repeated: true, mayStart: () => false },
      order: ({ start }) => {
        start()
      },
      calls: ['stop'],
      rejection: RejectionReason.UNAVAILABLE,
    },
    {
      name: 'a refusal for lack of room after an unanswered start',
      options: { answers: [unanswered, refused('no-room')] },
      order: ({ start }) => {
        start()
      },
      calls: ['start until 6000', 'start until 6000', 'stop'],
      rejection: RejectionReason.NO_ROOM,
    },
    {
      name: 'a stop',
      options: {},
      order: ({ table }) => {
        table.stop(RUN)
      },
      calls: ['stop'],
      rejection: RejectionReason.ABSENT,
    },
    {
      name: 'a stop that is unanswered until all leases have expired',
      options: { stops: ['unanswered'], listClockMs: () => 6_001 },
      order: ({ table, start, note }) => {
        start()
        table.stop(RUN)
        note('unknown')
      },
      calls: ['start until 6000', 'stop'],
      rejection: RejectionReason.ABSENT,
    },
    {
      name: 'a withdrawal of its start',
      options: {},
      order: ({ table }) => {
        table.withdrawStart(RUN)
      },
      calls: ['stop'],
      rejection: RejectionReason.ABSENT,
    },
  ]

  // Guards against a second run of a task whose first run has completed: the end is in a later list.
  it.each(cases)('is not rejected after $name until its end is listed', async (row) => {
    const subject = createSubject({ ...row.options, lists: ['unknown'] })
    row.order(subject)
    await waitUntilQuiet(subject)
    subject.note('unknown')
    subject.note('ended')
    await waitUntilQuiet(subject)
    // A later list does not contain the end, since it was acknowledged.
    subject.note('absent')
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.calls).toEqual(row.calls)
    expect(subject.rejections).toEqual([])
  })

  // Guards against a task that stays assigned to a worker that never ran it.
  it.each(cases)('is rejected after $name once a list shows that it is absent', async (row) => {
    const subject = createSubject({ ...row.options, lists: ['unknown'] })
    row.order(subject)
    await waitUntilQuiet(subject)
    subject.note('unknown')
    subject.note('absent')
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.rejections.map(({ reason }) => reason)).toEqual([row.rejection])
  })

  const starts: readonly {
    readonly name: string
    readonly options: Parameters<typeof createSubject>[0]
    /** Calls before a list shows more of the run. */
    readonly calls: readonly string[]
  }[] = [
    { name: 'a repeated order', options: { repeated: true }, calls: [] },
    {
      name: 'an order that was not answered',
      options: { answers: [unanswered, started], lists: ['unknown'] },
      calls: ['start until 6000'],
    },
  ]

  // Guards against a copy of the order that a later incarnation of the worker carries out after the run has completed.
  it.each(starts)('is not started by $name', async ({ options, calls }) => {
    const subject = createSubject(options)
    subject.note('unknown')
    subject.start()
    await waitUntilQuiet(subject)
    subject.note('ended')
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.calls).toEqual(calls)
    expect(subject.rejections).toEqual([])
  })

  it.each(starts)('is started by $name once a list shows that it is absent', async (row) => {
    const subject = createSubject(row.options)
    subject.note('unknown')
    subject.start()
    await waitUntilQuiet(subject)
    subject.note('absent')
    await waitUntilQuiet(subject)
    subject.table.close()
    expect(subject.calls).toEqual([...row.calls, 'start until 6000'])
  })

  it('guards against a wait for the list of a worker that is not followed any more', async () => {
    const subject = createSubject({ lists: ['unknown'] })
    subject.table.stop(RUN)
    await waitUntilQuiet(subject)
    subject.table.close()
    subject.note('absent')
    await waitUntilQuiet(subject)
    expect(subject.rejections).toEqual([])
  })
})
