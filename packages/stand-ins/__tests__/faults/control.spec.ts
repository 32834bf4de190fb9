import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'
import type * as protocol from '@ebonyweir/protocol'
import * as support from './support.js'

const { describe, expect, test } = vitest
const { sleep, waitFor } = standIns.waiting

/** Longer than the leases of the leader, the configuration and the workers. */
const BEYOND_LEASES_MS = 15_000

const teamRule = (n: number): string =>
  `team.team-${n} = { cpuMillis = 1000, memoryMb = 1024 } # Operations, change ${n}`

type Replica = standIns.systemProcess.ControlProcess

/** Records the revision of the rules that a replica itself reports; nothing while it refuses. */
const recordRevision = async (system: support.System, replica: Replica): Promise<void> => {
  const askedMs = standIns.record.monotonicMs()
  try {
    const answer = await system.operator.request(replica.httpAddress, 'GET', '/v1/rules')
    if (answer.status !== 200) return
    const { revision } = answer.body as protocol.operatorApi.RulesAnswer
    system.recorder.record({ kind: 'revisionSeen', process: replica.name, revision, askedMs })
  } catch {
    // A replica that does not answer has no revision in force.
  }
}

describe('faults of control replicas', () => {
  interface Case {
    readonly name: string
    /** Starts the fault at the leader; returns a function that ends it. */
    readonly fault: (system: support.System, leader: Replica) => () => Promise<void> | void
  }
  const cases: readonly Case[] = [
    {
      name: 'the leader is killed and restarted',
      fault: (_system, leader) => {
        leader.process().signal('SIGKILL')
        return () => leader.restart()
      },
    },
    {
      name: 'the leader freezes and resumes',
      fault: (_system, leader) => {
        leader.process().signal('SIGSTOP')
        return () => {
          leader.process().signal('SIGCONT')
        }
      },
    },
    {
      name: 'the leader is partitioned in both directions, and held messages arrive late',
      fault: (system, leader) => {
        system.isolate(leader, 'hold')
        return () => {
          system.reconnect()
        }
      },
    },
    {
      name: 'the leader loses the state of every connection, both ways',
      fault: (system, leader) => {
        system.isolate(leader, 'drop')
        return () => {
          system.reconnect()
        }
      },
    },
    {
      name: 'the leader can send but receives nothing',
      fault: (system, leader) => {
        leader.grpcRelay.setMode({ action: 'drop', direction: 'toTarget' })
        leader.httpRelay.setMode({ action: 'drop', direction: 'toTarget' })
        for (const other of system.control.filter((c) => c !== leader)) {
          const clients = [leader.process().pid]
          other.grpcRelay.setMode({ action: 'drop', direction: 'toClient', clients })
        }
        return () => {
          system.reconnect()
        }
      },
    },
    {
      name: 'all open connections of the group become unresponsive while new ones work',
      fault: (system) => {
        for (const replica of system.control) {
          replica.grpcRelay.setMode({ action: 'drop', scope: 'old' })
          replica.httpRelay.setMode({ action: 'drop', scope: 'old' })
        }
        return () => undefined
      },
    },
  ]

  // Guards against two leaders, lost or reverted changes, and tasks that stop or run twice after a failover.
  test.each(cases)(
    '$name: changes go on, none reverts, tasks run once',
    async ({ fault }) => {
      const result = await support.runAndAudit({}, async (system) => {
        const workers = await support.startWorkers(system)
        await system.operator.submit({ job: 'fitting-long', tasks: 3, command: 'run=8000' })
        await support.waitForRunning(workers, 'fitting-long', 3)
        const leader = await system.leader()
        const end = fault(system, leader)
        const watch = setInterval(() => {
          for (const replica of system.control) void recordRevision(system, replica)
        }, 250)
        const startedMs = performance.now()
        for (let change = 1; performance.now() - startedMs < BEYOND_LEASES_MS; change++) {
          await system.operator.apply(support.rulesWith(teamRule(change)))
          await sleep(500)
        }
        await end()
        await system.operator.apply(support.rulesWith(teamRule(1000)))
        await support.waitForJob(system, 'fitting-long', 'completed', 90_000)
        await sleep(2000)
        clearInterval(watch)
        const members = await waitFor('the group to be repaired', async () => {
          const seen = await system.operator.members()
          return seen.repaired ? seen : undefined
        })
        expect(members.members).toHaveLength(3)
        expect((await system.operator.rules()).text).toContain('team.team-1000 ')
      })
      support.expectNoFindings(result, 'taskStarted', 'revisionAccepted', 'revisionSeen')
      expect(result.counts.taskStarted).toBe(3)
    },
    support.TEST_TIMEOUT_MS,
  )

  // Guards against acknowledging changes before they are synced to disk.
  test(
    'all replicas are killed at once and restarted: accepted changes are kept',
    async () => {
      const result = await support.runAndAudit({}, async (system) => {
        for (let change = 1; change <= 5; change++) {
          await system.operator.apply(support.rulesWith(teamRule(change)))
        }
        const before = await system.operator.rules()
        await Promise.all(system.control.map((replica) => replica.process().kill()))
        await Promise.all(system.control.map((replica) => replica.restart()))
        expect(await system.operator.rules()).toMatchObject({
          revision: before.revision,
          digest: before.digest,
          text: before.text,
        })
      })
      support.expectNoFindings(result, 'revisionAccepted', 'processExited')
    },
    support.TEST_TIMEOUT_MS,
  )

  // Guards against votes of a replica that lost its log, and a repair that does not restore redundancy.
  test(
    'a deleted data folder, a repair, and a second loss right after the repair',
    async () => {
      const result = await support.runAndAudit({}, async (system) => {
        const leader = await system.leader()
        const victim = system.control.find((c) => c !== leader)
        const other = system.control.find((c) => c !== leader && c !== victim)
        if (victim === undefined || other === undefined) throw new Error('three replicas expected')
        const lost = (await system.operator.members()).members.find(
          (m) => m.httpAddress === victim.httpRelay.address,
        )
        await victim.process().kill()
        victim.deleteData()
        await victim.restart()
        await system.operator.apply(support.rulesWith(teamRule(1)))
        await waitFor(
          'the loss to be detected',
          async () => !(await system.operator.members()).repaired || undefined,
        )
        await system.operator.replace(lost?.id ?? '', victim)
        await waitFor(
          'repaired',
          async () => (await system.operator.members()).repaired || undefined,
        )
        await leader.process().kill()
        const rules = await system.operator.rules()
        expect(rules.text).toContain('team.team-1 ')
        await system.operator.apply(support.rulesWith(teamRule(2)))
        const lostId = lost?.id ?? ''
        expect((await system.operator.members()).members.map((m) => m.id)).not.toContain(lostId)
      })
      support.expectNoFindings(result, 'revisionAccepted', 'processExited')
    },
    support.TEST_TIMEOUT_MS,
  )
})
