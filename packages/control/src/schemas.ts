/** Schemas of JSON bodies sent by workers and operators. */
import type * as protocol from '@ebonyweir/protocol'
import * as results from 'ts-results-es'
import * as zod from 'zod'
import * as httpRouter from './httpRouter.js'

const { z } = zod

const MAX_NAME_LENGTH = 200
const MAX_TASKS_PER_JOB = 100_000
const MAX_TASKS_PER_WORKER = 4_096

const name = z.string().min(1).max(MAX_NAME_LENGTH)
const count = z.int().min(0)
const resources = z.object({ cpuMillis: count, memoryMb: count, accelerators: count })
const attemptFields = { task: name, attempt: count }

export const workerSync = z.object({
  cell: name,
  worker: name,
  incarnation: count,
  sequence: count,
  failureDomain: name,
  rack: z.string().max(MAX_NAME_LENGTH),
  capacity: resources,
  running: z
    .array(
      z.object({
        ...attemptFields,
        usage: resources.extend({ atMs: z.number() }),
        progressUnits: z.number(),
        throttled: z.boolean(),
      }),
    )
    .max(MAX_TASKS_PER_WORKER),
  ended: z
    .array(
      z.object({
        ...attemptFields,
        outcome: z.enum(['completed', 'failed', 'evicted', 'cancelled']),
        checkpoint: z.string(),
        reason: z.string(),
      }),
    )
    .max(MAX_TASKS_PER_WORKER),
  services: z.array(z.object({ service: name, p99Ms: z.number(), atMs: z.number() })),
}) satisfies zod.ZodType<protocol.workerApi.WorkerSyncRequest>

export const applyRules = z.object({
  expectedRevision: count,
  operator: name,
  text: z.string(),
}) satisfies zod.ZodType<protocol.operatorApi.ApplyRulesRequest>

/** Job names must not contain a slash, since they are part of task ids "<job>/<n>". */
const jobName = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'letters, digits, ".", "_" and "-", at most 128')
  .refine((value) => value !== 'service', 'the name "service" is reserved')

export const submitJob = z.object({
  job: jobName,
  team: name,
  kind: name,
  tasks: z.int().min(1).max(MAX_TASKS_PER_JOB),
  resources,
  urgent: z.boolean(),
  declaredRunMs: count,
  maxFailures: z.int().min(1),
  command: z.string(),
  submittedBy: name,
}) satisfies zod.ZodType<protocol.operatorApi.SubmitJobRequest>

export const cancelJobs = z.object({
  jobs: z.array(name).min(1).max(100_000),
  operator: name,
}) satisfies zod.ZodType<protocol.operatorApi.CancelJobsRequest>

const memberAddress = z.object({
  id: name,
  address: name,
  httpAddress: name,
  failureDomain: name,
})

export const changeMembers = z.union([
  z.object({ add: memberAddress, operator: name }),
  z.object({ remove: name, operator: name }),
]) satisfies zod.ZodType<protocol.operatorApi.ChangeMembersRequest>

export const bootstrap = z.object({
  cell: name,
  members: z.array(memberAddress).min(1).max(9),
}) satisfies zod.ZodType<protocol.operatorApi.BootstrapRequest>

/** Validates a body. The error lists the invalid fields and what is accepted. */
export const parseBody = <T>(
  schema: zod.ZodType<T>,
  body: unknown,
): results.Result<T, httpRouter.HttpReply> => {
  const parsed = schema.safeParse(body)
  if (parsed.success) return results.Ok(parsed.data)
  const detail = parsed.error.issues
    .slice(0, 5)
    .map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ')
  return results.Err({
    status: 400,
    body: {
      error: 'invalid',
      detail,
      outcome: 'not-run',
    } satisfies protocol.operatorApi.ErrorAnswer,
  })
}
