// Installs dependencies if missing, builds, runs the tests and compares failures with KNOWN-RED.txt.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')
const filters = process.argv.slice(2)

const run = (command, args) =>
  childProcess.spawnSync(command, args, { cwd: root, stdio: 'inherit' }).status ?? 1

const runOrExit = (command, args) => {
  const status = run(command, args)
  if (status !== 0) process.exit(status)
}

// An entry starts with "test: FULL TEST NAME"; the indented lines below it describe the failure.
const readKnownFailures = () => {
  const file = path.join(root, 'KNOWN-RED.txt')
  if (!fs.existsSync(file)) return []
  return fs
    .readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim())
}

if (!fs.existsSync(path.join(root, 'node_modules'))) runOrExit('npm', ['ci', '--ignore-scripts'])
runOrExit('npx', ['tsc', '-b'])

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-test-'))
const outputFile = path.join(folder, 'results.json')
const vitestStatus = run('npx', [
  'vitest',
  'run',
  '--reporter=default',
  '--reporter=json',
  `--outputFile=${outputFile}`,
  ...filters,
])
if (!fs.existsSync(outputFile)) process.exit(vitestStatus || 1)
const report = JSON.parse(fs.readFileSync(outputFile, 'utf8'))
fs.rmSync(folder, { recursive: true })

const tests = report.testResults.flatMap((file) => file.assertionResults)
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName)
const brokenFiles = report.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
)
const knownFailures = readKnownFailures()
const unexpected = failed.filter((name) => !knownFailures.includes(name))
for (const name of failed.filter((name) => knownFailures.includes(name))) {
  console.log(`known failure, listed in KNOWN-RED.txt: ${name}`)
}
for (const name of knownFailures.filter((name) =>
  tests.some((t) => t.fullName === name && t.status === 'passed'),
)) {
  console.log(`listed in KNOWN-RED.txt but passed: ${name}`)
}
for (const name of unexpected) console.log(`failed: ${name}`)
for (const file of brokenFiles) console.log(`failed to load: ${file.name}`)
const passed = tests.filter((test) => test.status === 'passed').length
console.log(`${passed} passed, ${unexpected.length + brokenFiles.length} failed`)
const onlyKnownFailures = unexpected.length === 0 && brokenFiles.length === 0 && tests.length > 0
process.exit(onlyKnownFailures && (vitestStatus === 0 || failed.length > 0) ? 0 : 1)
