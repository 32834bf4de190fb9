import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as vitest from 'vitest'
import * as fakeControl from './fakeControl.js'
import * as run from './run.js'

const { afterEach, describe, expect, test } = vitest

const RULES =
  'failureDomain.brest = { state = "in" } # Yann\nfailureDomain.rennes = { state = "in" } # Yann\n'
const temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-cli-'))
const rulesPath = path.join(temporaryFolder, 'rules.toml')
fs.writeFileSync(rulesPath, RULES)
const openControls: fakeControl.FakeControl[] = []

async function startControl(respond: Parameters<typeof fakeControl.createFakeControl>[0]) {
  const control = await fakeControl.createFakeControl(respond)
  openControls.push(control)
  return control
}

afterEach(async () => {
  await Promise.all(openControls.splice(0).map((control) => control.close()))
})

vitest.afterAll(() => {
  fs.rmSync(temporaryFolder, { recursive: true })
})

describe('exit codes of apply', () => {
  const refused = { error: 'refused', detail: 'refused', outcome: 'not-run', mistakes: [] }
  const unavailable = (outcome: string) => ({
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
    ['a replica without a known leader', { status: 421, body: { leader: '' } }, 4],
    ['no quorum, not proposed', unavailable('not-run'), 4],
    ['no quorum, outcome unknown', unavailable('unknown'), 5],
    ['lost answers', 'lose-answer', 5],
  ]

  // Guards against scripts that repeat an accepted change, or treat a change with a lost answer as done.
  test.each(cases)('%s', async (_name, reaction, code) => {
    const control = await startControl(() => reaction)
    const args = ['apply', rulesPath, '--expect', '1', '--by', 'Yann', '--timeout-ms', '400']
    const result = await run.runCli([...args, '--control', control.address, '--json'])
    expect(result.code).toBe(code)
    expect(JSON.parse(result.stdout)).toMatchObject(
      code === 0 ? { revision: 2 } : { exitCode: code },
    )
  })
})

describe('a lost answer', () => {
  // Guards against a change that is applied twice, or reported as a conflict with itself.
  test('is followed by a resend of the same request', async () => {
    const state = fakeControl.createFakeRules(RULES)
    let remainingLosses = 1
    const control = await startControl((request) => {
      const reaction = state.respond(request)
      return request.method === 'POST' && remainingLosses-- > 0 ? 'lose-answer' : reaction
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
  // Guards against a drain that overwrites a concurrent change by another operator.
  test('retry on the rules of an operator whose change was accepted first', async () => {
    const state = fakeControl.createFakeRules(RULES)
    let remainingRivalChanges = 3
    const control = await startControl((request) => {
      if (request.method === 'POST' && remainingRivalChanges-- > 0) {
        const text = `${state.current().text}team.t${remainingRivalChanges} = { cpuMillis = 1, memoryMb = 1 } # Rival\n`
        state.apply({ expectedRevision: state.current().revision, operator: 'Rival', text })
      }
      return state.respond(request)
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

  // Guards against a command that rewrites the rule and its requester without an effective change.
  test('change nothing if the failure domain already has the state', async () => {
    const state = fakeControl.createFakeRules(RULES)
    const control = await startControl(state.respond)
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
  // Guards against operators having to know which replica is the leader.
  test('tries each address and follows a redirect to the leader', async () => {
    const state = fakeControl.createFakeRules(RULES)
    const leader = await startControl(state.respond)
    const follower = await startControl(() => ({ status: 421, body: { leader: leader.address } }))
    const env = { EBONYWEIR_CONTROL: `127.0.0.1:1,${follower.address}` }
    const result = await run.runCli(['rules'], env)
    expect(result).toEqual({ code: 0, stdout: RULES, stderr: 'revision 1, applied by first\n' })
  })

  // Guards against an endless redirect loop between two replicas.
  test('stops following replicas that redirect to each other', async () => {
    let second = ''
    const first = await startControl(() => ({ status: 421, body: { leader: second } }))
    const other = await startControl(() => ({ status: 421, body: { leader: first.address } }))
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
    ['refuses one replica listed twice', [identity('a'), identity('a')], 1, 0],
    ['changes nothing when a replica does not answer', [identity('a'), undefined], 4, 0],
  ]

  // Guards against a group formed from only some of its replicas, or formed twice.
  test.each(cases)('%s', async (_name, identities, code, posts) => {
    const replicas = await Promise.all(
      identities.map((body) =>
        startControl(({ method }) =>
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
