/** Audit of caller and endpoint records: executions, refusals, answers, leaving endpoints, shutdown. */
import * as types from './auditTypes.js'
import type * as record from './record.js'

type Records = readonly record.ObserverRecord[]

interface RequestHistory {
  readonly token: string
  readonly sends: readonly types.RecordOf<'requestSent'>[]
  readonly answers: readonly types.RecordOf<'requestAnswered'>[]
  readonly breaks: readonly types.RecordOf<'requestBroken'>[]
  readonly executions: readonly types.RecordOf<'executionStarted'>[]
}

const CUT_BODY_DETAIL = 'body cut by the caller'

const requestHistories = (records: Records): readonly RequestHistory[] => {
  const answers = types.groupBy(types.ofKind(records, 'requestAnswered'), (r) => r.token)
  const breaks = types.groupBy(types.ofKind(records, 'requestBroken'), (r) => r.token)
  const executions = types.groupBy(types.ofKind(records, 'executionStarted'), (r) => r.token)
  const sends = types.groupBy(types.ofKind(records, 'requestSent'), (r) => r.token)
  return [...sends].map(([token, sent]) => ({
    token,
    sends: sent,
    answers: answers.get(token) ?? [],
    breaks: breaks.get(token) ?? [],
    executions: executions.get(token) ?? [],
  }))
}

const auditRepeatedExecution = (request: RequestHistory): readonly types.Finding[] => {
  const [first, second] = request.executions
  const idempotent = request.sends[0]?.idempotent ?? true
  if (idempotent || first === undefined || second === undefined) return []
  const detail = `${request.token} ran at ${first.endpoint} and again at ${second.endpoint}`
  return [{ rule: 'ran more than once', detail, atMs: second.atMs }]
}

const auditRefusals = (request: RequestHistory): readonly types.Finding[] => {
  const notRun = request.answers.filter((answer) => answer.outcome === 'not-run')
  const idempotent = request.sends[0]?.idempotent ?? true
  // Each send that was not refused as "not run" may execute once, or any number of times if idempotent.
  const notRefused = request.sends.length - notRun.length
  const allowed = idempotent && notRefused > 0 ? Infinity : notRefused
  const surplus = request.executions[allowed]
  if (notRun.length === 0 || surplus === undefined) return []
  const detail = `${request.token}: ${notRun.length} of ${request.sends.length} sends were refused as not run, but ${request.executions.length} executions were recorded`
  return [{ rule: 'ran after not run', detail, atMs: surplus.atMs }]
}

const auditCutBody = (request: RequestHistory): readonly types.Finding[] => {
  const cut = request.breaks.filter((r) => r.detail === CUT_BODY_DETAIL)
  const execution = request.executions[0]
  if (cut.length < request.sends.length || execution === undefined) return []
  const detail = `${request.token} ran at ${execution.endpoint} although its body was truncated`
  return [{ rule: 'cut body reached an endpoint', detail, atMs: execution.atMs }]
}

const auditAnswers = (request: RequestHistory): readonly types.Finding[] =>
  request.answers.flatMap((answer): readonly types.Finding[] => {
    const { atMs } = answer
    if (!answer.whole || !answer.matched) {
      const detail = `${request.token}: answer whole: ${answer.whole}, matched: ${answer.matched}`
      return [{ rule: 'answer not whole or not matched', detail, atMs }]
    }
    const ran = request.executions.some((execution) => execution.atMs < atMs)
    if (answer.status !== 200 || ran) return []
    const detail = `${request.token} was answered without an earlier execution`
    return [{ rule: 'answer without execution', detail, atMs }]
  })

const auditLimits = (records: Records): readonly types.Finding[] => {
  const limits = new Map(types.ofKind(records, 'limits').map((r) => [r.endpoint, r]))
  return records.flatMap((r) => {
    if (r.kind !== 'concurrency' && r.kind !== 'connectionsOpen') return []
    const limit = limits.get(r.endpoint)
    if (limit === undefined) return []
    const observed = r.kind === 'concurrency' ? r.running : r.open
    const allowed = r.kind === 'concurrency' ? limit.slots : limit.connections
    if (observed <= allowed) return []
    const detail = `${r.endpoint}: ${r.kind} ${observed}, limit ${allowed}`
    return [{ rule: 'endpoint limits' as const, detail, atMs: r.atMs }]
  })
}

const auditLeaving = (records: Records, options: types.AuditOptions): readonly types.Finding[] => {
  const executions = types.ofKind(records, 'executionStarted')
  return types.ofKind(records, 'leaving').flatMap((leaving) => {
    const graceMs = leaving.announced
      ? (options.leavingMs ?? 1000)
      : (options.unannouncedLeavingMs ?? 3000)
    return executions
      .filter((e) => e.endpoint === leaving.endpoint && e.atMs > leaving.atMs + graceMs)
      .map((e) => ({
        rule: 'work at a leaving endpoint' as const,
        detail: `${e.token} started at ${e.endpoint} ${Math.round(e.atMs - leaving.atMs)} ms after it started leaving`,
        atMs: e.atMs,
      }))
  })
}

const auditExecutionsDuringOutage = (
  records: Records,
  options: types.AuditOptions,
): readonly types.Finding[] => {
  const executions = types.ofKind(records, 'executionStarted')
  const graceMs = options.outRequestMs ?? 5000
  return types.outages(records).flatMap((outage) =>
    executions
      .filter((e) => e.failureDomain === outage.failureDomain)
      .filter((e) => e.atMs > outage.fromMs + graceMs && e.atMs < outage.toMs)
      .map((e) => ({
        rule: 'execution in a failure domain that is out' as const,
        detail: `${e.token} started at ${e.endpoint} ${Math.round(e.atMs - outage.fromMs)} ms after ${outage.failureDomain} was taken out`,
        atMs: e.atMs,
      })),
  )
}

const interruptionDetail = (r: record.ObserverRecord): string | undefined => {
  if (r.kind === 'requestBroken' && r.sent && !r.byCaller)
    return `${r.token}: connection broke (${r.detail})`
  if (r.kind === 'requestAnswered' && r.outcome === 'unknown')
    return `${r.token}: unknown (${r.detail})`
  if (r.kind === 'executionEnded' && !r.whole) return `${r.token}: cut at ${r.endpoint}`
  return undefined
}

const auditGracefulShutdown = (records: Records): readonly types.Finding[] =>
  records.flatMap((r) => {
    const detail = interruptionDetail(r)
    if (detail === undefined) return []
    return [{ rule: 'cut by a graceful shutdown' as const, detail, atMs: r.atMs }]
  })

/** Applies all request rules. */
export const auditRequests = (
  records: Records,
  options: types.AuditOptions,
): readonly types.Finding[] => [
  ...requestHistories(records).flatMap((request) => [
    ...auditRepeatedExecution(request),
    ...auditRefusals(request),
    ...auditCutBody(request),
    ...auditAnswers(request),
  ]),
  ...auditLimits(records),
  ...auditLeaving(records, options),
  ...auditExecutionsDuringOutage(records, options),
  ...(options.gracefulOnly ? auditGracefulShutdown(records) : []),
]
