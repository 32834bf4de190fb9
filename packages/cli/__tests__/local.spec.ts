import * as cli from '@ebonyweir/cli'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as prettier from 'prettier'
import * as vitest from 'vitest'
import * as run from './run.js'

const { describe, expect, test } = vitest

const ROOT = path.resolve(import.meta.dirname, '../../..')
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-cli-'))

vitest.afterAll(() => {
  fs.rmSync(folder, { recursive: true })
})

function write(name: string, text: string): string {
  const file = path.join(folder, name)
  fs.writeFileSync(file, text)
  return file
}

describe('usage', () => {
  const rules = write('rules.toml', 'failureDomain.a = { state = "in" } # Yann\n')
  const broken = write('broken.toml', 'failureDomain.a = { stat = "in" } # Yann\n')
  const wrongRole = write('wrong-role.toml', 'role = "x"\n')
  const config = write('config.toml', 'controlAdresses = ["127.0.0.1:1"]\n')
  const cases: readonly (readonly [string, readonly string[], number, string])[] = [
    ['an unknown command', ['drian', 'brest'], 2, 'Command not found'],
    ['a missing argument', ['drain'], 2, 'Not enough positional arguments'],
    ['no control address', ['status'], 2, 'EBONYWEIR_CONTROL'],
    [
      'a wrong control address',
      ['status', '--control', 'localhost'],
      2,
      '"localhost" is not an HTTP address',
    ],
    [
      'a wrong revision',
      ['apply', rules, '--expect', 'x', '--by', 'Y'],
      2,
      '"x" is not a revision number',
    ],
    ['nobody who asks for it', ['drain', 'brest', '--control', '127.0.0.1:1'], 2, '--by NAME'],
    [
      'a comment of two lines',
      ['drain', 'b', '--by', 'a\nb', '--control', '127.0.0.1:1'],
      2,
      '--by NAME',
    ],
    ['a wrong time', ['status', '--timeout-ms', 'soon'], 2, '"soon" is not a number'],
    [
      'a wrong configuration',
      ['status', '--config', config],
      2,
      'did you mean "controlAddresses"?',
    ],
    [
      'a missing number',
      [
        'job',
        'submit',
        'j',
        '--team',
        't',
        '--kind',
        'k',
        '--cpu-millis',
        'x',
        '--memory-mb',
        '1',
        '--by',
        'Y',
      ],
      2,
      '--cpu-millis "x" is not a whole number',
    ],
    [
      'a rules file with a mistake',
      ['check', rules, broken],
      1,
      'broken.toml:1: failureDomain.a.stat',
    ],
    ['a settings file with a mistake', ['check', wrongRole], 1, 'wrong-role.toml:1: role: "x"'],
    ['valid files', ['check', rules], 0, 'valid rules (1 rule)'],
    ['a missing file', ['check', path.join(folder, 'none.toml')], 2, 'cannot be read'],
    [
      'nobody reachable',
      ['status', '--control', '127.0.0.1:1', '--timeout-ms', '300'],
      4,
      'ECONNREFUSED',
    ],
  ]

  // Guards against a mistake of the operator that is reported as a refusal, or not explained.
  test.each(cases)('reports %s', async (_name, args, code, text) => {
    const result = await run.runCli(args)
    expect(result.code).toBe(code)
    expect(result.stdout + result.stderr).toContain(text)
  })
})

describe('check', () => {
  // Guards against examples that the processes would refuse.
  const examples = fs
    .readdirSync(path.join(ROOT, 'playground'), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.toml') && !file.endsWith('ebonyweir.toml'))

  test.each(examples)('accepts playground/%s', (name) => {
    const file = path.join('playground', name)
    const { mistakes } = cli.checkFile(file, fs.readFileSync(path.join(ROOT, file), 'utf8'))
    expect(mistakes).toEqual([])
  })
})

describe('docs/configuration.md', () => {
  // Guards against a reference that differs from the schemas; `npm run docs:configuration` makes it.
  test('holds the tables of the schemas', async () => {
    const file = path.join(ROOT, 'docs/configuration.md')
    const options = await prettier.resolveConfig(file)
    const tables = await prettier.format(cli.reference.renderReference(), {
      ...options,
      parser: 'markdown',
    })
    expect(fs.readFileSync(file, 'utf8')).toContain(tables)
  })
})
