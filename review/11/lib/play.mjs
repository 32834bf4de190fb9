// Frame of a case: record, time limit, clean-up and exit status.
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as timers from 'node:timers'
import * as timersPromises from 'node:timers/promises'
import * as url from 'node:url'
import * as systems from './system.mjs'
import * as users from './users.mjs'
import * as workers from './worker.mjs'

const LIMIT_MS = 115_000

/** Thrown where the case could not run, which says nothing about the rule. */
export class CannotRun extends Error {}

export const waitUntil = async (what, check, timeoutMs) => {
  const endMs = performance.now() + timeoutMs
  while (!(await check())) {
    if (performance.now() > endMs) throw new CannotRun(`not reached in ${timeoutMs} ms: ${what}`)
    await timersPromises.setTimeout(10)
  }
}

/**
 * Plays a case: starts the system with its stand-ins, calls `body`, which returns the broken rules, and exits with 1 if there
 * are some, 0 if there are none, 2 if the case could not run.
 */
export const play = async (moduleUrl, options, body) => {
  const folder = path.dirname(url.fileURLToPath(moduleUrl))
  const lines = []
  const startMs = performance.now()
  const record = (text) =>
    lines.push(`${((performance.now() - startMs) / 1_000).toFixed(3).padStart(8)} ${text}`)
  const file = path.join(folder, 'record.txt')
  let system
  const standIns = []

  const finish = async (status) => {
    timers.clearTimeout(limit)
    for (const worker of standIns) worker.close()
    fs.writeFileSync(file, `${lines.join('\n')}\n`)
    await system?.close()
    process.exit(status)
  }
  const limit = timers.setTimeout(() => {
    record('the time limit was reached')
    system?.killAll()
    fs.writeFileSync(file, `${lines.join('\n')}\n`)
    process.exit(2)
  }, LIMIT_MS)
  process.once('SIGTERM', () => void finish(2))
  process.once('SIGINT', () => void finish(2))

  try {
    system = await systems.createSystem(options.system)
    const gangs = new Map()
    for (const [index, name] of system.agents.entries()) {
      const machine = system.machines.get(name)
      const worker = workers.createWorker({
        id: `i-${index + 1}f3a91c${index + 1}`,
        address: machine.fields.app,
        agentAddress: machine.address,
        zone: machine.zone,
        rack: `r1-${index + 1}`,
        gangs,
        record,
        ...(typeof options.worker === 'function' ? options.worker(index) : options.worker),
      })
      standIns.push(worker)
      await worker.listen()
    }
    const addressesOf = (names) => names.map((name) => system.machines.get(name).address)
    const client = users.createClient({ entries: addressesOf(system.entries), record })
    const operator = users.createOperator({ controls: addressesOf(system.controls), record })
    system.startAll()
    for (const worker of standIns) worker.begin()
    const configured = await operator.configure(
      users.configurationOf(1, options.configuration),
      30_000,
    )
    if (configured.status !== 200)
      throw new CannotRun('the first configuration was not acknowledged')
    await waitUntil(
      'entries are ready',
      async () => {
        const answers = await Promise.all(
          system.entries.map((name) =>
            users.call({
              address: system.machines.get(name).fields.Listen.Readiness,
              method: 'GET',
              path: '/-/readyz',
              timeoutMs: 500,
            }),
          ),
        )
        return answers.every(({ status }) => status === 200)
      },
      15_000,
    )
    const broken = await body({ system, workers: standIns, client, operator, record, addressesOf })
    for (const text of broken) record(`BROKEN ${text}`)
    for (const text of broken.slice(0, 10)) process.stdout.write(`${text}\n`)
    const result =
      broken.length > 0 ? `the rule was broken ${broken.length} times` : 'the rule held'
    record(result)
    process.stdout.write(`${result}\n`)
    await finish(broken.length > 0 ? 1 : 0)
  } catch (error) {
    const detail = error instanceof CannotRun ? error.message : (error.stack ?? String(error))
    record(`could not run: ${detail}`)
    process.stdout.write(`could not run: ${detail}\n`)
    await finish(2)
  }
}
