import type * as http from 'node:http'
import type * as controlClient from '@ebonyweir/control-client'
import type * as protocol from '@ebonyweir/protocol'
import type * as serviceBuckets from './serviceBuckets.js'

/** Routes for health, metrics and error budget burn of an entry instance. */
export interface StatusRoutes {
  /** Handles the request and returns true if its path is one of these routes. */
  readonly serve: (message: http.IncomingMessage, response: http.ServerResponse) => Promise<boolean>
}

export interface StatusRoutesHost {
  readonly cell: string
  readonly name: string
  readonly failureDomain: string
  readonly view: controlClient.configView.ConfigView
  readonly buckets: serviceBuckets.ServiceBuckets
  readonly closing: () => boolean
  readonly metrics: () => Promise<string>
}

const sendJson = (response: http.ServerResponse, status: number, body: unknown): void => {
  const payload = JSON.stringify(body)
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  })
  response.end(payload)
}

/** Creates the status routes. */
export const createStatusRoutes = (host: StatusRoutesHost): StatusRoutes => {
  const { view } = host

  const notReadyReason = (): string => {
    if (host.closing()) return 'shutting down'
    if (!view.inForce(performance.now())) return 'no valid configuration from control'
    const rule = view.outOfServiceRule(host.failureDomain)
    if (rule === undefined) return ''
    const { line, requestedBy } = rule
    return `failure domain ${host.failureDomain} is out by rules line ${line} (requested by ${requestedBy})`
  }

  const burn = (): protocol.operatorApi.BurnAnswer => ({
    cell: host.cell,
    role: 'entry',
    name: host.name,
    nowMs: Date.now(),
    objectives: view.services().map(({ name, objective, targetMs, line, requestedBy }) => ({
      service: name,
      objective,
      targetMs,
      rule: { key: `service.${name}`, line, requestedBy },
    })),
    buckets: host.buckets.closed(Date.now()).map((bucket) => ({ ...bucket, entry: host.name })),
  })

  const serve: StatusRoutes['serve'] = async (message, response) => {
    const [path] = (message.url ?? '').split('?')
    switch (path) {
      case '/healthz':
        sendJson(response, host.closing() ? 503 : 200, { healthy: !host.closing() })
        return true
      case '/readyz': {
        const reason = notReadyReason()
        sendJson(response, reason === '' ? 200 : 503, { ready: reason === '', reason })
        return true
      }
      case '/metrics': {
        const body = await host.metrics()
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' })
        response.end(body)
        return true
      }
      case '/v1/burn':
        sendJson(response, 200, burn())
        return true
      default:
        return false
    }
  }

  return { serve }
}
