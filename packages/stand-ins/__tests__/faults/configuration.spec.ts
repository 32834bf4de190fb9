import * as vitest from 'vitest'
import * as undici from 'undici'
import * as standIns from '@ebonyweir/stand-ins'
import * as support from './support.js'

const { describe, expect, test } = vitest
const { sleep } = standIns.waiting

/** Records the revision that an entry has in force according to its metrics; nothing while it is not ready. */
const recordRevision = async (
  system: support.System,
  entry: standIns.systemProcess.DaemonProcess,
): Promise<void> => {
  const askedMs = standIns.record.monotonicMs()
  const get = async (route: string) => {
    const signal = AbortSignal.timeout(1000)
    const response = await undici.request(`http://${entry.httpAddress}${route}`, { signal })
    return { status: response.statusCode, text: await response.body.text() }
  }
  try {
    const metrics = await get('/metrics')
    const ready = await get('/readyz')
    if (ready.status !== 200) return
    const revision = Number(/^ebonyweir_entry_revision (\d+)/m.exec(metrics.text)?.[1] ?? 0)
    system.recorder.record({ kind: 'revisionSeen', process: entry.name, revision, askedMs })
  } catch {
    // A process that is down or frozen has no revision in force.
  }
}

describe('configuration under faults', () => {
  interface Case {
    readonly name: string
    readonly fault: (system: support.System) => Promise<void>
    /** True if requests are refused at the end, after the configuration lease has expired. */
    readonly refuses: boolean
  }
  const cases: readonly Case[] = [
    {
      name: 'an entry and an agent freeze during the change and resume',
      refuses: false,
      fault: async (system) => {
        const frozen = [system.entries[0], system.agents[0]]
        for (const each of frozen) each?.process().signal('SIGSTOP')
        await sleep(500)
        await system.operator.apply(support.rulesWith(support.failureDomainOut('rennes')))
        await sleep(6000)
        for (const each of frozen) each?.process().signal('SIGCONT')
      },
    },
    {
      name: 'an entry and an agent are restarted during the change',
      refuses: false,
      fault: async (system) => {
        await system.operator.apply(support.rulesWith(support.failureDomainOut('rennes')))
        for (const each of [system.entries[0], system.agents[0]]) {
          await each?.process().kill()
          await each?.restart()
        }
      },
    },
    {
      name: 'the leader is cut off from the group but not from other processes',
      refuses: false,
      fault: async (system) => {
        const leader = await system.leader()
        leader.grpcRelay.setMode({
          action: 'drop',
          clients: system.control.filter((c) => c !== leader).map((c) => c.process().pid),
        })
        for (const other of system.control.filter((c) => c !== leader)) {
          other.grpcRelay.setMode({ action: 'drop', clients: [leader.process().pid] })
        }
        await system.operator.apply(support.rulesWith(support.failureDomainOut('rennes')))
      },
    },
    {
      name: 'the majority of the group is lost',
      refuses: true,
      fault: async (system) => {
        await system.operator.apply(support.rulesWith(support.failureDomainOut('rennes')))
        const leader = await system.leader()
        for (const replica of system.control.filter((c) => c !== leader)) {
          await replica.process().kill()
        }
      },
    },
  ]

  // Guards against a process that uses an outdated configuration or reverts to one.
  test.each(cases)(
    '$name: in force everywhere within 5 s, never reverted',
    async ({ fault, refuses }) => {
      const result = await support.runAndAudit({ entries: 2, agents: 3 }, async (system) => {
        await support.startEndpoints(system)
        const caller = system.createCaller('counter', { giveUpMs: 5000 })
        const watch = setInterval(() => {
          for (const entry of system.entries) void recordRevision(system, entry)
        }, 250)
        const load = { service: 'desk', durationMs: 16_000, timeoutMs: 1000 }
        const loads = Promise.all([
          caller.load({ ...load, ratePerSecond: 20 }),
          caller.load({ ...load, ratePerSecond: 20, method: 'GET' }),
        ])
        await sleep(2000)
        await fault(system)
        await loads
        clearInterval(watch)
        const last = await caller.send({ service: 'desk', method: 'GET' })
        expect(last.outcome).toBe(refuses ? 'not-run' : 'answered')
      })
      support.expectNoFindings(result, 'revisionAccepted', 'revisionSeen', 'executionStarted')
    },
    support.TEST_TIMEOUT_MS,
  )
})
