import * as vitest from 'vitest'
import * as fields from '../src/fields.js'
import * as scheduling from '../src/scheduling.js'

const { describe, expect, it } = vitest

const check = (table: Readonly<Record<string, unknown>>) =>
  fields.checkFields(scheduling.schedulingFields, table)

describe('settings of the optional scheduling parts', () => {
  it('guards against a part that is on without a setting', () => {
    const { values, mistakes } = check({})
    expect(mistakes).toEqual([])
    expect(values).toEqual({
      admissionPolicy: 'accept-all',
      fairShares: false,
      shareWeights: [],
      durationModel: 'mean',
      localityWait: false,
      remoteFactor: 1,
    })
  })

  it.each([
    {
      what: 'an unknown policy',
      table: { admissionPolicy: 'random' },
      form: 'one of "accept-all"',
    },
    { what: 'a flag as text', table: { fairShares: 'yes' }, form: 'true or false' },
    { what: 'a weight of 0', table: { shareWeights: ['batch=0'] }, form: 'a weight above 0' },
    { what: 'a negative weight', table: { shareWeights: ['batch=-1'] }, form: 'a weight above 0' },
    { what: 'a weight above the limit', table: { shareWeights: ['b=1001'] }, form: 'at most 1000' },
    { what: 'a weight without a queue', table: { shareWeights: ['=1'] }, form: '"queue=2"' },
    { what: 'a factor below 1', table: { remoteFactor: 0.5 }, form: 'a number from 1 to 100' },
    { what: 'a negative factor', table: { remoteFactor: -3 }, form: 'a number from 1 to 100' },
    { what: 'an unknown field', table: { remoteFaktor: 2 }, form: 'did you mean "remoteFactor"' },
  ])('guards against $what', ({ table, form }) => {
    const { mistakes } = check(table)
    expect(mistakes.map(({ field }) => field)).toEqual(Object.keys(table))
    expect(mistakes[0]?.message).toContain(form)
  })

  it.each([
    { texts: [], weights: [] },
    {
      texts: ['batch=2', 'quotes=0.5'],
      weights: [
        ['batch', 2],
        ['quotes', 0.5],
      ],
    },
    { texts: ['a=b=3'], weights: [['a=b', 3]] },
    { texts: ['a=1', 'a=4'], weights: [['a', 4]] },
  ])('reads the weights $texts', ({ texts, weights }) => {
    expect([...scheduling.shareWeightsOf({ shareWeights: texts })]).toEqual(weights)
  })
})
