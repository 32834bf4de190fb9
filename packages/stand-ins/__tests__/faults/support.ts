/** Helpers of the fault tests: rules, test systems, and the audit of their records. */
import * as path from 'node:path'
import * as vitest from 'vitest'
import * as standIns from '@ebonyweir/stand-ins'

export type System = standIns.testSystem.TestSystem
export type AuditRules = readonly standIns.audit.AuditRule[]

const REPOSITORY = path.resolve(import.meta.dirname, '../../../..')

/** Time limit of one test; covers all deadlines within it. */
export const TEST_TIMEOUT_MS = 180_000

const SERVICE =
  'service.desk = { runners = 0, slots = 4, connections = 16, queue = 32, timeoutMs = 3000, targetMs = 100, objective = 0.99, cpuMillis = 100, memoryMb = 64 } # Maëlle Kerjean, counter desk'
const TEAM =
  'team.workshop = { cpuMillis = 96000, memoryMb = 393216, accelerators = 0, weight = 1 } # Yann Le Goff, workshop'

/** Rules of a small deployment, with additional lines. */
export const rulesWith = (...lines: readonly string[]): string =>
  `${[SERVICE, TEAM, ...lines].join('\n')}\n`

/** Rule line that takes a failure domain out. */
export const failureDomainOut = (failureDomain: string): string =>
  `failureDomain.${failureDomain} = { state = "out" } # Operations, ticket 4411`

/** Runs `body` on a new system, stops the system, and returns the audit of its records. */
export const runAndAudit = async (
  options: Partial<standIns.testSystem.TestSystemOptions>,
  body: (system: System) => Promise<void>,
  auditOptions?: standIns.audit.AuditOptions,
): Promise<standIns.audit.AuditResult> => {
  const system = await standIns.testSystem.createTestSystem({
    repository: REPOSITORY,
    rules: rulesWith(),
    ...options,
  })
  try {
    await body(system)
    return system.audit(auditOptions)
  } finally {
    await system.stop()
  }
}

/** Expects that the audit found no violation and checked records of each given kind. */
export const expectNoFindings = (
  result: standIns.audit.AuditResult,
  ...checkedKinds: readonly standIns.record.Observation['kind'][]
): void => {
  vitest.expect(result.findings).toEqual([])
  for (const kind of checkedKinds) vitest.expect(result.counts[kind] ?? 0, kind).toBeGreaterThan(0)
}

/** Starts one single-worker stand-in per failure domain. */
export const startWorkers = (
  system: System,
  flags: standIns.systemProcess.StandInFlags = {},
): Promise<readonly standIns.systemProcess.StandIn[]> =>
  Promise.all(
    system.failureDomains.map((failureDomain) =>
      system.startWorkers(`worker-${failureDomain}`, { failureDomain, ...flags }),
    ),
  )

/** Status of a stand-in that hosts one worker. */
export const statusOf = async (
  worker: standIns.systemProcess.StandIn,
): Promise<standIns.fakeWorker.WorkerStatus> => {
  const all = (await worker.request(
    'GET',
    '/status',
  )) as readonly standIns.fakeWorker.WorkerStatus[]
  const first = all[0]
  if (first === undefined) throw new Error('the stand-in hosts no worker')
  return first
}

/** Waits until the workers run at least `count` tasks of a job. */
export const waitForRunning = (
  workers: readonly standIns.systemProcess.StandIn[],
  job: string,
  count: number,
): Promise<boolean> =>
  standIns.waiting.waitFor(
    `${count} running tasks of ${job}`,
    async () => {
      const running = (await Promise.all(workers.map(statusOf))).flatMap((s) => s.running)
      return running.filter((t) => t.task.startsWith(`${job}/`)).length >= count || undefined
    },
    60_000,
  )

/** Waits until a job reaches a state. */
export const waitForJob = (
  system: System,
  job: string,
  state: string,
  deadlineMs = 60_000,
): Promise<boolean> =>
  standIns.waiting.waitFor(
    `${job} ${state}`,
    async () => (await system.operator.job(job)).state === state || undefined,
    deadlineMs,
  )

/** Starts an endpoint for each agent and waits until every entry answers requests. */
export const startEndpoints = async (
  system: System,
  flags: standIns.systemProcess.StandInFlags = {},
): Promise<readonly standIns.systemProcess.StandIn[]> => {
  const endpoints = await Promise.all(
    system.agents.map((agent, i) =>
      system.startEndpoint(`endpoint-${i}`, agent, { service: 'desk', slots: 4, ...flags }),
    ),
  )
  const probe = system.createCaller('probe', { connections: 4, giveUpMs: 5000 })
  for (const entry of system.entries) {
    await standIns.waiting.waitFor(`answers at ${entry.name}`, async () => {
      const answers = await Promise.all(
        endpoints.map(() =>
          probe.send({ service: 'desk', method: 'GET', entry: entry.httpAddress }),
        ),
      )
      return answers.every((answer) => answer.status === 200) || undefined
    })
  }
  return endpoints
}
