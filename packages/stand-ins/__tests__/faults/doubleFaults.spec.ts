import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'
import * as support from './support.js'

const { describe, expect, test } = vitest
const { sleep } = standIns.waiting

describe('two faults at once', () => {
  interface Case {
    readonly name: string
    readonly fault: (
      system: support.System,
      workers: readonly standIns.systemProcess.StandIn[],
    ) => Promise<void>
  }
  const cases: readonly Case[] = [
    {
      name: 'the leader is cut off for longer than every lease and an agent is killed',
      fault: async (system) => {
        const leader = await system.leader()
        system.isolate(leader, 'hold')
        await system.agents[0]?.process().kill()
        await sleep(15_000)
        system.reconnect()
        await system.agents[0]?.restart()
      },
    },
    {
      name: 'the leader is killed and a worker freezes beyond its lease',
      fault: async (system, workers) => {
        const leader = await system.leader()
        await leader.process().kill()
        workers[0]?.process().signal('SIGSTOP')
        await sleep(17_000)
        workers[0]?.process().signal('SIGCONT')
        await leader.restart()
      },
    },
    {
      name: 'two replicas are killed, one after the other, and restarted',
      fault: async (system) => {
        const leader = await system.leader()
        const other = system.control.find((c) => c !== leader)
        await leader.process().kill()
        await other?.process().kill()
        await sleep(13_000)
        await leader.restart()
        await other?.restart()
      },
    },
    {
      name: 'an entry is killed and the connections to an agent become unresponsive',
      fault: async (system) => {
        system.agents[0]?.grpcRelay.setMode({ action: 'drop' })
        await system.entries[0]?.process().kill()
        await sleep(3000)
        system.reconnect()
        await system.entries[0]?.restart()
      },
    },
  ]

  // Guards against guarantees that hold only under a single fault.
  test.each(cases)(
    '$name: no rule is violated and all work completes',
    async ({ fault }) => {
      const result = await support.runAndAudit({ entries: 2, agents: 3 }, async (system) => {
        const workers = await support.startWorkers(system)
        await support.startEndpoints(system, { serviceTimeMs: 60 })
        await system.operator.submit({ job: 'fitting-long', tasks: 6, command: 'run=12000' })
        await support.waitForRunning(workers, 'fitting-long', 6)
        const caller = system.createCaller('counter', { giveUpMs: 8000 })
        const load = { service: 'desk', ratePerSecond: 15, durationMs: 20_000, timeoutMs: 2000 }
        const loads = Promise.all([caller.load({ ...load, keyed: true }), caller.load(load)])
        await sleep(1000)
        await fault(system, workers)
        await loads
        await support.waitForJob(system, 'fitting-long', 'completed', 90_000)
        await standIns.waiting.waitFor('answers', async () => {
          const answer = await caller.send({ service: 'desk', method: 'GET' })
          return answer.status === 200 || undefined
        })
        expect((await system.operator.status()).workers).toHaveLength(3)
      })
      support.expectNoFindings(result, 'taskStarted', 'executionStarted', 'processSignalled')
    },
    support.TEST_TIMEOUT_MS,
  )
})
