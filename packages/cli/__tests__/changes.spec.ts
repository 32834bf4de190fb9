import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as vitest from 'vitest'
import * as fakeControl from './fakeControl.js'
import * as run from './run.js'

const { afterEach, describe, expect, test } = vitest

const RULES =
  'failureDomain.brest = { state = "in" } # Yann\nfailureDomain.rennes = { state = "in" } # Yann\n'
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-cli-'))
const rulesFile = path.join(folder, 'rules.toml')
fs.writeFileSync(rulesFile, RULES)
const opened: fakeControl.FakeControl[] = []

async function open(react: Parameters<typeof fakeControl.createFakeControl>[0]) {
  const control = await fakeControl.createFakeControl(react)
  opened.push(control)
  return control
}

afterEach(async () => {
  await Promise.all(opened.splice(0).map((control) => control.close()))
})

vitest.afterAll(() => {
  fs.rmSync(folder, { recursive: true })
})

describe('exit codes of apply', () => {
  const refused = { error: 'refused', detail: 'refused', outcome: 'not-run', mistakes: [] }
  const busy = (outcome: string) => ({
    status: 503,
    body: { error: 'no-quorum', detail: 'x', outcome },
  })
  const cases: readonly (readonly [string, fakeControl.Reaction, number])[] = [
    ['accepted', { status: 200, body: { revision: 2, digest: 'd' } }, 0],
    ['refused', { status: 422, body: refused }, 1],
    ['too old to decide', { status: 410, body: { error: 'too-old', detail: 'too old' } }, 1],
    [
      'a conflict',
      { status: 409, body: { error: 'conflict', detail: 'x', revision: 2, winner: 'Maëlle' } },
      3,
    ],
    ['a replica that knows no leader', { status: 421, body: { leader: '' } }, 4],
    ['no quorum, not proposed', busy('not-run'), 4],
    ['no quorum, outcome unknown', busy('unknown'), 5],
    ['lost answers', 'lose-answer', 5],
  ]

  // Guards against a script that repeats a change which was accepted, or takes a lost one for done.
  test.each(cases)('%s', async (_name, reaction, code) => {
    const control = await open(() => reaction)
    const args = ['apply', rulesFile, '--expect', '1', '--by', 'Yann', '--timeout-ms', '400']
    const result = await run.runCli([...args, '--control', control.address, '--json'])
    expect(result.code).toBe(code)
    expect(JSON.parse(result.stdout)).toMatchObject(
      code === 0 ? { revision: 2 } : { exitCode: code },
    )
  })
})

describe('a lost answer', () => {
  // Guards against a change that is carried out twice, or reported as a conflict with itself.
  test('is asked for again with the same request', async () => {
    const state = fakeControl.createFakeRules(RULES)
    let losses = 1
    const control = await open((request) => {
      const reaction = state.react(request)
      return request.method === 'POST' && losses-- > 0 ? 'lose-answer' : reaction
    })
    const args = ['drain', 'brest', '--by', 'Ops', '--control', control.address]
    const result = await run.runCli(args)
    const posts = control.received.filter((request) => request.method === 'POST')
    expect(result.code).toBe(0)
    expect(result.stdout).toContain('from revision 2')
    expect(posts).toHaveLength(2)
    expect(posts[0]).toEqual(posts[1])
    expect(state.current().revision).toBe(2)
  })
})

describe('drain and return', () => {
  // Guards against a drain that overwrites a change which another operator made meanwhile.
  test('start again from the rules of an operator who was faster', async () => {
    const state = fakeControl.createFakeRules(RULES)
    let rivals = 3
    const control = await open((request) => {
      if (request.method === 'POST' && rivals-- > 0) {
        const text = `${state.current().text}team.t${rivals} = { cpuMillis = 1, memoryMb = 1 } # Rival\n`
        state.apply({ expectedRevision: state.current().revision, operator: 'Rival', text })
      }
      return state.react(request)
    })
    const result = await run.runCli(['drain', 'brest', '--by', 'Ops', '--control', control.address])
    expect(result.code).toBe(0)
    expect(state.current().revision).toBe(5)
    expect(state.current().text.split('\n').filter(Boolean)).toEqual([
      'failureDomain.brest = { state = "out" } # Ops',
      'failureDomain.rennes = { state = "in" } # Yann',
      ...[2, 1, 0].map((n) => `team.t${n} = { cpuMillis = 1, memoryMb = 1 } # Rival`),
    ])
  })

  // Guards against a command that changes the rules, and who asked for them, for nothing.
  test('change nothing that is so already', async () => {
    const state = fakeControl.createFakeRules(RULES)
    const control = await open(state.react)
    const result = await run.runCli([
      'return',
      'brest',
      '--by',
      'Ops',
      '--control',
      control.address,
    ])
    expect(result.code).toBe(0)
    expect(result.stdout).toContain('nothing changed')
    expect(state.current().revision).toBe(1)
  })
})

describe('finding the leader', () => {
  // Guards against an operator who has to know which replica leads.
  test('tries each address and follows an answer that names the leader', async () => {
    const state = fakeControl.createFakeRules(RULES)
    const leader = await open(state.react)
    const follower = await open(() => ({ status: 421, body: { leader: leader.address } }))
    const env = { EBONYWEIR_CONTROL: `127.0.0.1:1,${follower.address}` }
    const result = await run.runCli(['rules'], env)
    expect(result).toEqual({ code: 0, stdout: RULES, stderr: 'revision 1, applied by first\n' })
  })

  // Guards against two replicas that name each other and hold the tool for ever.
  test('gives up on replicas that name each other', async () => {
    let second = ''
    const first = await open(() => ({ status: 421, body: { leader: second } }))
    const other = await open(() => ({ status: 421, body: { leader: first.address } }))
    second = other.address
    const args = ['rules', '--control', first.address, '--timeout-ms', '300']
    expect((await run.runCli(args)).code).toBe(4)
  })
})

describe('members init', () => {
  const identity = (name: string, cell = 'c') => ({
    cell,
    id: name,
    address: '127.0.0.1:7000',
    httpAddress: '127.0.0.1:7001',
    failureDomain: 'd',
    empty: true,
  })
  const cases: readonly (readonly [string, readonly (object | undefined)[], number, number])[] = [
    ['forms a group of three', [identity('a'), identity('b'), identity('c')], 0, 3],
    ['refuses two cells', [identity('a'), identity('b', 'other')], 1, 0],
    ['refuses one replica named twice', [identity('a'), identity('a')], 1, 0],
    ['changes nothing when a replica is away', [identity('a'), undefined], 4, 0],
  ]

  // Guards against a group that is formed of some of its replicas, or twice.
  test.each(cases)('%s', async (_name, identities, code, posts) => {
    const replicas = await Promise.all(
      identities.map((body) =>
        open(({ method }) =>
          body === undefined ? 'lose-answer' : { status: 200, body: method === 'GET' ? body : {} },
        ),
      ),
    )
    const control = replicas.map((replica) => replica.address).join(',')
    const result = await run.runCli(['members', 'init', '--control', control])
    const posted = replicas.flatMap(({ received }) => received.filter((r) => r.method === 'POST'))
    expect(result.code).toBe(code)
    expect(posted).toHaveLength(posts)
    expect(new Set(posted.map(({ body }) => JSON.stringify(body))).size).toBe(Math.min(posts, 1))
  })
})
