// Updates the recorded answers of the golden sessions; the changes are reviewed like code.
import * as childProcess from 'node:child_process'
import * as path from 'node:path'

const run = childProcess.spawnSync('npx', ['vitest', 'run', 'golden'], {
  cwd: path.resolve(import.meta.dirname, '..'),
  stdio: 'inherit',
  env: { ...process.env, EBONYWEIR_GOLDEN_UPDATE: '1' },
})
process.exit(run.status ?? 1)
