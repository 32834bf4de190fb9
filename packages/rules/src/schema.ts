/** Fields of each kind of rule. */
import * as fields from '@ebonyweir/settings/fields'

const MAX_CPU_MILLIS = 1_000_000_000
const MAX_MEMORY_MB = 1_000_000_000
const MAX_ACCELERATORS = 1_000_000
const MAX_TIMEOUT_MS = 600_000

/** Names of rules, services, teams and failure domains. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/u

/** Accepted form of a name. */
export const NAME_FORM = 'a name of up to 63 lower-case letters, digits and hyphens'

const GLOB_PATTERN = /^[a-z0-9*-]{1,63}$/u

const failureDomainName = fields.text({
  form: NAME_FORM,
  doc: '',
  accepts: (value) => NAME_PATTERN.test(value),
})

const accelerators = (doc: string): fields.Field<number> =>
  fields.integer({ min: 0, max: MAX_ACCELERATORS, unit: 'devices', fallback: 0, doc })

const cpuMillis = (doc: string): fields.Field<number> =>
  fields.integer({ min: 1, max: MAX_CPU_MILLIS, unit: 'thousandths of a core', doc })

const memoryMb = (doc: string): fields.Field<number> =>
  fields.integer({ min: 1, max: MAX_MEMORY_MB, unit: 'MiB', doc })

/** `service.NAME`: a latency-critical service. */
export const serviceFields = {
  runners: fields.integer({ min: 0, max: 100_000, doc: 'Service tasks to keep running.' }),
  slots: fields.integer({ min: 1, max: 10_000, doc: 'Requests at a time per endpoint.' }),
  connections: fields.integer({
    min: 1,
    max: 100_000,
    doc: 'Connections that an agent holds to one endpoint.',
  }),
  queue: fields.integer({
    min: 0,
    max: 100_000,
    fallback: 64,
    doc: 'Requests that wait for a slot, per entry and per agent; more are refused as not run.',
  }),
  timeoutMs: fields.integer({
    min: 1,
    max: MAX_TIMEOUT_MS,
    unit: 'ms',
    doc: 'Time for a request whose caller states none.',
  }),
  targetMs: fields.integer({
    min: 1,
    max: MAX_TIMEOUT_MS,
    unit: 'ms',
    doc: 'Answer time above which a request counts as late.',
  }),
  objective: fields.decimal({
    min: 0.5,
    max: 0.99999,
    unit: 'fraction',
    doc: 'Share of requests that are to be answered within `targetMs`.',
  }),
  cpuMillis: cpuMillis('Processors of one runner.'),
  memoryMb: memoryMb('Memory of one runner.'),
  accelerators: accelerators('Accelerators of one runner.'),
  quick: fields.flag({
    fallback: false,
    doc: 'Whether idempotent requests may be sent to a second endpoint when the first is slow.',
  }),
} as const

/** `team.NAME`: the quota of a team. */
export const teamFields = {
  cpuMillis: cpuMillis('Processors that its running tasks may have.'),
  memoryMb: memoryMb('Memory that its running tasks may have.'),
  accelerators: accelerators('Accelerators that its running tasks may have.'),
  weight: fields.decimal({
    min: 0.01,
    max: 1_000,
    fallback: 1,
    doc: 'Share among teams that wait for the same capacity.',
  }),
} as const

/** `placement.NAME`: where work may run. */
export const placementFields = {
  match: fields.text({
    form: 'a name of lower-case letters, digits and hyphens, in which * stands for any text',
    doc: 'Jobs by name or kind, or services by name.',
    accepts: (value) => GLOB_PATTERN.test(value),
  }),
  failureDomains: fields.list(failureDomainName, {
    fallback: [],
    doc: 'Failure domains in which it may run; an empty list allows all.',
  }),
  spread: fields.choice(['rack', 'failureDomain', 'none'], {
    fallback: 'rack',
    doc: 'What its tasks are spread over.',
  }),
} as const

/** `failureDomain.NAME`: whether operators have taken a failure domain out of use. */
export const failureDomainFields = {
  state: fields.choice(['in', 'out'], { doc: 'Whether tasks and requests may run there.' }),
} as const

/** `guard.SERVICE`: limits for batch tasks that share a worker with a service. */
export const guardFields = {
  maxSlowdown: fields.decimal({
    min: 1,
    max: 100,
    fallback: 1.2,
    unit: 'ratio',
    doc: 'Accepted tail latency with batch tasks beside it, relative to the one without.',
  }),
  throttleFloorPercent: fields.integer({
    min: 1,
    max: 100,
    fallback: 25,
    unit: 'percent',
    doc: 'Lowest processor share to which a batch task is throttled before it is evicted.',
  }),
} as const

const weight = (doc: string): fields.Field<number> => fields.decimal({ min: 0, max: 1, doc })

/** `weighting.default`: relative weights of conflicting objectives. */
export const weightingFields = {
  throughput: weight('Weight of batch throughput.'),
  evictions: weight('Weight of few evictions.'),
  tail: weight('Weight of the tail latency of services.'),
} as const

/** Fields of each kind of rule. */
export const kindFields = {
  service: serviceFields,
  team: teamFields,
  placement: placementFields,
  failureDomain: failureDomainFields,
  guard: guardFields,
  weighting: weightingFields,
} as const

/** Kind of a rule. */
export type RuleKind = keyof typeof kindFields

/** All kinds, in the order of the reference documentation. */
export const ruleKinds = Object.keys(kindFields) as readonly RuleKind[]
