import * as cli from '@ebonyweir/cli'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as prettier from 'prettier'
import * as vitest from 'vitest'
import * as run from './run.js'

const { describe, expect, test } = vitest

const ROOT = path.resolve(import.meta.dirname, '../../..')
const temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'ebonyweir-cli-'))

vitest.afterAll(() => {
  fs.rmSync(temporaryFolder, { recursive: true })
})

function writeTemporaryFile(name: string, text: string): string {
  const file = path.join(temporaryFolder, name)
  fs.writeFileSync(file, text)
  return file
}

describe('usage', () => {
  const rules = writeTemporaryFile('rules.toml', 'failureDomain.a = { state = "in" } # Yann\n')
  const broken = writeTemporaryFile('broken.toml', 'failureDomain.a = { stat = "in" } # Yann\n')
  const wrongRole = writeTemporaryFile('wrong-role.toml', 'role = "x"\n')
  const config = writeTemporaryFile('config.toml', 'controlAdresses = ["127.0.0.1:1"]\n')
  const cases: readonly (readonly [string, readonly string[], number, string])[] = [
    ['an unknown command', ['drian', 'brest'], 2, 'Command not found'],
    ['a missing argument', ['drain'], 2, 'Not enough positional arguments'],
    ['no control address', ['status'], 2, 'EBONYWEIR_CONTROL'],
    [
      'an invalid control address',
      ['status', '--control', 'localhost'],
      2,
      '"localhost" is not an HTTP address',
    ],
    [
      'an invalid revision',
      ['apply', rules, '--expect', 'x', '--by', 'Y'],
      2,
      '"x" is not a revision number',
    ],
    ['a missing operator name', ['drain', 'brest', '--control', '127.0.0.1:1'], 2, '--by NAME'],
    [
      'an operator name of two lines',
      ['drain', 'b', '--by', 'a\nb', '--control', '127.0.0.1:1'],
      2,
      '--by NAME',
    ],
    ['an invalid timeout', ['status', '--timeout-ms', 'soon'], 2, '"soon" is not a number'],
    [
      'an invalid configuration file',
      ['status', '--config', config],
      2,
      'did you mean "controlAddresses"?',
    ],
    [
      'an invalid number',
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
    ['a missing file', ['check', path.join(temporaryFolder, 'none.toml')], 2, 'cannot be read'],
    [
      'no reachable control replica',
      ['status', '--control', '127.0.0.1:1', '--timeout-ms', '300'],
      4,
      'ECONNREFUSED',
    ],
  ]

  // Guards against an operator's mistake that is reported as a refusal, or without an explanation.
  test.each(cases)('reports %s', async (_name, args, code, text) => {
    const result = await run.runCli(args)
    expect(result.code).toBe(code)
    expect(result.stdout + result.stderr).toContain(text)
  })
})

describe('check', () => {
  // Guards against examples that the daemon or the control group would refuse.
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
  // Guards against a reference that differs from the schemas; `npm run docs:configuration` updates it.
  test('contains the tables generated from the schemas', async () => {
    const file = path.join(ROOT, 'docs/configuration.md')
    const options = await prettier.resolveConfig(file)
    const tables = await prettier.format(cli.reference.renderReference(), {
      ...options,
      parser: 'markdown',
    })
    expect(fs.readFileSync(file, 'utf8')).toContain(tables)
  })
})
