import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as vitest from 'vitest'
import * as fakeControl from './fakeControl.js'
import * as run from './run.js'

const { afterAll, afterEach, describe, expect, test } = vitest

const SUBJECT = '/quotes/00000000000000aa'
const JOB = { Spec: 'run', Steps: [] }
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-cli-'))
const file = path.join(folder, 'job.json')
fs.writeFileSync(file, JSON.stringify(JOB))
const openControls: fakeControl.FakeControl[] = []

afterEach(async () => {
  await Promise.all(openControls.splice(0).map((control) => control.close()))
})

afterAll(() => {
  fs.rmSync(folder, { recursive: true })
})

const explain = async (args: readonly string[], reaction: fakeControl.Reaction) => {
  const control = await fakeControl.createFakeControl(() => reaction)
  openControls.push(control)
  const all = ['explain', SUBJECT, ...args, '--timeout-ms', '400', '--control', control.address]
  return { result: await run.runCli(all), received: control.received }
}

const ANSWER = {
  subject: '00000000000000aa',
  subjectKind: 'job',
  state: 'explained',
  explanations: [{ atMs: 0, text: 'step 0: 1 tasks on w (rack r1, rennes)' }],
}

describe('explain with a submission', () => {
  test('sends the job to be explained and prints the lines', async () => {
    const args = ['--submission', file, '--host', 'desk.example']
    const { result, received } = await explain(args, { status: 200, body: ANSWER })
    const body = { host: 'desk.example', path: SUBJECT, job: JOB }
    expect(received).toEqual([{ method: 'POST', path: '/-/explain', body }])
    expect(result).toMatchObject({
      code: 0,
      stdout: 'job 00000000000000aa: explained\n  step 0: 1 tasks on w (rack r1, rennes)\n',
    })
  })

  const refused = { error: 'unknown', detail: 'no queue has this host and path' }
  const cases: readonly (readonly [string, readonly string[], fakeControl.Reaction, number])[] = [
    ['no host', ['--submission', file], { status: 200, body: ANSWER }, 2],
    ['no file', ['--submission', `${file}x`, '--host', 'h'], { status: 200, body: ANSWER }, 2],
    ['no queue', ['--submission', file, '--host', 'h'], { status: 404, body: refused }, 1],
    ['no leader', ['--submission', file, '--host', 'h'], { status: 503, body: {} }, 4],
    ['a lost answer', ['--submission', file, '--host', 'h'], 'lose-answer', 4],
  ]

  // Guards against an unknown outcome for a request that changes nothing.
  test.each(cases)('exit code for %s', async (_name, args, reaction, code) => {
    const { result } = await explain(args, reaction)
    expect(result.code).toBe(code)
  })
})
