import * as settings from '@ebonyweir/settings'
import * as vitest from 'vitest'

const { describe, expect, test } = vitest

const COMMON = 'cell = "bretagne"\nname = "one"\nfailureDomain = "rennes"\n'
const ENTRY = `role = "entry"\n${COMMON}httpAddress = "127.0.0.1:0"\ncontrolAddresses = ["10.0.1.4:7000"]\n`
const AGENT = `role = "agent"\n${COMMON}grpcAddress = "[::1]:7100"\nhttpAddress = "127.0.0.1:7101"\ncontrolAddresses = ["10.0.1.4:7000"]\nworker = "w-1"\n`
const CONTROL = `role = "control"\n${COMMON}grpcAddress = "10.0.1.4:7000"\nhttpAddress = "10.0.1.4:7001"\ndataFolder = "data"\nrack = "r-1"\n`

describe('resolveSettings', () => {
  const valid: readonly (readonly [string, string, object])[] = [
    ['an entry', ENTRY, { role: 'entry', maxRequestBytes: 1_048_576, shutdownGraceMs: 5_000 }],
    ['an agent', AGENT, { role: 'agent', maxAnswerBytes: 16_777_216, shutdownTimeoutMs: 30_000 }],
    ['a control replica', CONTROL, { role: 'control', rack: 'r-1', logLevel: 'info' }],
  ]

  // Guards against a role that loses a field or a default.
  test.each(valid)('accepts %s with its defaults', (_name, text, expected) => {
    expect(settings.resolveSettings(text, 'one.toml').unwrap()).toMatchObject(expected)
  })

  const mistakes: readonly (readonly [string, string, string])[] = [
    ['no role', COMMON, 'one.toml: role: missing; it must be one of "control", "entry", "agent"'],
    [
      'a wrong role',
      ENTRY.replace('"entry"', '"gateway"'),
      'one.toml:1: role: "gateway" is not one of "control", "entry", "agent"',
    ],
    [
      'a field of another role',
      `${ENTRY}dataFolder = "x"\n`,
      'one.toml:7: dataFolder: unknown; accepted are role, cell, name, failureDomain, logLevel, httpAddress, controlAddresses, maxRequestBytes, shutdownGraceMs, shutdownTimeoutMs',
    ],
    [
      'a misspelt field',
      `${ENTRY}shutdownGrace = 3\n`,
      'one.toml:7: shutdownGrace: unknown; did you mean "shutdownGraceMs"?',
    ],
    [
      'a missing field',
      ENTRY.replace('cell = "bretagne"\n', ''),
      'one.toml: cell: missing; it must be a name of up to 63 lower-case letters, digits and hyphens',
    ],
    [
      'an address that is not reachable',
      ENTRY.replace('127.0.0.1:0', '0.0.0.0:8080'),
      'one.toml:5: httpAddress: "0.0.0.0:8080" is not an address that other processes can reach, such as "10.0.0.1:7000"; not 0.0.0.0',
    ],
    [
      'an address without port',
      ENTRY.replace('127.0.0.1:0', '127.0.0.1'),
      'one.toml:5: httpAddress: "127.0.0.1" is not an address that other processes can reach, such as "10.0.0.1:7000"; not 0.0.0.0',
    ],
    [
      'no control address',
      ENTRY.replace('["10.0.1.4:7000"]', '[]'),
      'one.toml:6: controlAddresses: [] is not a list of 1 or more items, each an address such as "10.0.0.1:7000"',
    ],
    [
      'port 0 of a peer',
      ENTRY.replace('10.0.1.4:7000', '10.0.1.4:0'),
      'one.toml:6: controlAddresses: ["10.0.1.4:0"] is not a list of 1 or more items, each an address such as "10.0.0.1:7000"',
    ],
    [
      'port 0 of a replica',
      CONTROL.replace('10.0.1.4:7001', '10.0.1.4:0'),
      'one.toml:6: httpAddress: "10.0.1.4:0" is not an address that other processes can reach, such as "10.0.0.1:7000"; not 0.0.0.0 or port 0',
    ],
    [
      'a time that is too long',
      `${ENTRY}shutdownGraceMs = 600001\n`,
      'one.toml:7: shutdownGraceMs: 600001 is not a whole number from 0 to 600000',
    ],
    [
      'an empty folder',
      CONTROL.replace('"data"', '" "'),
      'one.toml:7: dataFolder: " " is not a path',
    ],
    ['invalid TOML', `${ENTRY}worker = \n`, 'one.toml:7: not valid TOML: invalid value'],
    [
      'a duplicate field',
      `${ENTRY}name = "two"\n`,
      'one.toml:7: not valid TOML: trying to redefine an already defined table or value',
    ],
  ]

  // Guards against a mistake that is accepted, reported at the wrong line or field, or reported twice.
  test.each(mistakes)('reports %s once, with file, line and field', (_name, text, message) => {
    const resolved = settings.resolveSettings(text, 'one.toml')
    const found = resolved.isErr() ? resolved.error.mistakes : []
    expect(found.map(settings.formatSettingsMistake)).toEqual([message])
  })
})

describe('parseAddress', () => {
  const cases: readonly (readonly [string, settings.HostPort | undefined])[] = [
    ['127.0.0.1:80', { host: '127.0.0.1', port: 80 }],
    ['[fd00::1]:80', { host: 'fd00::1', port: 80 }],
    ['fd00::1:80', undefined],
    ['[127.0.0.1]:80', undefined],
    ['host:80', undefined],
    ['127.0.0.1:65536', undefined],
    ['127.0.0.1:', undefined],
  ]

  // Guards against an address that the network library would parse differently.
  test.each(cases)('parses %s', (address, expected) => {
    expect(settings.parseAddress(address)).toEqual(expected)
  })
})
