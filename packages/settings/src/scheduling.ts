/** Settings of the optional parts of job scheduling. */
import * as fields from './fields.js'

const MAX_SHARE_WEIGHT = 1_000
const MAX_REMOTE_FACTOR = 100

/** A queue's name and its weight; the name may contain "=". */
const SHARE_WEIGHT = /^(?<queue>.+)=(?<weight>\d+(?:\.\d+)?)$/u

interface ShareWeight {
  readonly queue: string
  readonly weight: number
}

const parseShareWeight = (text: string): ShareWeight | undefined => {
  const groups = SHARE_WEIGHT.exec(text)?.groups
  const weight = Number(groups?.weight)
  if (groups?.queue === undefined || !(weight > 0 && weight <= MAX_SHARE_WEIGHT)) return undefined
  return { queue: groups.queue, weight }
}

const shareWeight = fields.text({
  form: `a text such as "queue=2" with a weight above 0 and at most ${MAX_SHARE_WEIGHT}`,
  doc: '',
  accepts: (value) => parseShareWeight(value) !== undefined,
})

export const schedulingFields = {
  admissionPolicy: fields.choice(['accept-all', 'queue-delay', 'gradient', 'expected-completion'], {
    doc: 'How the leader decides whether it accepts a job.',
    fallback: 'accept-all',
  }),
  fairShares: fields.flag({
    doc: "Whether queues, callers' failure domains and size classes get weighted fair shares.",
    fallback: false,
  }),
  shareWeights: fields.list(shareWeight, {
    doc: 'Weights of queues in the fair shares; a queue that is not named weighs 1.',
    fallback: [],
  }),
  durationModel: fields.choice(['mean', 'quantile'], {
    doc: 'How task durations are predicted.',
    fallback: 'mean',
  }),
  localityWait: fields.flag({
    doc: 'Whether a task may wait for a worker near its data or its group.',
    fallback: false,
  }),
  remoteFactor: fields.decimal({
    min: 1,
    max: MAX_REMOTE_FACTOR,
    doc: 'How many times as long a task takes away from its data or its group.',
    fallback: 1,
  }),
} as const

export type SchedulingSettings = fields.FieldValues<typeof schedulingFields>

/** Weights by queue of checked settings; the last one of a queue counts. */
export const shareWeightsOf = ({
  shareWeights,
}: Pick<SchedulingSettings, 'shareWeights'>): ReadonlyMap<string, number> =>
  new Map(
    shareWeights.flatMap((text) => {
      const parsed = parseShareWeight(text)
      return parsed === undefined ? [] : [[parsed.queue, parsed.weight] as const]
    }),
  )
