import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'
import * as observations from './observations.js'

const { describe, expect, test } = vitest
const {
  up,
  start,
  stop,
  acknowledged,
  signal,
  exited,
  sent,
  answered,
  notRun,
  broken,
  ran,
  domain,
  leaving,
  accepted,
  seen,
  stamped,
} = observations

interface Case {
  readonly name: string
  readonly entries: readonly observations.TimedObservation[]
  readonly options?: standIns.audit.AuditOptions
  readonly expected: readonly standIns.audit.AuditRule[]
}

const taskCases: readonly Case[] = [
  {
    name: 'consecutive runs on two workers',
    entries: [
      [0, 1, up('w1')],
      [0, 2, up('w2')],
      [1, 1, start('w1', 't', 1)],
      [9, 1, stop('w1', 't', 1, 9)],
      [10, 2, start('w2', 't', 2)],
    ],
    expected: [],
  },
  {
    name: 'overlapping runs on two workers',
    entries: [
      [0, 1, up('w1')],
      [0, 2, up('w2')],
      [1, 1, start('w1', 't', 1)],
      [5, 2, start('w2', 't', 2)],
      [9, 1, stop('w1', 't', 1, 9)],
    ],
    expected: ['task in two places'],
  },
  {
    name: 'a worker that freezes and stops the task before doing further work',
    entries: [
      [0, 1, up('w1')],
      [0, 2, up('w2')],
      [1, 1, start('w1', 't', 1)],
      [2, 9, signal(1, 'SIGSTOP')],
      [15_000, 2, start('w2', 't', 2)],
      [20_000, 1, stop('w1', 't', 1, 2)],
    ],
    expected: [],
  },
  {
    name: 'a worker that freezes and does further work before it stops the task',
    entries: [
      [0, 1, up('w1')],
      [0, 2, up('w2')],
      [1, 1, start('w1', 't', 1)],
      [2, 9, signal(1, 'SIGSTOP')],
      [15_000, 2, start('w2', 't', 2)],
      [19_999, 9, signal(1, 'SIGCONT')],
      [20_000, 1, stop('w1', 't', 1, 20_000)],
    ],
    expected: ['task in two places'],
  },
  {
    name: 'a killed worker',
    entries: [
      [0, 1, up('w1')],
      [0, 2, up('w2')],
      [1, 1, start('w1', 't', 1)],
      [4, 9, exited(1)],
      [5, 2, start('w2', 't', 2)],
    ],
    expected: [],
  },
  {
    name: 'one attempt on two workers',
    entries: [
      [0, 1, up('w1')],
      [0, 2, up('w2')],
      [1, 1, start('w1', 't', 1)],
      [4, 9, exited(1)],
      [5, 2, start('w2', 't', 1)],
    ],
    expected: ['attempt order'],
  },
  {
    name: 'a completed task that runs again',
    entries: [
      [0, 1, up('w1')],
      [1, 1, start('w1', 't', 1)],
      [2, 1, stop('w1', 't', 1, 2, 'completed')],
      [3, 1, acknowledged('w1', 't', 1)],
      [4, 1, start('w1', 't', 2)],
    ],
    expected: ['completed again'],
  },
  {
    name: 'an evicted task that resumes from its checkpoint',
    entries: [
      [0, 1, up('w1')],
      [1, 1, start('w1', 't', 1)],
      [2, 1, stop('w1', 't', 1, 2, 'evicted', 'cp:t:1:5')],
      [3, 1, acknowledged('w1', 't', 1)],
      [4, 1, start('w1', 't', 2, 'cp:t:1:5')],
    ],
    expected: [],
  },
  {
    name: 'an evicted task that starts without its checkpoint',
    entries: [
      [0, 1, up('w1')],
      [1, 1, start('w1', 't', 1)],
      [2, 1, stop('w1', 't', 1, 2, 'evicted', 'cp:t:1:5')],
      [3, 1, acknowledged('w1', 't', 1)],
      [4, 1, start('w1', 't', 2)],
    ],
    expected: ['checkpoint'],
  },
  {
    name: 'a lost attempt whose end is reported after the next one started',
    entries: [
      [0, 1, up('w1')],
      [0, 2, up('w2')],
      [1, 1, start('w1', 't', 1)],
      [2, 9, signal(1, 'SIGSTOP')],
      [15_000, 2, start('w2', 't', 2)],
      [20_000, 1, stop('w1', 't', 1, 2, 'evicted', 'cp:t:1:5')],
      [20_001, 1, acknowledged('w1', 't', 1)],
    ],
    expected: [],
  },
  {
    name: 'a partitioned worker whose end arrives after its attempt was abandoned',
    entries: [
      [0, 1, up('w1')],
      [0, 2, up('w2')],
      [1, 1, start('w1', 't', 1)],
      [10_000, 1, stop('w1', 't', 1, 10_000, 'evicted', 'cp:t:1:5')],
      [12_500, 2, start('w2', 't', 2)],
      [18_000, 1, acknowledged('w1', 't', 1)],
    ],
    expected: [],
  },
  {
    name: 'more CPU than the worker has',
    entries: [
      [0, 1, up('w1', 1500)],
      [1, 1, start('w1', 't1', 1)],
      [2, 1, start('w1', 't2', 1)],
    ],
    expected: ['capacity'],
  },
  {
    name: 'starts within the grace period, during and after an outage',
    entries: [
      [0, 1, up('w1')],
      [0, 9, domain('out')],
      [2000, 1, start('w1', 't1', 1)],
      [3500, 1, start('w1', 't2', 1)],
      [4000, 9, domain('in')],
      [4500, 1, start('w1', 't3', 1)],
    ],
    expected: ['start in a failure domain that is out'],
  },
]

const requestCases: readonly Case[] = [
  {
    name: 'a request that ran once',
    entries: [
      [0, 1, sent('r', 1)],
      [1, 2, ran('r')],
      [2, 1, answered('r', 1)],
    ],
    expected: [],
  },
  {
    name: 'a non-idempotent request that ran twice',
    entries: [
      [0, 1, sent('r', 1)],
      [1, 2, ran('r')],
      [2, 3, ran('r', 'q')],
    ],
    expected: ['ran more than once'],
  },
  {
    name: 'an idempotent request that ran twice',
    entries: [
      [0, 1, sent('r', 1, true)],
      [1, 2, ran('r')],
      [2, 3, ran('r', 'q')],
    ],
    expected: [],
  },
  {
    name: 'a request that executes after it was refused as not run',
    entries: [
      [0, 1, sent('r', 1)],
      [1, 1, answered('r', 1, notRun)],
      [2, 2, ran('r')],
    ],
    expected: ['ran after not run'],
  },
  {
    name: 'an idempotent request that ran and was refused as not run',
    entries: [
      [0, 1, sent('r', 1, true)],
      [1, 2, ran('r')],
      [2, 1, answered('r', 1, notRun)],
    ],
    expected: ['ran after not run'],
  },
  {
    name: 'a resend that executes after a refusal',
    entries: [
      [0, 1, sent('r', 1)],
      [1, 1, answered('r', 1, notRun)],
      [2, 1, sent('r', 2)],
      [3, 2, ran('r')],
    ],
    expected: [],
  },
  {
    name: 'a truncated body that is executed',
    entries: [
      [0, 1, sent('r', 1)],
      [1, 1, broken('r', 'body cut by the caller', true)],
      [2, 2, ran('r')],
    ],
    expected: ['cut body reached an endpoint'],
  },
  {
    name: 'an answer to another request, and a truncated answer',
    entries: [
      [0, 1, sent('r', 1)],
      [1, 2, ran('r')],
      [2, 1, answered('r', 1, { matched: false })],
      [3, 1, sent('s', 1)],
      [4, 2, ran('s')],
      [5, 1, answered('s', 1, { whole: false })],
    ],
    expected: ['answer not whole or not matched', 'answer not whole or not matched'],
  },
  {
    name: 'an answer without an execution',
    entries: [
      [0, 1, sent('r', 1)],
      [1, 1, answered('r', 1)],
    ],
    expected: ['answer without execution'],
  },
  {
    name: 'more requests than slots, more connections than allowed',
    entries: [
      [0, 1, { kind: 'limits', endpoint: 'p', slots: 2, connections: 3 }],
      [1, 1, { kind: 'concurrency', endpoint: 'p', running: 3 }],
      [2, 1, { kind: 'connectionsOpen', endpoint: 'p', open: 4 }],
    ],
    expected: ['endpoint limits', 'endpoint limits'],
  },
  {
    name: 'requests after an announced leave',
    entries: [
      [0, 2, leaving(true)],
      [900, 2, ran('r')],
      [1100, 2, ran('s')],
    ],
    expected: ['work at a leaving endpoint'],
  },
  {
    name: 'requests after a leave whose announcement was lost',
    entries: [
      [0, 2, leaving(false)],
      [2900, 2, ran('r')],
      [3100, 2, ran('s')],
    ],
    expected: ['work at a leaving endpoint'],
  },
  {
    name: 'requests in a failure domain that is out',
    entries: [
      [0, 9, domain('out')],
      [4000, 2, ran('r')],
      [5001, 2, ran('s')],
    ],
    expected: ['execution in a failure domain that is out'],
  },
  {
    name: 'a graceful shutdown that cuts a request',
    entries: [
      [0, 1, sent('r', 1)],
      [1, 1, broken('r', 'ECONNRESET', false)],
    ],
    options: { gracefulOnly: true },
    expected: ['cut by a graceful shutdown'],
  },
]

const revisionCases: readonly Case[] = [
  {
    name: 'a revision that arrives in time',
    entries: [
      [0, 9, accepted(1)],
      [100, 9, seen(1, 90)],
      [200, 9, accepted(2)],
      [4000, 9, seen(1, 3900)],
      [5300, 9, seen(2, 5250)],
    ],
    expected: [],
  },
  {
    name: 'a revision that goes back',
    entries: [
      [0, 9, accepted(1)],
      [100, 9, accepted(2)],
      [200, 9, seen(2, 190)],
      [300, 9, seen(1, 290)],
    ],
    expected: ['revision went back'],
  },
  {
    name: 'a revision that is in force too late',
    entries: [
      [0, 9, accepted(1)],
      [100, 9, accepted(2)],
      [5200, 9, seen(1, 5190)],
    ],
    expected: ['revision went back'],
  },
  {
    name: 'no configuration in force',
    entries: [
      [0, 9, accepted(1)],
      [9000, 9, seen(0, 8990)],
    ],
    expected: [],
  },
  {
    name: 'two operators whose changes were both accepted',
    entries: [
      [0, 9, accepted(1, 'x')],
      [1, 9, accepted(1, 'y')],
    ],
    expected: ['two changes under one revision'],
  },
]

describe('audit', () => {
  // Guards against missed violations and false findings.
  test.each([...taskCases, ...requestCases, ...revisionCases])(
    '$name',
    ({ entries, options, expected }) => {
      const result = standIns.audit.audit(stamped(entries), options)
      expect(result.findings.map((finding) => finding.rule)).toEqual(expected)
    },
  )
})
