// Installs if needed, builds, runs the tests, and compares the failures with KNOWN-RED.txt.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')
const filters = process.argv.slice(2)

const run = (command, args) =>
  childProcess.spawnSync(command, args, { cwd: root, stdio: 'inherit' }).status ?? 1

const must = (command, args) => {
  const status = run(command, args)
  if (status !== 0) process.exit(status)
}

// Entries start with "test: <full test name>"; indented lines below describe the case.
const readKnownRed = () => {
  const file = path.join(root, 'KNOWN-RED.txt')
  if (!fs.existsSync(file)) return []
  return fs
    .readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim())
}

if (!fs.existsSync(path.join(root, 'node_modules'))) must('npm', ['ci', '--ignore-scripts'])
must('npx', ['tsc', '-b'])

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
const knownRed = readKnownRed()
const unexpected = failed.filter((name) => !knownRed.includes(name))
for (const name of failed.filter((name) => knownRed.includes(name))) {
  console.log(`known red, listed in KNOWN-RED.txt: ${name}`)
}
for (const name of knownRed.filter((name) =>
  tests.some((t) => t.fullName === name && t.status === 'passed'),
)) {
  console.log(`listed in KNOWN-RED.txt but passed: ${name}`)
}
for (const name of unexpected) console.log(`failed: ${name}`)
for (const file of brokenFiles) console.log(`did not load: ${file.name}`)
const passed = tests.filter((test) => test.status === 'passed').length
console.log(`${passed} passed, ${unexpected.length + brokenFiles.length} failed`)
const allKnown = unexpected.length === 0 && brokenFiles.length === 0 && tests.length > 0
process.exit(allKnown && (vitestStatus === 0 || failed.length > 0) ? 0 : 1)
