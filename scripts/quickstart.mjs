// Starts a small system on loopback, demonstrates it and stops it: npm run quickstart [-- --keep]
import * as perfHooks from 'node:perf_hooks'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as util from 'node:util'
import * as processes from './quickstart/processes.mjs'
import * as systems from './quickstart/system.mjs'

const ROOT = path.resolve(import.meta.dirname, '..')
const CLI_FILE = path.join(ROOT, 'packages/cli/dist/bin.js')
const QUOTES_DURING_DRAIN = 20
const { values: options } = util.parseArgs({ options: { keep: { type: 'boolean' } } })

const print = (text) => process.stdout.write(`${text}\n`)
const printTitle = (text) => print(`\n== ${text}`)
const printIndented = (text) => print(text.trimEnd().replace(/^(?=.)/gmu, '   '))

/** Runs a program with its output on this terminal; throws if it fails. */
const runOrThrow = (command, args) => {
  const { status } = childProcess.spawnSync(command, args, { cwd: ROOT, stdio: 'inherit' })
  if (status !== 0) throw new Error(`${command} ${args.join(' ')} exited with ${status}`)
}

const runCli = (args, env) =>
  new Promise((resolve) => {
    childProcess.execFile(
      process.execPath,
      [CLI_FILE, ...args],
      { cwd: ROOT, env: { ...process.env, ...env } },
      (error, stdout, stderr) => resolve({ code: error ? (error.code ?? -1) : 0, stdout, stderr }),
    )
  })

const quoteArgument = (text) => (/^[\w./:,=-]+$/u.test(text) ? text : `"${text}"`)

/** Runs CLI commands, printed with their output or parsed from JSON; throws on a non-zero exit code. */
const createCli = (env) => {
  const queryJson = async (...args) => {
    const { code, stdout, stderr } = await runCli([...args, '--json'], env)
    if (code !== 0)
      throw new Error(`ebonyweir ${args.join(' ')} exited with ${code}\n${stderr}${stdout}`)
    return JSON.parse(stdout)
  }
  const runAndPrint = async (...args) => {
    print(`$ ebonyweir ${args.map(quoteArgument).join(' ')}`)
    const { code, stdout, stderr } = await runCli(args, env)
    printIndented(`${stdout}${stderr}`)
    if (code !== 0) throw new Error(`ebonyweir ${args.join(' ')} exited with ${code}`)
  }
  return { queryJson, runAndPrint }
}

const sendQuote = async (entry, number) => {
  const url = `http://${entry}/services/swap-desk/quotes?element=${number}`
  const startedMs = perfHooks.performance.now()
  const answer = await globalThis.fetch(url, { signal: globalThis.AbortSignal.timeout(10_000) })
  const body = await answer.text()
  const outcome = answer.headers.get('ebonyweir-outcome')
  return {
    url,
    status: answer.status,
    outcome,
    body,
    tookMs: perfHooks.performance.now() - startedMs,
  }
}

const endpointOf = (body) => {
  try {
    return JSON.parse(body).endpoint
  } catch {
    return 'none'
  }
}

const printQuote = (answer) => {
  print(`$ curl ${answer.url}`)
  const { status, outcome, tookMs, body } = answer
  printIndented(`${status} ${outcome} by ${endpointOf(body)} after ${tookMs.toFixed(0)} ms`)
}

const requireAnswered = (answer) => {
  if (answer.outcome === 'answered') return answer
  throw new Error(`a quote was not answered: ${answer.status} ${answer.outcome} ${answer.body}`)
}

const formGroup = async (system, cli, rulesFile) => {
  printTitle('Three control replicas, one in each failure domain, form a group')
  await system.startControl()
  await cli.runAndPrint('members', 'init')
  await cli.runAndPrint('members', '--wait', '--timeout-ms', '30000')
  printTitle('The rules are applied')
  await cli.runAndPrint('check', rulesFile)
  await cli.runAndPrint('apply', rulesFile, '--expect', '0', '--by', 'Quickstart')
}

const startService = async (system, cli) => {
  printTitle('Two entries, three agents and six workers start; the service gets its runners')
  const entries = await system.startEntries()
  await system.startInstances()
  await processes.waitFor('6 runners and endpoints of swap-desk', async () => {
    const status = await cli.queryJson('status')
    const service = status.services.find(({ service: name }) => name === 'swap-desk')
    return service !== undefined && service.runningRunners >= 6 && service.endpoints >= 6
  })
  await cli.runAndPrint('status')
  return entries
}

const showQuoteAnswered = async (entries) => {
  printTitle('A swap quote is answered')
  const answer = await processes.waitFor('the first answered quote', async () => {
    const response = await sendQuote(entries[0], 4711)
    return response.outcome === 'answered' ? response : undefined
  })
  printQuote(answer)
}

const runFittingPlan = async (cli) => {
  printTitle('A fitting plan runs to completion')
  const size = ['--cpu-millis', '2000', '--memory-mb', '4096', '--run-ms', '2000']
  const job = ['fitting-0917', '--team', 'workshop', '--kind', 'fitting-plan', '--tasks', '4']
  await cli.runAndPrint('job', 'submit', ...job, ...size, '--by', 'Yann Le Goff')
  await cli.runAndPrint('job', 'status', 'fitting-0917', '--wait', '--timeout-ms', '60000')
}

const drainAndReturn = async (entries, cli) => {
  printTitle('Brest is taken out of service while a fitting plan runs and quotes are answered')
  const size = ['--cpu-millis', '2000', '--memory-mb', '4096', '--run-ms', '8000']
  const job = ['fitting-0918', '--team', 'workshop', '--kind', 'fitting-plan', '--tasks', '6']
  await cli.runAndPrint(
    'job',
    'submit',
    ...job,
    ...size,
    '--command',
    'run=8000',
    '--by',
    'Yann Le Goff',
  )
  await processes.waitFor('fitting-0918 runs', async () => {
    const { runningTasks } = await cli.queryJson('job', 'status', 'fitting-0918')
    return runningTasks > 0
  })
  const by = ['--by', 'Operations, ticket 4411']
  await cli.runAndPrint('drain', 'brest', ...by, '--wait', '--timeout-ms', '60000')
  const answers = []
  for (let number = 0; number < QUOTES_DURING_DRAIN; number++) {
    answers.push(requireAnswered(await sendQuote(entries[number % entries.length], number)))
  }
  const slowestMs = Math.max(...answers.map((answer) => answer.tookMs))
  printIndented(
    `${answers.length} of ${answers.length} quotes answered, the slowest after ${slowestMs.toFixed(0)} ms`,
  )
  await cli.runAndPrint('explain', 'brest')
  printTitle('Brest is returned to service')
  await cli.runAndPrint('return', 'brest', ...by)
  await cli.runAndPrint('job', 'status', 'fitting-0918', '--wait', '--timeout-ms', '90000')
  await cli.runAndPrint(
    'job',
    'submit',
    'fitting-0919',
    ...job.slice(1),
    ...size,
    '--by',
    'Yann Le Goff',
  )
  const tasks = await processes.waitFor('a task runs in brest again', async () => {
    const status = await cli.queryJson('status')
    return status.failureDomains.find((domain) => domain.failureDomain === 'brest').runningTasks
  })
  printIndented(`tasks in brest: ${tasks}`)
  await cli.runAndPrint('job', 'status', 'fitting-0919', '--wait', '--timeout-ms', '90000')
}

const printCommands = (entries, env, folder) => {
  printTitle('The system runs until Ctrl-C. Try')
  print(`export EBONYWEIR_CONTROL=${env.EBONYWEIR_CONTROL} EBONYWEIR_ENTRY=${env.EBONYWEIR_ENTRY}`)
  const cli = 'node packages/cli/dist/bin.js'
  for (const command of [
    'status --workers',
    'rules',
    'drain vannes --by ME --wait',
    'return vannes --by ME',
    'members',
    'report burn --html burn.html',
    '--help',
  ]) {
    print(`${cli} ${command}`)
  }
  print(`curl -i http://${entries[0]}/services/swap-desk/quotes`)
  print(`logs and settings: ${folder}`)
}

const waitForInterrupt = () =>
  new Promise((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, resolve)
  })

const runSteps = async (system, folder) => {
  const env = { EBONYWEIR_CONTROL: system.controlHttp.join(','), EBONYWEIR_ENTRY: '' }
  const rulesFile = path.join(folder, 'rules.toml')
  fs.writeFileSync(rulesFile, systems.RULES)
  const cli = createCli(env)
  await formGroup(system, cli, rulesFile)
  const entries = await startService(system, cli)
  env.EBONYWEIR_ENTRY = entries.join(',')
  await showQuoteAnswered(entries)
  await runFittingPlan(cli)
  await drainAndReturn(entries, cli)
  printTitle('Service-level burn so far')
  await cli.runAndPrint('report', 'burn')
  if (options.keep !== true) return
  printCommands(entries, env, folder)
  await waitForInterrupt()
}

const main = async () => {
  if (!fs.existsSync(path.join(ROOT, 'node_modules'))) runOrThrow('npm', ['ci', '--ignore-scripts'])
  runOrThrow('npx', ['tsc', '-b'])
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-quickstart-'))
  const system = await systems.createSystem(ROOT, folder)
  const interrupted = new Promise((_, reject) => {
    if (options.keep === true) return
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => reject(new Error(`stopped by ${signal}`)))
    }
  })
  let failure
  try {
    await Promise.race([runSteps(system, folder), interrupted])
  } catch (error) {
    failure = error
  }
  const pids = system.children.pids()
  await system.children.stopAll()
  printTitle(`${pids.length} processes stopped`)
  if (failure !== undefined) {
    print(`The quickstart failed: ${failure.message}\nlogs and settings: ${folder}`)
    return 1
  }
  fs.rmSync(folder, { recursive: true })
  print('Done. `npm run quickstart -- --keep` keeps the system running.')
  return 0
}

// Exits explicitly, since an interrupted step may still be waiting for an answer.
process.exit(await main())
