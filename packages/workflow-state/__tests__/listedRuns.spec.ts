import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as listedRuns from '../src/listedRuns.js'
import * as keys from '../src/keys.js'

const { describe, expect, it } = vitest
const { EndKind } = protocol.workflow

const RUN: protocol.workflow.TaskRun = { job: 'j', occurrence: 0, step: 0, index: 0, run: 1 }
const OTHER_RUN = { ...RUN, run: 2 }

const taskOf = (run: protocol.workflow.TaskRun): protocol.workflow.RunningTask =>
  protocol.workflow.RunningTask.fromPartial({ run })

const endOf = (run: protocol.workflow.TaskRun): protocol.workflow.ListedEnd => ({
  number: 1,
  end: { run, kind: EndKind.COMPLETED, checkpoint: '' },
})

const EMPTY: listedRuns.RunLists = { running: [], ended: [], hasMoreEnds: false }

describe('the state of a run by a list', () => {
  const cases: readonly {
    readonly name: string
    readonly lists: Partial<listedRuns.RunLists>
    readonly state: listedRuns.ListedState
  }[] = [
    { name: 'that is active', lists: { running: [taskOf(RUN)] }, state: 'running' },
    { name: 'that has ended', lists: { ended: [endOf(RUN)] }, state: 'ended' },
    { name: 'that is not listed', lists: {}, state: 'absent' },
    {
      name: 'of whose task another run is listed',
      lists: { running: [taskOf(OTHER_RUN)], ended: [endOf(OTHER_RUN)] },
      state: 'absent',
    },
    {
      name: 'that is not listed while the worker may hold more ends',
      lists: { ended: [endOf(OTHER_RUN)], hasMoreEnds: true },
      state: 'unknown',
    },
    {
      name: 'that is active while the worker may hold more ends',
      lists: { running: [taskOf(RUN)], hasMoreEnds: true },
      state: 'running',
    },
    {
      name: 'that has ended while the worker may hold more ends',
      lists: { ended: [endOf(RUN)], hasMoreEnds: true },
      state: 'ended',
    },
  ]

  it.each(cases)('$name is $state', ({ lists, state }) => {
    const listed = listedRuns.createListedRuns({ ...EMPTY, ...lists })
    expect(listed.stateOf(keys.runKey(RUN))).toBe(state)
  })

  it('is unknown before the first list', () => {
    expect(listedRuns.NO_LISTED_RUNS.stateOf(keys.runKey(RUN))).toBe('unknown')
  })
})
