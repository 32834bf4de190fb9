/** Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import * as calls from './http.mjs'
import * as records from './record.mjs'
import * as systems from './system.mjs'

const LIMIT_MS = 115_000

/** The case could not be run as described. */
export class CannotRun extends Error {}

/**
 * @param options `folder` of the case, `system` options, and `play`, which resolves to the list of broken promises
 */
export const runCase = async ({ folder, options, play }) => {
  const record = records.createRecord(folder)
  const trouble = process.env.TROUBLE !== '0'
  record('case', trouble ? 'with the disruption' : 'without the disruption')
  let system
  let status = 2
  try {
    system = await systems.createSystem({ record, ...options })
    const current = system
    const timeout = calls.sleep(LIMIT_MS).then(() => {
      throw new CannotRun(`not over after ${LIMIT_MS} ms`)
    })
    const problems = await Promise.race([play({ system: current, record, trouble }), timeout])
    for (const problem of problems) record('case', `BROKEN ${problem}`)
    status = problems.length > 0 ? 1 : 0
  } catch (error) {
    record('case', `could not run: ${error instanceof Error ? error.stack : String(error)}`)
  }
  await system?.close()
  record('case', `exit status ${status}`)
  process.exit(status)
}

export const require = (condition, what) => {
  if (!condition) throw new CannotRun(what)
}
