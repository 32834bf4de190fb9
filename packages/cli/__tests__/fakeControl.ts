import type * as protocol from '@ebonyweir/protocol'
import * as rules from '@ebonyweir/rules'
import * as http from 'node:http'
import type * as net from 'node:net'

/** How a scripted replica reacts to one request. */
export type Reaction =
  /** Sends this response. */
  | { readonly status: number; readonly body: unknown }
  /** Processes the request and closes the connection without answering. */
  | 'lose-answer'

export interface ReceivedRequest {
  readonly method: string
  readonly path: string
  readonly body: unknown
}

export interface FakeControl {
  readonly address: string
  readonly received: readonly ReceivedRequest[]
  readonly close: () => Promise<void>
}

/** Starts an HTTP server that answers with the reactions given by the test. */
export async function createFakeControl(
  respond: (request: ReceivedRequest) => Reaction,
): Promise<FakeControl> {
  const received: ReceivedRequest[] = []
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString()
      const body: unknown = text === '' ? undefined : JSON.parse(text)
      const entry = { method: request.method ?? '', path: request.url ?? '', body }
      received.push(entry)
      const reaction = respond(entry)
      if (reaction === 'lose-answer') {
        request.socket.destroy()
        return
      }
      response.writeHead(reaction.status, { 'content-type': 'application/json' })
      response.end(JSON.stringify(reaction.body))
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as net.AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    received,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve()
        })
        server.closeAllConnections()
      }),
  }
}

/** Fakes the rules state machine: one accepted change per revision, the same answer for a resend. */
export function createFakeRules(text: string) {
  const digests = new Map<number, string>()
  let current: protocol.operatorApi.RulesAnswer = {
    revision: 1,
    digest: '',
    operator: 'first',
    text,
    acceptedAtMs: 0,
  }
  const apply = (request: protocol.operatorApi.ApplyRulesRequest): Reaction => {
    const digest = rules.digestRules(request.operator, request.text)
    const revision = request.expectedRevision + 1
    if (digests.get(revision) === digest) return { status: 200, body: { revision, digest } }
    if (request.expectedRevision !== current.revision) {
      const winner = current.operator
      const body = { error: 'conflict', detail: 'conflict', revision: current.revision, winner }
      return { status: 409, body }
    }
    digests.set(revision, digest)
    current = { ...current, revision, digest, operator: request.operator, text: request.text }
    return { status: 200, body: { revision, digest } }
  }
  return {
    current: () => current,
    apply,
    respond: ({ method, path, body }: ReceivedRequest): Reaction => {
      if (path !== '/v1/rules') return { status: 404, body: { error: 'no-route', detail: path } }
      if (method === 'GET') return { status: 200, body: current }
      return apply(body as protocol.operatorApi.ApplyRulesRequest)
    },
  }
}
