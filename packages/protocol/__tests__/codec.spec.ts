import * as vitest from 'vitest'
import * as protocol from '@ebonyweir/protocol'

const { describe, expect, test } = vitest

describe('protocol codec', () => {
  const cases: readonly (readonly [string, protocol.command.Command])[] = [
    [
      'a rule change',
      {
        nowMs: 1_700_000_000_000,
        body: {
          $case: 'applyRules',
          value: { expectedRevision: 41, operator: 'Yann Le Goff', text: 'team.a = {} # Yann' },
        },
      },
    ],
    [
      'a batch of task ends',
      {
        nowMs: 0,
        body: {
          $case: 'endTasks',
          value: {
            ends: [
              {
                task: 'fit-1/0',
                attempt: 2,
                outcome: protocol.command.TaskOutcome.EVICTED,
                checkpoint: 'cp-7',
                reason: '',
              },
            ],
          },
        },
      },
    ],
  ]

  // Guards against a field that the generated codec drops.
  test.each(cases)('keeps every field of %s', (_name, command) => {
    const bytes = protocol.command.Command.encode(command).finish()
    expect(protocol.command.Command.decode(bytes)).toEqual(command)
  })
})
