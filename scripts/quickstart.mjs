// Starts a small system on loopback, shows it at work and stops it: npm run quickstart [-- --keep]
import * as perfHooks from 'node:perf_hooks'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as util from 'node:util'
import * as processes from './quickstart/processes.mjs'
import * as systems from './quickstart/system.mjs'

const ROOT = path.resolve(import.meta.dirname, '..')
const TOOL = path.join(ROOT, 'packages/cli/dist/bin.js')
const QUOTES_DURING_DRAIN = 20
const { values: options } = util.parseArgs({ options: { keep: { type: 'boolean' } } })

const say = (text) => process.stdout.write(`${text}\n`)
const title = (text) => say(`\n== ${text}`)
const indent = (text) => say(text.trimEnd().replace(/^(?=.)/gmu, '   '))

/** Runs a program to its end with its output on this terminal. */
const mustRun = (command, args) => {
  const { status } = childProcess.spawnSync(command, args, { cwd: ROOT, stdio: 'inherit' })
  if (status !== 0) throw new Error(`${command} ${args.join(' ')} ended with ${status}`)
}

const runTool = (args, env) =>
  new Promise((resolve) => {
    childProcess.execFile(
      process.execPath,
      [TOOL, ...args],
      { cwd: ROOT, env: { ...process.env, ...env } },
      (error, stdout, stderr) => resolve({ code: error ? (error.code ?? -1) : 0, stdout, stderr }),
    )
  })

const quote = (text) => (/^[\w./:,=-]+$/u.test(text) ? text : `"${text}"`)

/** Runs the operators' tool, shows the command and its output, and requires exit code 0. */
const createTool = (env) => {
  const ask = async (...args) => {
    const { code, stdout, stderr } = await runTool([...args, '--json'], env)
    if (code !== 0)
      throw new Error(`ebonyweir ${args.join(' ')} ended with ${code}\n${stderr}${stdout}`)
    return JSON.parse(stdout)
  }
  const show = async (...args) => {
    say(`$ ebonyweir ${args.map(quote).join(' ')}`)
    const { code, stdout, stderr } = await runTool(args, env)
    indent(`${stdout}${stderr}`)
    if (code !== 0) throw new Error(`ebonyweir ${args.join(' ')} ended with ${code}`)
  }
  return { ask, show }
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

const showQuote = (answer) => {
  say(`$ curl ${answer.url}`)
  const { status, outcome, tookMs, body } = answer
  indent(`${status} ${outcome} by ${endpointOf(body)} after ${tookMs.toFixed(0)} ms`)
}

const requireAnswered = (answer) => {
  if (answer.outcome === 'answered') return answer
  throw new Error(`a quote was not answered: ${answer.status} ${answer.outcome} ${answer.body}`)
}

const formGroup = async (system, tool, rulesFile) => {
  title('Three control replicas, one in each failure domain, form a group')
  await system.startControl()
  await tool.show('members', 'init')
  await tool.show('members', '--wait', '--timeout-ms', '30000')
  title('The rules are applied')
  await tool.show('check', rulesFile)
  await tool.show('apply', rulesFile, '--expect', '0', '--by', 'Quickstart')
}

const startService = async (system, tool) => {
  title('Two entries, three agents and six workers start; the service gets its runners')
  const entries = await system.startEntries()
  await system.startInstances()
  await processes.waitFor('6 runners and endpoints of swap-desk', async () => {
    const status = await tool.ask('status')
    const service = status.services.find(({ service: name }) => name === 'swap-desk')
    return service !== undefined && service.runningRunners >= 6 && service.endpoints >= 6
  })
  await tool.show('status')
  return entries
}

const answerQuote = async (entries) => {
  title('A swap quote is answered')
  const answer = await processes.waitFor('a first answered quote', async () => {
    const got = await sendQuote(entries[0], 4711)
    return got.outcome === 'answered' ? got : undefined
  })
  showQuote(answer)
}

const runFittingPlan = async (tool) => {
  title('A fitting plan runs to its end')
  const size = ['--cpu-millis', '2000', '--memory-mb', '4096', '--run-ms', '2000']
  const job = ['fitting-0917', '--team', 'workshop', '--kind', 'fitting-plan', '--tasks', '4']
  await tool.show('job', 'submit', ...job, ...size, '--by', 'Yann Le Goff')
  await tool.show('job', 'status', 'fitting-0917', '--wait', '--timeout-ms', '60000')
}

const drainAndReturn = async (entries, tool) => {
  title('Brest is taken out of service, while a fitting plan and quotes go on')
  const size = ['--cpu-millis', '2000', '--memory-mb', '4096', '--run-ms', '8000']
  const job = ['fitting-0918', '--team', 'workshop', '--kind', 'fitting-plan', '--tasks', '6']
  await tool.show('job', 'submit', ...job, ...size, '--command', 'run=8000', '--by', 'Yann Le Goff')
  await processes.waitFor('fitting-0918 runs', async () => {
    const { runningTasks } = await tool.ask('job', 'status', 'fitting-0918')
    return runningTasks > 0
  })
  const by = ['--by', 'Operations, ticket 4411']
  await tool.show('drain', 'brest', ...by, '--wait', '--timeout-ms', '60000')
  const answers = []
  for (let number = 0; number < QUOTES_DURING_DRAIN; number++) {
    answers.push(requireAnswered(await sendQuote(entries[number % entries.length], number)))
  }
  const slowestMs = Math.max(...answers.map((answer) => answer.tookMs))
  indent(
    `${answers.length} of ${answers.length} quotes answered, the slowest after ${slowestMs.toFixed(0)} ms`,
  )
  await tool.show('explain', 'brest')
  title('Brest comes back')
  await tool.show('return', 'brest', ...by)
  await tool.show('job', 'status', 'fitting-0918', '--wait', '--timeout-ms', '90000')
  await tool.show('job', 'submit', 'fitting-0919', ...job.slice(1), ...size, '--by', 'Yann Le Goff')
  const tasks = await processes.waitFor('a task runs in brest again', async () => {
    const status = await tool.ask('status')
    return status.failureDomains.find((one) => one.failureDomain === 'brest').runningTasks
  })
  indent(`tasks in brest: ${tasks}`)
  await tool.show('job', 'status', 'fitting-0919', '--wait', '--timeout-ms', '90000')
}

const showCommands = (entries, env, folder) => {
  title('It stays up until Ctrl-C. Try')
  say(`export EBONYWEIR_CONTROL=${env.EBONYWEIR_CONTROL} EBONYWEIR_ENTRY=${env.EBONYWEIR_ENTRY}`)
  const tool = 'node packages/cli/dist/bin.js'
  for (const command of [
    'status --workers',
    'rules',
    'drain vannes --by ME --wait',
    'return vannes --by ME',
    'members',
    'report burn --html burn.html',
    '--help',
  ]) {
    say(`${tool} ${command}`)
  }
  say(`curl -i http://${entries[0]}/services/swap-desk/quotes`)
  say(`logs and settings: ${folder}`)
}

const untilInterrupted = () =>
  new Promise((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, resolve)
  })

const runSteps = async (system, folder) => {
  const env = { EBONYWEIR_CONTROL: system.controlHttp.join(','), EBONYWEIR_ENTRY: '' }
  const rulesFile = path.join(folder, 'rules.toml')
  fs.writeFileSync(rulesFile, systems.RULES)
  const tool = createTool(env)
  await formGroup(system, tool, rulesFile)
  const entries = await startService(system, tool)
  env.EBONYWEIR_ENTRY = entries.join(',')
  await answerQuote(entries)
  await runFittingPlan(tool)
  await drainAndReturn(entries, tool)
  title('Service-level burn so far')
  await tool.show('report', 'burn')
  if (options.keep !== true) return
  showCommands(entries, env, folder)
  await untilInterrupted()
}

const main = async () => {
  if (!fs.existsSync(path.join(ROOT, 'node_modules'))) mustRun('npm', ['ci', '--ignore-scripts'])
  mustRun('npx', ['tsc', '-b'])
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
  title(`${pids.length} processes stopped`)
  if (failure !== undefined) {
    say(`The quickstart failed: ${failure.message}\nlogs and settings: ${folder}`)
    return 1
  }
  fs.rmSync(folder, { recursive: true })
  say('Done. `npm run quickstart -- --keep` leaves the system up.')
  return 0
}

// A step that was interrupted may still wait for an answer.
process.exit(await main())
