import * as protocol from '@ebonyweir/protocol'
import * as vitest from 'vitest'
import * as endMonitor from '../src/endMonitor.js'
import * as harnesses from './termHarness.js'

const { afterEach, beforeEach, describe, expect, it } = vitest
const { EndKind } = protocol.workflow

let harness: ReturnType<typeof harnesses.createTermHarness>

beforeEach(() => {
  harness = harnesses.createTermHarness()
})

afterEach(() => {
  harness.close()
})

const settle = (): Promise<unknown> => harness.pass(20)
const linesOf = (message: string) => harness.logs.filter((line) => line.message === message)

describe('log lines of run ends', () => {
  it('guards against ends that are dropped without a log line, and against unbounded lines', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    const strangers = Array.from({ length: 40 }, (_, index) => {
      return [index + 2, `x.0.0.${index}#1`, EndKind.LAPSED] as const
    })
    agent.report({ ended: [[1, 'j.0.0.0#3', EndKind.COMPLETED], ...strangers] })
    await settle()
    const [line] = linesOf('ends without a holder')
    expect(line).toMatchObject({ worker: 'w', count: 41 })
    const ends = line?.ends as readonly string[]
    expect(ends).toHaveLength(20)
    expect(ends[0]).toBe('j.0.0.0#3 COMPLETED, task assigned #1 at w@1')
    expect(ends[1]).toBe('x.0.0.0#1 LAPSED, task unknown')
  })

  it('guards against a pending commit without log lines: one after a second, one when it is over', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{}])
    await settle()
    harness.control.holds = true
    agent.report({ ended: [[1, 'j.0.0.0#1', EndKind.COMPLETED]] })
    await harness.pass(900)
    const message = 'acknowledgement of ends waits for a commit'
    expect(linesOf(message)).toEqual([])
    await harness.pass(1_000)
    expect(linesOf(message)).toMatchObject([{ worker: 'w', lastEnd: 1 }])
    harness.held[0]?.commit()
    await settle()
    expect(linesOf('slow commit of ends is over')).toHaveLength(1)
    expect(linesOf('runs ended')).toHaveLength(1)
  })

  it('guards against a job that fails without a log line of the attempts counted', async () => {
    const agent = harness.attach('w')
    agent.report()
    harness.submit('j', [{ taskCount: 2 }], 1)
    await settle()
    agent.report({
      ended: [
        [1, 'j.0.0.0#1', EndKind.FAILED],
        [2, 'j.0.0.1#1', EndKind.FAILED],
      ],
    })
    await settle()
    expect(linesOf('job failed')).toMatchObject([{ job: 'j', failures: 1, maxAttempts: 1 }])
  })
})

describe('counts of run ends', () => {
  it('guards against ends that are counted under a wrong kind', () => {
    const counter = endMonitor.createEndCounter()
    const run = harnesses.parseRun('j.0.0.0#1')
    counter.countCommitted([
      { run, kind: EndKind.LOST, checkpoint: '' },
      { run, kind: EndKind.COMPLETED, checkpoint: '' },
      { run, kind: EndKind.LOST, checkpoint: '' },
    ])
    counter.countWithoutHolder(3)
    expect(counter.committed).toMatchObject({ COMPLETED: 1, LOST: 2, FAILED: 0 })
    expect(counter.withoutHolder).toBe(3)
  })
})
