import * as protocol from '@ebonyweir/protocol'
import * as scheduling from '@ebonyweir/workflow-scheduling'
import * as workflowState from '@ebonyweir/workflow-state'
import * as vitest from 'vitest'
import * as support from './support.js'

const { describe, expect, it } = vitest

const NOW_MS = 100_000
const POOL = scheduling.poolName('desk', false)
const STATE = { view: workflowState.createWorkflowState().view }

/** Objective of 2.5 s and expiry at 7.5 s. */
const request = (
  fields: Partial<protocol.workflow.JobSpec> = {},
  step: Partial<protocol.workflow.Step> = {},
): scheduling.AdmissionRequest => ({
  spec: {
    ...protocol.workflow.JobSpec.fromPartial({ id: 'j' }),
    steps: [support.step(step)],
    ...fields,
  },
  queue: support.queue(),
  callerDomain: 'rennes',
})

const OWN = scheduling.shareKey('quotes', 'rennes', 'small')
const OTHER = scheduling.shareKey('quotes', 'nantes', 'small')

const position = (
  key: scheduling.ShareKey,
  usageCoreMs: number,
  waitingCoreMs: number,
  shareCoreMs: number,
  precedence = 0,
): scheduling.KeyPosition => ({
  key,
  usageCoreMs,
  waitingCoreMs,
  shareCoreMs,
  shareCores: 2,
  waiting: [{ precedence, coreMs: waitingCoreMs }],
})

const ACCEPTED: scheduling.Admission = { kind: 'accepted' }
const REFUSED: scheduling.Admission = {
  kind: 'refused',
  reason: 'share-exceeded',
  retryAfterMs: 1_234,
  detail: 'by the wrapped policy',
}

const createPolicy = (
  positions: readonly scheduling.KeyPosition[],
  inner: scheduling.Admission,
  { atMs = NOW_MS, sinceMs = 0 } = {},
): scheduling.AdmissionPolicy => {
  const keys = new Map(positions.map((one) => [one.key.text, one]))
  return scheduling.createFairShareAdmission({
    policy: { decide: () => inner },
    shares: () => ({
      sinceMs,
      order: {
        keyOfSubmission: () => OWN,
        poolsOf: () => new Map([[POOL, 0]]),
        positions: (pool) => (pool === POOL ? { atMs, keys } : undefined),
      },
    }),
  })
}

/** The backlog takes 10 s at 2 cores. */
const EXCEEDING = [position(OWN, 9_000, 20_000, 5_000), position(OTHER, 1_000, 1_000, 2_000)]

describe('admission with fair shares', () => {
  const cases: readonly {
    readonly name: string
    readonly positions: readonly scheduling.KeyPosition[]
    readonly inner?: scheduling.Admission
    readonly atMs?: number
    readonly sinceMs?: number
    readonly request?: scheduling.AdmissionRequest
    readonly kind: scheduling.Admission['kind']
  }[] = [
    {
      name: 'guards against accepting from a caller above its share whose backlog outlasts the expiry',
      positions: EXCEEDING,
      kind: 'refused',
    },
    {
      name: 'guards against a refusal while nobody else waits',
      positions: [position(OWN, 9_000, 20_000, 5_000), position(OTHER, 1_000, 0, 1_000)],
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal while there is capacity for all',
      positions: [position(OWN, 9_000, 20_000, 29_000), position(OTHER, 1_000, 1_000, 2_000)],
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal of a caller that has used less than its share',
      positions: [position(OWN, 4_000, 20_000, 5_000), position(OTHER, 1_000, 1_000, 2_000)],
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal although the backlog ends before the expiry',
      positions: [position(OWN, 9_000, 14_000, 5_000), position(OTHER, 1_000, 1_000, 2_000)],
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal because of work of the key that the job precedes',
      positions: [position(OWN, 9_000, 20_000, 5_000, 1), position(OTHER, 1_000, 1_000, 2_000)],
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal by an old view',
      positions: EXCEEDING,
      atMs: NOW_MS - 2_001,
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal by a term that has hardly seen anything',
      positions: EXCEEDING,
      sinceMs: NOW_MS - 4_999,
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal of a long-running job',
      positions: EXCEEDING,
      request: request({}, { lasting: true }),
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal of a recurring job',
      positions: EXCEEDING,
      request: request({ repetitions: 3 }),
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal because of the burst of another',
      positions: [position(OWN, 1_000, 1_000, 2_000), position(OTHER, 9_000, 20_000, 5_000)],
      inner: REFUSED,
      kind: 'accepted',
    },
    {
      name: 'guards against a refusal of a new caller because of the burst of another',
      positions: [position(OTHER, 9_000, 20_000, 5_000)],
      inner: REFUSED,
      kind: 'accepted',
    },
    {
      name: 'guards against accepting what the wrapped policy refuses while nobody is above the share',
      positions: [position(OWN, 1_000, 1_000, 2_000), position(OTHER, 9_000, 1_000, 10_000)],
      inner: REFUSED,
      kind: 'refused',
    },
    {
      name: 'guards against exceeding the limit on open jobs',
      positions: [position(OTHER, 9_000, 20_000, 5_000)],
      inner: { ...REFUSED, reason: 'too-many-open-jobs' },
      kind: 'refused',
    },
  ]

  it.each(cases)('$name', ({ positions, inner = ACCEPTED, atMs, sinceMs, kind, ...rest }) => {
    const policy = createPolicy(positions, inner, { atMs, sinceMs })
    expect(policy.decide(rest.request ?? request(), STATE, NOW_MS).kind).toBe(kind)
  })

  it('guards against callers that are told to return at the same time', () => {
    const policy = createPolicy(EXCEEDING, ACCEPTED)
    const times = Array.from({ length: 100 }, (_, index) => {
      const decided = policy.decide(request({ id: `job-${index}` }), STATE, NOW_MS)
      return decided.kind === 'refused' ? Math.ceil(decided.retryAfterMs / 1_000) : 0
    })
    // The backlog of 10 s less the objective of 2.5 s, and up to half of that later.
    expect(Math.min(...times)).toBeGreaterThanOrEqual(7)
    expect(Math.max(...times)).toBeLessThanOrEqual(12)
    expect(new Set(times).size).toBeGreaterThanOrEqual(4)
  })

  it.each([
    { name: 'accepts', inner: ACCEPTED },
    { name: 'refuses', inner: REFUSED },
  ])('guards against another decision with the shares off where the policy $name', ({ inner }) => {
    const policy = scheduling.createFairShareAdmission({
      policy: { decide: () => inner },
      shares: () => undefined,
    })
    expect(policy.decide(request(), STATE, NOW_MS)).toBe(inner)
  })
})
