import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'
import * as support from './support.js'

const { describe, expect, test } = vitest
const { sleep } = standIns.waiting

describe('failure domains that leave', () => {
  interface Case {
    readonly name: string
    readonly alongside?: (system: support.System) => Promise<void>
  }
  const cases: readonly Case[] = [
    { name: 'a failure domain leaves and returns' },
    {
      name: 'the leader is killed as a failure domain leaves',
      alongside: async (system) => {
        await (await system.leader()).process().kill()
      },
    },
  ]

  // Guards against starts in a failure domain that is out, and tasks that restart without their checkpoints.
  test.each(cases)(
    '$name: tasks move with their checkpoints and none starts there',
    async ({ alongside }) => {
      const result = await support.runAndAudit({}, async (system) => {
        const workers = await support.startWorkers(system)
        const job = { job: 'fitting-move', tasks: 9, command: 'run=12000', declaredRunMs: 12_000 }
        await system.operator.submit(job)
        await support.waitForRunning(workers, 'fitting-move', 9)
        await sleep(1500)
        await system.operator.apply(support.rulesWith(support.failureDomainOut('brest')))
        await alongside?.(system)
        // Waits for longer than the grace period, since only later starts there are findings.
        await sleep(3500)
        await system.operator.submit({ job: 'fitting-new', tasks: 9, command: 'run=2000' })
        await standIns.waiting.waitFor('brest to be empty', async () => {
          const { failureDomains } = await system.operator.status()
          const brest = failureDomains.find((f) => f.failureDomain === 'brest')
          return (brest?.state === 'out' && brest.runningTasks === 0) || undefined
        })
        await support.waitForJob(system, 'fitting-move', 'completed', 90_000)
        await support.waitForJob(system, 'fitting-new', 'completed', 90_000)
        await system.operator.apply(support.rulesWith())
        await system.operator.submit({ job: 'fitting-back', tasks: 30, command: 'run=1000' })
        await support.waitForJob(system, 'fitting-back', 'completed', 90_000)
      })
      support.expectNoFindings(result, 'taskStarted', 'failureDomainChanged', 'endAcknowledged')
    },
    support.TEST_TIMEOUT_MS,
  )

  interface LateCase {
    readonly name: string
    readonly holdMs: number
    readonly guardsOff: string
    readonly expected: support.AuditRules
  }
  const lateCases: readonly LateCase[] = [
    {
      name: 'a start that arrives a minute late is not carried out',
      holdMs: 60_000,
      guardsOff: '',
      expected: [],
    },
    {
      name: 'a worker that accepts late starts: the audit reports the start',
      holdMs: 8_000,
      guardsOff: 'startValidity',
      expected: ['start in a failure domain that is out'],
    },
  ]

  // Guards against a start that was sent before a failure domain was taken out and arrives afterwards.
  test.each(lateCases)(
    '$name',
    async ({ holdMs, guardsOff, expected }) => {
      const result = await support.runAndAudit({}, async (system) => {
        const flags = { guardsOff, syncTimeoutMs: 120_000, failureDomain: 'brest' }
        const worker = await system.startWorkers('worker-late', flags)
        await standIns.waiting.waitFor(
          'a lease',
          async () => (await support.statusOf(worker)).leaseLeftMs > 0 || undefined,
        )
        const clients = [worker.process().pid]
        for (const replica of system.control) {
          replica.httpRelay.setMode({ action: 'hold', direction: 'toClient', clients })
        }
        await system.operator.submit({ job: 'fitting-late', command: 'run=500' })
        await standIns.waiting.waitFor('the assignment', async () => {
          const { taskStates } = await system.operator.job('fitting-late')
          return taskStates[0]?.worker === 'worker-late' || undefined
        })
        await sleep(2000)
        await system.operator.apply(support.rulesWith(support.failureDomainOut('brest')))
        await sleep(holdMs)
        system.reconnect()
        await standIns.waiting.waitFor(
          'a new lease',
          async () => (await support.statusOf(worker)).leaseLeftMs > 5000 || undefined,
        )
      })
      expect([...new Set(result.findings.map((f) => f.rule))]).toEqual(expected)
      const handledStartCount = (result.counts.replyIgnored ?? 0) + (result.counts.taskStarted ?? 0)
      expect(handledStartCount).toBeGreaterThan(0)
    },
    support.TEST_TIMEOUT_MS,
  )
})
