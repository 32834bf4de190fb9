import type * as http from 'node:http'
import type * as controlClient from '@ebonyweir/control-client'
import * as serviceRequest from './serviceRequest.js'

type Result = serviceRequest.RequestResult

/** Status of a failure that the system itself answers. */
const STATUS_OF_REASON: Readonly<Record<serviceRequest.FailureReason, number>> = {
  'agent-refused': 503,
  cancelled: 499,
  'claim-failed': 502,
  'claim-in-progress': 409,
  'claim-mismatch': 422,
  'claim-settled': 409,
  'config-expired': 503,
  deadline: 504,
  'endpoint-failed': 502,
  'no-endpoint': 503,
  overloaded: 503,
  'queue-full': 503,
  'too-late': 503,
}

const statusOf = (failure: serviceRequest.RequestFailure): number =>
  failure.reason === 'claim-settled' && failure.outcome === 'unknown'
    ? 502
    : STATUS_OF_REASON[failure.reason]

/** Body of an answer of the system itself. */
export interface ErrorBody {
  readonly error: string
  readonly detail: string
  readonly outcome: string
  readonly service: string
  readonly rule?: { readonly line: number; readonly requestedBy: string } | undefined
  readonly status?: number | undefined
}

/** Writes an answer of the system itself. */
export const sendError = (
  response: http.ServerResponse,
  status: number,
  requestId: string,
  body: ErrorBody,
): void => {
  if (response.headersSent || response.destroyed) return
  const payload = JSON.stringify(body)
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
    'ebonyweir-request-id': requestId,
    'ebonyweir-outcome': body.outcome,
    ...(status === 503 ? { 'retry-after': '1' } : {}),
  })
  response.end(payload)
}

const sendAnswer = (
  response: http.ServerResponse,
  request: { readonly requestId: string; readonly method: string },
  result: Extract<Result, { readonly kind: 'answer' }>,
): void => {
  const { status, headers, body } = result.answer
  const raw: string[] = []
  for (const { name, value } of headers) raw.push(name, value)
  raw.push('ebonyweir-request-id', request.requestId, 'ebonyweir-outcome', 'answered')
  const hasBody = status !== 204 && status !== 304 && request.method !== 'HEAD'
  if (hasBody) raw.push('content-length', String(body.length))
  response.writeHead(status, raw)
  response.end(hasBody ? body : undefined)
}

/** Writes the result of a request. */
export const sendResult = (
  response: http.ServerResponse,
  request: { readonly requestId: string; readonly method: string; readonly service: string },
  result: Result,
  view: controlClient.configView.ConfigView,
): void => {
  if (response.headersSent || response.destroyed) return
  if (result.kind === 'answer') {
    sendAnswer(response, request, result)
    return
  }
  const rule = result.rule === undefined ? undefined : view.rule(result.rule)
  sendError(response, statusOf(result), request.requestId, {
    error: result.reason,
    detail: result.detail,
    outcome: result.outcome,
    service: request.service,
    rule: rule === undefined ? undefined : { line: rule.line, requestedBy: rule.requestedBy },
    status: result.recordedStatus,
  })
}
