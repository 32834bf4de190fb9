import type * as telemetry from '@ebonyweir/telemetry/logger'
import * as vitest from 'vitest'
import * as attachTraces from '../src/attachTrace.js'

const { describe, expect, it } = vitest

/** Trace with a manual clock that records log lines and metrics. */
const createSubject = () => {
  let nowMs = 0
  const lines: (readonly [message: string, fields?: telemetry.LogFields])[] = []
  const counted: string[] = []
  const write = (message: string, fields?: telemetry.LogFields): void => {
    lines.push([message, fields])
  }
  const trace = attachTraces.createAttachTrace({
    logger: { debug: () => undefined, info: write, warn: write, error: write },
    nowMs: () => nowMs,
    metrics: {
      recordAttempt: (outcome, stage) => counted.push(`${outcome}, ${stage}`),
      recordAttached: (searchMs) => counted.push(`attached after ${searchMs} ms`),
    },
  })
  const attempt = (address: string, stage: attachTraces.AttachStage): attachTraces.Attempt => ({
    address,
    startedMs: nowMs - 100,
    stage,
  })
  return {
    trace,
    lines,
    counted,
    attempt,
    wait: (ms: number) => {
      nowMs += ms
    },
  }
}

describe('trace of attempts to attach', () => {
  it('guards against failed attempts that are neither logged nor counted', () => {
    const { trace, lines, counted, attempt, wait } = createSubject()
    wait(300)
    trace.recordEnded(attempt('a', 'connecting'), 'silent', 'no answer')
    trace.recordEnded(
      attempt('b', 'waiting for orders'),
      'redirected',
      'the replica is not the leader',
    )
    wait(100)
    trace.recordAttached(attempt('c', 'waiting for orders'), 4)
    expect(counted).toEqual([
      'silent, connecting',
      'redirected, waiting for orders',
      'attached, waiting for orders',
      'attached after 400 ms',
    ])
    const listed = [
      'a silent after 100 ms, connecting',
      'b redirected after 100 ms, waiting for orders',
      'c attached after 100 ms, waiting for orders',
    ]
    expect(lines).toEqual([
      ['attached to the leader', { address: 'c', fence: 4, searchMs: 400, attempts: 3, listed }],
    ])
  })

  it('guards against a log that grows with the number of attempts', () => {
    const { trace, lines, attempt, wait } = createSubject()
    trace.recordAttached(attempt('a', 'waiting for orders'), 1)
    trace.recordDetached('a', 'silent')
    for (let round = 0; round < 250; round += 1) {
      wait(100)
      trace.recordEnded(attempt('a', 'connecting'), 'silent', 'no answer')
      trace.reportLongSearch()
    }
    expect(lines.map(([message]) => message)).toEqual([
      'attached to the leader',
      'detached from the leader',
      'no leader found yet',
      'no leader found yet',
    ])
    const { attempts, listed } = lines.at(-1)?.[1] ?? {}
    expect(attempts).toBe(200)
    expect(listed).toHaveLength(12)
  })
})
