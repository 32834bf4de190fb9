import * as protocol from '@ebonyweir/protocol'
import * as fc from 'fast-check'
import * as vitest from 'vitest'
import * as fenceSequences from '../src/fenceSequence.js'

const { describe, expect, it } = vitest
const { MAX_STREAM_NUMBER, MAX_TERM, TOKENS_PER_STREAM } = protocol.fencing

const createSubject = (term: number, streamNumber: number) => {
  let exhaustedCount = 0
  const tokens = fenceSequences.createFenceSequence(() => {
    exhaustedCount += 1
  })
  tokens.follow({ term, streamNumber })
  return { tokens, exhaustedCount: () => exhaustedCount }
}

const currentOf = (term: number, streamNumber: number, raises = 0): number => {
  const { tokens } = createSubject(term, streamNumber)
  for (let time = 0; time < raises; time += 1) tokens.raise()
  return tokens.current() ?? Number.NaN
}

describe('the fencing token of an agent', () => {
  it('is unknown before the first orders', () => {
    const tokens = fenceSequences.createFenceSequence(() => undefined)
    tokens.raise()
    expect(tokens.current()).toBeUndefined()
  })

  it.each([
    { name: 'a raise', lower: currentOf(7, 2), higher: currentOf(7, 2, 1) },
    { name: 'a further raise', lower: currentOf(7, 2, 1), higher: currentOf(7, 2, 2) },
    {
      name: 'a new stream, whatever was used on the one before',
      lower: currentOf(7, 2, TOKENS_PER_STREAM - 1),
      higher: currentOf(7, 3),
    },
    {
      name: 'a new term, whatever was used in the one before',
      lower: currentOf(7, MAX_STREAM_NUMBER, TOKENS_PER_STREAM - 1),
      higher: currentOf(8, 1),
    },
    {
      name: 'a term whose leader does not number its streams',
      lower: currentOf(7, MAX_STREAM_NUMBER, TOKENS_PER_STREAM - 1),
      higher: currentOf(8, 0),
    },
    {
      name: 'an agent of an earlier version, which sends the term',
      lower: 7,
      higher: currentOf(7, 0),
    },
  ])('rises with $name', ({ lower, higher }) => {
    expect(higher).toBeGreaterThan(lower)
  })

  it('guards against a token that JSON cannot carry', () => {
    const highest = currentOf(MAX_TERM, MAX_STREAM_NUMBER, TOKENS_PER_STREAM - 1)
    expect(Number.isSafeInteger(highest)).toBe(true)
    expect(JSON.parse(JSON.stringify(highest))).toBe(highest)
    expect(createSubject(MAX_TERM + 1, 1).tokens.current()).toBeUndefined()
  })

  it('guards against a token that is used twice once those of a stream are used up', () => {
    const { tokens, exhaustedCount } = createSubject(7, 2)
    for (let time = 0; time < TOKENS_PER_STREAM + 3; time += 1) tokens.raise()
    expect(tokens.current()).toBeUndefined()
    expect(exhaustedCount()).toBe(1)
    tokens.follow({ term: 7, streamNumber: 3 })
    expect(tokens.current()).toBe(currentOf(7, 3))
  })

  it('stays with the term under a leader that does not number its streams', () => {
    expect(currentOf(7, 0, 5)).toBe(currentOf(7, 0))
  })

  it('never falls and is never the same for two agent processes', () => {
    const step = fc.oneof(
      fc.constant('raise' as const),
      fc.constant('attach' as const),
      fc.constant('restart' as const),
      fc.constant('term' as const),
      fc.constant('old orders' as const),
    )
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        let term = 1
        let streamNumber = 1
        let tokens = createSubject(term, streamNumber).tokens
        let highestOfEarlier = -1
        let last = tokens.current() ?? -1
        for (const kind of steps) {
          if (kind === 'raise') tokens.raise()
          if (kind === 'term') {
            term += 1
            streamNumber = 0
          }
          if (kind === 'term' || kind === 'attach' || kind === 'restart') {
            streamNumber += 1
            if (kind === 'restart') {
              highestOfEarlier = last
              tokens = createSubject(term, streamNumber).tokens
            } else {
              expect(tokens.follow({ term, streamNumber })).toBe(true)
            }
          }
          if (kind === 'old orders') {
            const isOlder = streamNumber > 1
            expect(tokens.follow({ term, streamNumber: streamNumber - 1 || 1 })).toBe(!isOlder)
          }
          const now = tokens.current() ?? -1
          expect(now).toBeGreaterThanOrEqual(last)
          expect(now).toBeGreaterThan(highestOfEarlier)
          last = now
        }
      }),
      { numRuns: Number(process.env.FUZZ_RUNS ?? 300) },
    )
  })
})
