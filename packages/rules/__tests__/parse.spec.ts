import * as rules from '@ebonyweir/rules'
import * as vitest from 'vitest'

const { describe, expect, test } = vitest

const SERVICE =
  'service.swap-desk = { runners = 10, slots = 8, connections = 64, timeoutMs = 2000, targetMs = 80, objective = 0.995, cpuMillis = 4000, memoryMb = 8192 } # Maëlle'

function mistakesOf(text: string): readonly string[] {
  const parsed = rules.parseRules(text, 'rules.toml')
  return parsed.isErr() ? parsed.error.mistakes.map(rules.formatRuleMistake) : []
}

describe('parseRules', () => {
  const LINE_FORM =
    'a rule is one line of the form kind.name = { field = value } # who asked for it'

  // Guards against a mistake that is accepted, reported at the wrong line or field, or reported twice.
  const mistakes: readonly (readonly [string, string, string])[] = [
    [
      'a rule without a comment',
      'failureDomain.brest = { state = "out" }',
      'rules.toml:1: failureDomain.brest: the line has no comment; end it with "# NAME" to say who asked for the rule',
    ],
    [
      'a rule with an empty comment',
      '\nfailureDomain.brest = { state = "out" } #  ',
      'rules.toml:2: failureDomain.brest: the line has no comment; end it with "# NAME" to say who asked for the rule',
    ],
    [
      'a misspelt field',
      'guard.a = { maxSlowdwon = 1.2 } # Yann',
      'rules.toml:1: guard.a.maxSlowdwon: unknown; did you mean "maxSlowdown"?',
    ],
    [
      'a field that resembles no accepted one',
      'failureDomain.brest = { state = "in", colour = 1 } # Yann',
      'rules.toml:1: failureDomain.brest.colour: unknown; accepted are state',
    ],
    [
      'a missing field',
      'team.a = { cpuMillis = 1 } # Yann',
      'rules.toml:1: team.a.memoryMb: missing; it must be a whole number from 1 to 1000000000',
    ],
    [
      'a string in place of a number',
      'team.a = { cpuMillis = "4", memoryMb = 1 } # Yann',
      'rules.toml:1: team.a.cpuMillis: "4" is not a whole number from 1 to 1000000000',
    ],
    [
      'a # inside a string',
      'team.a = { cpuMillis = "1 # x", memoryMb = 1 } # Yann',
      'rules.toml:1: team.a.cpuMillis: "1 # x" is not a whole number from 1 to 1000000000',
    ],
    [
      'a number out of range',
      'guard.a = { maxSlowdown = 0.5 } # Yann',
      'rules.toml:1: guard.a.maxSlowdown: 0.5 is not a number from 1 to 100',
    ],
    [
      'an unknown value',
      'failureDomain.brest = { state = "up" } # Yann',
      'rules.toml:1: failureDomain.brest.state: "up" is not one of "in", "out"',
    ],
    [
      'an invalid list item',
      'placement.p = { match = "a", failureDomains = ["Brest"] } # Yann',
      'rules.toml:1: placement.p.failureDomains: ["Brest"] is not a list of 0 or more items, each a name of up to 63 lower-case letters, digits and hyphens',
    ],
    [
      'a misspelt kind',
      'servce.a = { } # Yann',
      'rules.toml:1: servce.a: kind "servce" is unknown; did you mean "service"?',
    ],
    [
      'a name with capitals',
      'failureDomain.Brest = { state = "in" } # Yann',
      'rules.toml:1: failureDomain.Brest: "Brest" is not a name of up to 63 lower-case letters, digits and hyphens',
    ],
    ['a table header', '[service.a] # Yann', `rules.toml:1: ${LINE_FORM}`],
    ['a rule without a name', 'service = { slots = 1 } # Yann', `rules.toml:1: ${LINE_FORM}`],
    ['a dotted field', 'team.a.weight = 1 # Yann', `rules.toml:1: ${LINE_FORM}`],
    [
      'invalid TOML',
      'service.a = { slots = } # Yann',
      `rules.toml:1: not valid TOML at column 23: invalid value; ${LINE_FORM}`,
    ],
    [
      'a duplicate',
      'failureDomain.b = { state = "in" } # Yann\nfailureDomain.b = { state = "out" } # Maëlle',
      'rules.toml:2: failureDomain.b: already set in line 1 (requested by Yann); keep one of them',
    ],
    [
      'a placement in an unknown failure domain',
      'placement.p = { match = "a", failureDomains = ["brst"] } # Yann',
      'rules.toml:1: placement.p.failureDomains: "brst" has no rule; add failureDomain.brst = { state = "in" } or correct the name',
    ],
    [
      'a guard of an unknown service',
      `${SERVICE}\nguard.swap-dsk = {} # Yann`,
      'rules.toml:2: guard.swap-dsk: there is no service.swap-dsk to guard',
    ],
    [
      'a target above the timeout',
      SERVICE.replace('targetMs = 80', 'targetMs = 2001'),
      'rules.toml:1: service.swap-desk.targetMs: 2001 is above timeoutMs (2000); no answer could be late',
    ],
    [
      'a second weighting',
      'weighting.other = { throughput = 1, evictions = 1, tail = 1 } # Yann',
      'rules.toml:1: weighting.other: the only weighting is weighting.default',
    ],
  ]

  test.each(mistakes)('reports %s once, with file, line and field', (_name, text, message) => {
    expect(mistakesOf(text)).toEqual([message])
  })

  // Guards against a comment that is split at a `#` inside a string, or at the wrong `#`.
  const comments: readonly (readonly [string, string, string])[] = [
    ['failureDomain.a = { state = "in" } # Yann', 'Yann', '{ state = "in" }'],
    ['failureDomain.a = { state = "in" }# Yann # ticket 7', 'Yann # ticket 7', '{ state = "in" }'],
    ['failureDomain.a = { state = \'in\' } #Yann "#"', 'Yann "#"', "{ state = 'in' }"],
    ['"failureDomain".a = { state = "in" } # Yann\r', 'Yann', '{ state = "in" }'],
  ]

  test.each(comments)('parses the requester and body of %s', (line, requestedBy, body) => {
    const [rule] = rules.parseRules(line, 'rules.toml').unwrap().rules
    expect(rule).toMatchObject({ requestedBy, body, line: 1, key: 'failureDomain.a' })
  })

  // Guards against a distributed rule that is parsed differently from the one in the file.
  test('parses the same rule from a line and from its distributed form', () => {
    const [rule] = rules.parseRules(SERVICE, 'rules.toml').unwrap().rules
    if (rule === undefined) throw new Error('no rule')
    expect(rule).toMatchObject({ queue: 64, accelerators: 0, quick: false, targetMs: 80 })
    expect(rules.parseRuleRecord(rules.toRuleRecord(rule)).unwrap()).toEqual(rule)
  })

  const records: readonly (readonly [string, string, string, boolean])[] = [
    ['a field of a newer version', 'failureDomain.a', '{ state = "in", since = 3 }', true],
    ['a value of a newer version', 'failureDomain.a', '{ state = "half" }', false],
    ['a kind of a newer version', 'zone.a', '{ }', false],
    ['a body that is not a table', 'failureDomain.a', '"in"', false],
    ['a truncated body', 'failureDomain.a', '{ state = ', false],
  ]

  // Guards against an old agent that applies part of a rule, or rejects a rule with an added field.
  test.each(records)('handles a distributed rule with %s', (_name, key, body, accepted) => {
    const record = { key, line: 1, requestedBy: 'Yann', body }
    expect(rules.parseRuleRecord(record).isOk()).toBe(accepted)
  })
})

describe('editFailureDomain', () => {
  const IN = 'failureDomain.brest = { state = "in" } # Yann'
  const OUT = 'failureDomain.brest = { state = "out" } # Ops'
  const cases: readonly (readonly [string, string, string])[] = [
    ['an empty text', '', `${OUT}\n`],
    ['a text without the rule', `# head\n${SERVICE}`, `# head\n${SERVICE}\n${OUT}\n`],
    ['a text with the rule', `${IN}\n\n${SERVICE}\n`, `${OUT}\n\n${SERVICE}\n`],
    ['a text with CRLF', `${IN}\r\n${SERVICE}\r\n`, `${OUT}\r\n${SERVICE}\r\n`],
    [
      'a text in which it is already out',
      `${OUT.replace('Ops', 'X')}\n`,
      `${OUT.replace('Ops', 'X')}\n`,
    ],
  ]

  // Guards against an edit that changes or drops another rule.
  test.each(cases)('changes only its own line in %s', (_name, text, expected) => {
    const edit = { failureDomain: 'brest', state: 'out', requestedBy: 'Ops' } as const
    const edited = rules.editFailureDomain(text, 'rules.toml', edit).unwrap()
    expect(edited.text).toBe(expected)
    expect(edited.changed).toBe(text !== expected)
  })
})

describe('diffRules', () => {
  const cases: readonly (readonly [string, string, string, readonly string[]])[] = [
    [
      'equal rules',
      'failureDomain.a = { state = "in" } # Y',
      'failureDomain.a = { state = "in" } # Y',
      [],
    ],
    ['a new rule', '', 'failureDomain.a = { state = "in" } # Y', ['added failureDomain.a']],
    ['a removed rule', 'failureDomain.a = { state = "in" } # Y', '', ['removed failureDomain.a']],
    [
      'another state',
      'failureDomain.a = { state = "in" } # Y',
      'failureDomain.a = { state = "out" } # Y',
      ['changed failureDomain.a'],
    ],
    [
      'another requester',
      'failureDomain.a = { state = "in" } # Y',
      'failureDomain.a = { state = "in" } # Z',
      ['changed failureDomain.a'],
    ],
    [
      'another line',
      'failureDomain.a = { state = "in" } # Y',
      '\nfailureDomain.a = { state = "in" } # Y',
      ['moved failureDomain.a'],
    ],
  ]

  // Guards against a changed rule that is not distributed.
  test.each(cases)('finds %s', (_name, before, after, expected) => {
    const changes = rules.diffRules(
      rules.parseRules(before, 'before').unwrap(),
      rules.parseRules(after, 'after').unwrap(),
    )
    expect(changes.map(({ change, key }) => `${change} ${key}`)).toEqual(expected)
  })

  // Guards against two changes that are mistaken for resends of each other.
  test('computes different digests for the same characters split differently', () => {
    expect(rules.digestRules('a', 'bc')).not.toBe(rules.digestRules('ab', 'c'))
    expect(rules.digestRules('a', 'bc')).toBe(rules.digestRules('a', 'bc'))
  })
})
