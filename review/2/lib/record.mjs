/** Record of a script: what was sent, answered and run, with the time since the start. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import { performance } from 'node:perf_hooks'

/** Creates `record.txt` in `folder`; each line has the time in seconds, the actor and what happened. */
export const createRecord = (folder) => {
  const file = path.join(folder, 'record.txt')
  const startMs = performance.now()
  fs.writeFileSync(file, '')
  return (actor, text) => {
    const seconds = ((performance.now() - startMs) / 1_000).toFixed(3).padStart(8)
    fs.appendFileSync(file, `${seconds} ${actor}: ${text}\n`)
  }
}
