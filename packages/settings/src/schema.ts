/** Fields of the settings files of the three roles. */
import * as addresses from './addresses.js'
import * as fields from './fields.js'

const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/u
const MEBIBYTE = 1024 * 1024
const MAX_BODY_BYTES = 16 * MEBIBYTE
const MAX_SHUTDOWN_MS = 600_000

function name(doc: string): fields.Field<string> {
  const form = 'a name of up to 63 lower-case letters, digits and hyphens'
  return fields.text({ form, doc, accepts: (value) => NAME.test(value) })
}

function listenAddress(doc: string): fields.Field<string> {
  return fields.text({
    form: 'an address that other processes can reach, such as "10.0.0.1:7000"; not 0.0.0.0',
    doc,
    accepts: addresses.isListenAddress,
  })
}

/** Replica addresses are part of the group membership, so they must not change on a restart. */
function memberAddress(doc: string): fields.Field<string> {
  return fields.text({
    form: 'an address that other processes can reach, such as "10.0.0.1:7000"; not 0.0.0.0 or port 0',
    doc,
    accepts: addresses.isPeerAddress,
  })
}

function path(doc: string): fields.Field<string> {
  return fields.text({ form: 'a path', doc, accepts: (value) => value.trim() !== '' })
}

const peerAddress = fields.text({
  form: 'an address such as "10.0.0.1:7000"',
  doc: '',
  accepts: addresses.isPeerAddress,
})

/** Fields that all roles have. */
export const commonFields = {
  role: fields.choice(['control', 'entry', 'agent'], { doc: 'What the process does.' }),
  cell: name('Cell that the process belongs to; messages of another cell are refused.'),
  name: name('Name of the process, unique among its role in the cell.'),
  failureDomain: name('Failure domain that the instance is in.'),
  logLevel: fields.choice(['debug', 'info', 'warn', 'error'], {
    doc: 'Least severe level that is logged.',
    fallback: 'info',
  }),
} as const

const controlAddresses = fields.list(peerAddress, {
  doc: 'gRPC addresses of the control replicas of the cell.',
  minLength: 1,
})

const shutdownTimeoutMs = fields.integer({
  min: 0,
  max: MAX_SHUTDOWN_MS,
  unit: 'ms',
  fallback: 30_000,
  doc: 'Longest time after SIGTERM for requests in progress to finish.',
})

/** Fields of the role `entry`. */
export const entryFields = {
  ...commonFields,
  httpAddress: listenAddress('Address for callers, health checks and metrics.'),
  controlAddresses,
  maxRequestBytes: fields.integer({
    min: 1,
    max: MAX_BODY_BYTES,
    unit: 'bytes',
    fallback: MEBIBYTE,
    doc: 'Largest request body; a larger one is refused as not run.',
  }),
  shutdownGraceMs: fields.integer({
    min: 0,
    max: MAX_SHUTDOWN_MS,
    unit: 'ms',
    fallback: 5_000,
    doc: 'Time after SIGTERM in which /readyz answers 503 and requests are still accepted.',
  }),
  shutdownTimeoutMs,
} as const

/** Fields of the role `agent`. */
export const agentFields = {
  ...commonFields,
  grpcAddress: listenAddress('Address for entries.'),
  advertisedAddress: fields.text({
    form: 'an address such as "10.0.0.1:7000", or an empty text',
    doc: 'Address at which entries reach the agent, where it differs from grpcAddress.',
    fallback: '',
    accepts: (value) => value === '' || addresses.isPeerAddress(value),
  }),
  httpAddress: listenAddress(
    'Address for the endpoints of the instance, health checks and metrics.',
  ),
  controlAddresses,
  worker: name('Worker that is the same instance, so that their measurements can be joined.'),
  maxAnswerBytes: fields.integer({
    min: 1,
    max: MAX_BODY_BYTES,
    unit: 'bytes',
    fallback: MAX_BODY_BYTES,
    doc: 'Largest answer body of an endpoint; a larger one is a failure.',
  }),
  shutdownTimeoutMs,
} as const

/** Fields of the role `control`. */
export const controlFields = {
  ...commonFields,
  grpcAddress: memberAddress('Address for the other replicas, entries and agents.'),
  httpAddress: memberAddress('Address for operators, workers, health checks and metrics.'),
  dataFolder: path('Folder for the durable state; relative to the settings file.'),
  rack: name('Rack that the instance is in.'),
  shutdownTimeoutMs,
} as const
